// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The connections of one process to one database group, with their
/// limits and states.

#ifndef STEPLEDGE_REQUEST_INTERNAL_CONNECTIONPOOL_H
#define STEPLEDGE_REQUEST_INTERNAL_CONNECTIONPOOL_H

#include "base/types/Ids.h"
#include "base/types/Time.h"
#include "settings/types/Settings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace stepledge::request {

enum class ConnectionState {
  Opening,
  Idle,
  Busy,
  /// Held by a transaction that runs no statement at present.
  Pinned,
};

struct PooledConnection {
  ConnectionId Id;
  InstanceId Instance;
  ConnectionState State = ConnectionState::Opening;
  /// Polls the instance's state and takes no slot.
  bool IsMonitoring = false;
  TimePoint Since;
};

class ConnectionPool {
public:
  /// \p nextId is shared by the pools of a process, so ids are unique in it.
  ConnectionPool(const settings::DatabaseSettings &database,
                 std::uint64_t &nextId);

  /// Whether another connection may be opened now, by the limits on open and
  /// on opening connections and by the backoff after a failure. One connection
  /// is reserved for monitoring.
  bool canOpen(const InstanceId &instance, bool monitoring,
               TimePoint now) const;
  ConnectionId startOpening(const InstanceId &instance, bool monitoring,
                            TimePoint now);
  void opened(ConnectionId id, TimePoint now);
  /// Removes the connection; a failure to open it delays the next attempt.
  std::optional<PooledConnection> drop(ConnectionId id, bool failed,
                                       TimePoint now);

  const PooledConnection *find(ConnectionId id) const;
  void setState(ConnectionId id, ConnectionState state, TimePoint now);

  /// The most recently used idle connection for callers' work.
  std::optional<ConnectionId> idleConnection(const InstanceId &instance) const;
  /// The number of connections that run callers' work.
  int inFlight(const InstanceId &instance) const;
  int count(const InstanceId &instance, bool monitoring) const;
  int opening(const InstanceId &instance) const;
  std::vector<PooledConnection> connectionsTo(const InstanceId &instance) const;
  /// The number of connections to keep open in advance: one for each slot and
  /// one spare, since opening takes long.
  int warmTarget(const InstanceId &instance) const;
  std::size_t size() const { return Connections.size(); }

private:
  struct InstanceLimits {
    int Connections = 0;
    int Slots = 0;
    TimePoint NotBefore;
    int Failures = 0;
  };

  std::map<InstanceId, InstanceLimits> Limits;
  std::map<ConnectionId, PooledConnection> Connections;
  std::uint64_t &NextId;
};

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_INTERNAL_CONNECTIONPOOL_H
