// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The connections of one VM to all instances, within its shares.

#ifndef STEPLEDGE_PROXY_INTERNAL_CONNECTIONPOOL_H
#define STEPLEDGE_PROXY_INTERNAL_CONNECTIONPOOL_H

#include "membership/types/InstanceRecord.h"
#include "proxy/internal/InstanceConnection.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace stepledge::proxy {

/// How many connections to one instance a VM may hold.
struct ConnectionShare {
  /// Kept open also while idle.
  int Floor = 1;
  /// Never more than these.
  int Limit = 1;
};

class ConnectionPool {
public:
  explicit ConnectionPool(IProxyIo &io) : Io(io) {}

  InstanceConnection *find(ConnectionId id);
  /// A free connection to \p instance; one with \p values already set is
  /// preferred, since it needs no set-up. Those that \p usesDirect rules out
  /// are own ones.
  InstanceConnection *findFree(const InstanceId &instance,
                               const SessionValues &values, bool usesDirect);
  /// The free connection that has rested longest, so that questions find out
  /// which of them have gone silent; \p usesDirect as for findFree.
  InstanceConnection *findLongestUnused(const InstanceId &instance,
                                        bool usesDirect);
  /// A free connection of this VM's own.
  InstanceConnection *findFreeDirect(const InstanceId &instance);
  /// Opens one more, unless the share or an earlier refusal forbids it.
  bool openOne(TimePoint now, const membership::InstanceRecord &instance,
               const ConnectionShare &share, const std::string &lenderIp);
  /// Whether one that was asked for is still on its way.
  bool isOpening(const InstanceId &instance) const;
  void close(ConnectionId id);
  void forget(ConnectionId id);
  /// The instance has no room: no new connection before \p until.
  void refuseUntil(const InstanceId &instance, TimePoint until);
  int countOf(const InstanceId &instance) const;
  /// A copy, since handling one may change the pool.
  std::set<ConnectionId> idsOf(const InstanceId &instance) const {
    return idsAt(instance);
  }
  /// Connections that aren't borrowed.
  int ownAt(const InstanceId &instance) const;
  /// Since when this VM has had an own connection, if it has one.
  std::optional<TimePoint> ownSince(const InstanceId &instance) const;
  /// The instance lately had no room for a new connection.
  bool isFull(TimePoint now, const InstanceId &instance) const;
  /// Connections that open transactions hold.
  int pinnedAt(const InstanceId &instance) const;
  /// Connections on which \p instance owes an answer.
  int busyAt(const InstanceId &instance) const;
  /// The connections that \p lender lends.
  std::vector<ConnectionId> borrowedFrom(const std::string &lender,
                                         const InstanceId &instance) const;
  std::map<ConnectionId, InstanceConnection> &all() { return Connections; }

private:
  const std::set<ConnectionId> &idsAt(const InstanceId &instance) const;
  template <typename Predicate>
  int countIf(const InstanceId &instance, Predicate predicate) const;
  /// Of the free connections that \p usesDirect allows, an own one with the
  /// least \p secondKey; a borrowed one only where there is no own one.
  template <typename SecondKey>
  InstanceConnection *findFirstFree(const InstanceId &instance, bool usesDirect,
                                    SecondKey secondKey);

  IProxyIo &Io;
  std::map<ConnectionId, InstanceConnection> Connections;
  std::map<InstanceId, std::set<ConnectionId>> ByInstance;
  std::map<InstanceId, TimePoint> RefusedUntil;
  std::uint64_t LastId = 0;
};

/// The commands that give \p connection exactly \p values.
std::vector<InstanceCommand> valueSetup(InstanceConnection &connection,
                                        const SessionValues &values);

/// The connection's name of \p shape; prepares it first if needed.
std::string preparedName(InstanceConnection &connection,
                         const PreparedShape &shape,
                         std::vector<InstanceCommand> &setup);

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_INTERNAL_CONNECTIONPOOL_H
