// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The messages about quotas that VMs exchange.

#ifndef STEPLEDGE_QUOTA_IQUOTAIO_H
#define STEPLEDGE_QUOTA_IQUOTAIO_H

#include "base/types/Ids.h"
#include "base/types/Time.h"

#include <cstdint>
#include <string>

namespace stepledge::quota {

/// Asks a home to lend operations.
struct QuotaAsk {
  /// The asker's number of this ask, echoed by the grant.
  std::uint64_t Number = 0;
  OrganisationId Organisation;
  int Operations = 1;
  /// Whether the ask comes from the home of another hall, which has used its
  /// part up.
  bool IsFromOtherHall = false;
  /// The priority of the route that asks; more urgent requests may use the
  /// operations too. 0 is the most urgent.
  int Priority = 0;
};

enum class GrantResult : std::uint8_t {
  /// The home lends the number of operations in the grant, at least one.
  Lent,
  /// The home can't answer yet.
  Unknown,
  /// The organisation's quota is used up.
  Exhausted,
  /// The VM is about to stop and keeps no quotas.
  Stopping,
  /// The VM's configuration has no quota of the organisation.
  NoQuota,
};

struct QuotaGrant {
  std::uint64_t Number = 0;
  OrganisationId Organisation;
  GrantResult Result = GrantResult::Unknown;
  int Operations = 0;
  /// The time until an operation is available again, for an exhausted quota.
  Duration RetryAfter{};
};

class IQuotaIo {
public:
  virtual ~IQuotaIo() = default;

  /// Returns false if the home isn't connected; a connection is then being
  /// opened.
  virtual bool askHome(const std::string &ip, const QuotaAsk &ask) = 0;
  virtual void sendGrant(const std::string &ip, const QuotaGrant &grant) = 0;
  /// Tells the home that this VM is there, or that it is about to stop.
  virtual void tellPresence(const std::string &ip, bool isLeaving) = 0;
  /// Waiting operations of \p organisation may be granted or refused now.
  virtual void quotaChanged(const OrganisationId &organisation) = 0;
};

} // namespace stepledge::quota

#endif // STEPLEDGE_QUOTA_IQUOTAIO_H
