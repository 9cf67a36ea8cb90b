// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What the VMs say to each other about quotas.

#ifndef STEPLEDGE_QUOTA_IQUOTAIO_H
#define STEPLEDGE_QUOTA_IQUOTAIO_H

#include "base/types/Ids.h"
#include "base/types/Time.h"

#include <cstdint>
#include <string>

namespace stepledge::quota {

/// Asks a home to lend operations.
struct QuotaAsk {
  /// The asker's number for it, echoed by the grant.
  std::uint64_t Number = 0;
  OrganisationId Organisation;
  int Operations = 1;
  /// From the home of another hall, which has used its part up.
  bool IsFromOtherHall = false;
  /// Of the route that asks; more urgent requests may use the operations too. 0
  /// is the most urgent.
  int Priority = 0;
};

enum class GrantResult : std::uint8_t {
  /// So many operations as it says, at least one.
  Lent,
  /// Not known yet.
  Unknown,
  /// The organisation's quota is used up.
  Exhausted,
  /// The VM is about to stop and keeps no quotas.
  Stopping,
};

struct QuotaGrant {
  std::uint64_t Number = 0;
  OrganisationId Organisation;
  GrantResult Result = GrantResult::Unknown;
  int Operations = 0;
  /// When there is something again, for an exhausted quota.
  Duration RetryAfter{};
};

class IQuotaIo {
public:
  virtual ~IQuotaIo() = default;

  /// False where the home isn't connected; it is being connected to then.
  virtual bool askHome(const std::string &ip, const QuotaAsk &ask) = 0;
  virtual void answerAsker(const std::string &ip, const QuotaGrant &grant) = 0;
  /// Operations of \p organisation that wait may be granted or refused now.
  virtual void quotaChanged(const OrganisationId &organisation) = 0;
};

} // namespace stepledge::quota

#endif // STEPLEDGE_QUOTA_IQUOTAIO_H
