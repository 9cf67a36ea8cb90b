// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The connections of one process to one database group: how many there
/// may be, and what each is doing.

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
  /// Held by a transaction that runs nothing just now.
  Pinned,
};

struct PooledConnection {
  ConnectionId Id;
  InstanceId Instance;
  ConnectionState State = ConnectionState::Opening;
  /// Asks the instance about itself and takes no slot.
  bool Monitoring = false;
  TimePoint Since;
};

class ConnectionPool {
public:
  /// \p nextId is shared by the pools of a process, so ids are unique in it.
  ConnectionPool(const settings::DatabaseSettings &database,
                 std::uint64_t &nextId);

  /// Whether one more may be opened now: within the limit, few at once, and
  /// not right after a failure. The last one is kept for monitoring.
  bool mayOpen(const InstanceId &instance, bool monitoring,
               TimePoint now) const;
  ConnectionId startOpening(const InstanceId &instance, bool monitoring,
                            TimePoint now);
  void opened(ConnectionId id, TimePoint now);
  /// Forgets it; a failure to open delays the next try.
  std::optional<PooledConnection> drop(ConnectionId id, bool failed,
                                       TimePoint now);

  const PooledConnection *find(ConnectionId id) const;
  void setState(ConnectionId id, ConnectionState state, TimePoint now);

  /// An idle connection for callers' work; the one used last.
  std::optional<ConnectionId> idle(const InstanceId &instance) const;
  /// Statements in flight for callers.
  int inFlight(const InstanceId &instance) const;
  int count(const InstanceId &instance, bool monitoring) const;
  int opening(const InstanceId &instance) const;
  std::vector<PooledConnection> of(const InstanceId &instance) const;
  /// Connections that should be open though none is asked for: as many as can
  /// run at once and one to spare, since opening takes long.
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
