// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Whether an organisation may have one more operation run.

#ifndef STEPLEDGE_QUOTA_IOPERATIONQUOTA_H
#define STEPLEDGE_QUOTA_IOPERATIONQUOTA_H

#include "base/types/Ids.h"
#include "base/types/Time.h"
#include "control/types/Configuration.h"
#include "membership/types/EntryVm.h"
#include "quota/types/QuotaOptions.h"

#include <map>
#include <vector>

namespace stepledge::quota {

class IOperationQuota {
public:
  virtual ~IOperationQuota() = default;

  /// The organisations and their limits as configured now.
  virtual void setOrganisations(
      const std::map<OrganisationId, control::Organisation> &organisations) = 0;
  /// The VMs over which a quota counts.
  virtual void setEntries(const std::vector<membership::EntryVm> &entries) = 0;
  /// Uses up one operation of \p organisation if it is granted. What it has
  /// goes to its most urgent \p priority first, which is 0.
  virtual QuotaVerdict admit(TimePoint now, const OrganisationId &organisation,
                             int priority) = 0;
  /// After how long one caller that was refused finds room; each call is for
  /// another caller.
  virtual Duration retryAfter(TimePoint now, const OrganisationId &organisation,
                              int priority) = 0;
};

} // namespace stepledge::quota

#endif // STEPLEDGE_QUOTA_IOPERATIONQUOTA_H
