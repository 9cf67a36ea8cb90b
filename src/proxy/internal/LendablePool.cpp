// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The part of Proxy that provides its lender with this VM's connections.

#include "proxy/Proxy.h"

#include <algorithm>

namespace stepledge::proxy {

InstanceConnection *
Proxy::findLendable(TimePoint now, const std::string &service,
                    const InstanceId &instance,
                    const std::optional<OrganisationId> &organisation) {
  auto *known = tracker(service).find(instance);
  if (!known || Pool.ownBusyCount(instance) >= known->Running.limit())
    return nullptr;
  if (auto *it = Pool.findFreeDirect(instance, organisation)) {
    Pool.noteUse(now, *it);
    return it;
  }
  // NOTE: a non-home VM lends too: its borrowers may have a report of a loss
  // that this VM hasn't received, or reach the instance only through it.
  const bool isNonHome = usesHomes(service) && !isHomeOf(known->Record);
  // NOTE: with organisations the homes need the connections that are left on
  // the instance after a power loss.
  if (isNonHome && Configuration.HasOrganisations && isRecentlyStarted(now))
    return nullptr;
  const ConnectionShare share =
      isNonHome ? ConnectionShare{0, 1} : shareOf(now, known->Record);
  const bool isOpening = organisation ? Pool.isOpening(instance, organisation)
                                      : Pool.isOpening(instance);
  if (!isOpening || Pool.countOf(instance) == 0)
    Pool.openOne(now, known->Record, share, {}, organisation);
  return nullptr;
}

bool Proxy::expectsFreeConnection(TimePoint now, const InstanceId &instance) {
  // NOTE: an active client continues its transaction within a few statement
  // times, and ends it.
  return Pool.ownCount(instance) >
         Pool.idleInTransactionCount(instance,
                                     now - Options.IdleTransactionTime);
}

int Proxy::lendableConnections(TimePoint now, const std::string &service,
                               const InstanceId &instance) {
  const int n =
      Pool.ownCount(instance) -
      Pool.idleInTransactionCount(instance, now - Options.IdleTransactionTime);
  const auto *known = tracker(service).find(instance);
  return std::max(1, known ? std::min(n, known->Running.limit()) : n);
}

LendingCapacity Proxy::lendingCapacity(TimePoint now,
                                       const std::string &service,
                                       const InstanceId &instance) {
  LendingCapacity capacity;
  capacity.OwnConnections = Pool.ownCount(instance);
  capacity.Opening = Pool.openingCount(instance);
  capacity.Busy = Pool.ownBusyCount(instance);
  capacity.IdleInTransaction = Pool.idleInTransactionCount(instance, now);
  capacity.OpenPause = Pool.openingPauseLeft(now, instance);
  if (const auto *known = tracker(service).find(instance)) {
    capacity.ConnectionLimit = shareOf(now, known->Record).Limit;
    capacity.RunningLimit = known->Running.limit();
  }
  return capacity;
}

bool Proxy::isSilentSince(const std::string &service,
                          const InstanceId &instance, TimePoint sentAt) {
  const auto *known = tracker(service).find(instance);
  return known && known->isSilentSince(sentAt);
}

bool Proxy::reaches(const std::string &service, const InstanceId &instance) {
  const auto *known = tracker(service).find(instance);
  return known && !known->IsDirectPathLost;
}

void Proxy::abandonLent(TimePoint now, InstanceConnection &connection) {
  connection.IsAbandoned = true;
  if (connection.Sent.empty())
    rollBack(now, connection);
}

} // namespace stepledge::proxy
