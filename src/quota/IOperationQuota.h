// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Decides whether an organisation may run one more operation.

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

  /// Sets the organisations and their limits as configured now.
  virtual void setOrganisations(
      const std::map<OrganisationId, control::Organisation> &organisations) = 0;
  /// Sets the VMs that share the quotas.
  virtual void setEntries(const std::vector<membership::EntryVm> &entries) = 0;
  /// Uses up one operation of \p organisation if it is granted. The
  /// organisation's operations go to its most urgent \p priority first, which
  /// is 0.
  virtual QuotaVerdict admit(TimePoint now, const OrganisationId &organisation,
                             int priority) = 0;
  /// The delay after which a refused caller should find an operation available;
  /// each call is for another caller.
  virtual Duration retryAfter(TimePoint now, const OrganisationId &organisation,
                              int priority) = 0;
};

} // namespace stepledge::quota

#endif // STEPLEDGE_QUOTA_IOPERATIONQUOTA_H
