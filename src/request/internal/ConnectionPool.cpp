// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "request/internal/ConnectionPool.h"

#include <algorithm>

namespace stepledge::request {

namespace {

/// Connections per instance that may be opening at the same time.
constexpr int MaxOpening = 2;
constexpr Duration InitialBackoff = milliseconds(50);
constexpr Duration MaxBackoff = milliseconds(1000);
constexpr int MaxBackoffDoublings = 5;

} // namespace

ConnectionPool::ConnectionPool(const settings::DatabaseSettings &database,
                               std::uint64_t &nextId)
    : NextId(nextId) {
  for (const auto &it : database.Instances)
    Limits[it.Id] = {it.Connections, it.Slots, {}, 0};
}

bool ConnectionPool::canOpen(const InstanceId &instance, bool monitoring,
                             TimePoint now) const {
  const auto it = Limits.find(instance);
  if (it == Limits.end() || now < it->second.NotBefore)
    return false;
  if (monitoring)
    return count(instance, true) == 0;
  return count(instance, false) < it->second.Connections - 1 &&
         opening(instance) < MaxOpening;
}

ConnectionId ConnectionPool::startOpening(const InstanceId &instance,
                                          bool monitoring, TimePoint now) {
  const ConnectionId id{++NextId};
  Connections[id] = {id, instance, ConnectionState::Opening, monitoring, now};
  return id;
}

void ConnectionPool::opened(ConnectionId id, TimePoint now) {
  const auto it = Connections.find(id);
  if (it == Connections.end())
    return;
  setState(id, ConnectionState::Idle, now);
  Limits[it->second.Instance].Failures = 0;
}

std::optional<PooledConnection>
ConnectionPool::drop(ConnectionId id, bool failed, TimePoint now) {
  const auto it = Connections.find(id);
  if (it == Connections.end())
    return std::nullopt;
  const auto dropped = it->second;
  Connections.erase(it);
  if (failed) {
    auto &limits = Limits[dropped.Instance];
    const auto doublings = std::min(limits.Failures, MaxBackoffDoublings);
    const auto wait = std::min(InitialBackoff * (1 << doublings), MaxBackoff);
    limits.NotBefore = now + wait;
    ++limits.Failures;
  }
  return dropped;
}

const PooledConnection *ConnectionPool::find(ConnectionId id) const {
  const auto it = Connections.find(id);
  return it == Connections.end() ? nullptr : &it->second;
}

void ConnectionPool::setState(ConnectionId id, ConnectionState state,
                              TimePoint now) {
  const auto it = Connections.find(id);
  if (it == Connections.end())
    return;
  it->second.State = state;
  it->second.Since = now;
}

std::optional<ConnectionId>
ConnectionPool::idleConnection(const InstanceId &instance) const {
  const PooledConnection *best = nullptr;
  for (const auto &[id, it] : Connections) {
    const bool fits = it.Instance == instance && !it.IsMonitoring &&
                      it.State == ConnectionState::Idle;
    if (fits && (best == nullptr || it.Since >= best->Since))
      best = &it;
  }
  if (best == nullptr)
    return std::nullopt;
  return best->Id;
}

int ConnectionPool::inFlight(const InstanceId &instance) const {
  return static_cast<int>(std::count_if(
      Connections.begin(), Connections.end(), [&](const auto &it) {
        return it.second.Instance == instance && !it.second.IsMonitoring &&
               it.second.State == ConnectionState::Busy;
      }));
}

int ConnectionPool::count(const InstanceId &instance, bool monitoring) const {
  return static_cast<int>(std::count_if(
      Connections.begin(), Connections.end(), [&](const auto &it) {
        return it.second.Instance == instance &&
               it.second.IsMonitoring == monitoring;
      }));
}

int ConnectionPool::opening(const InstanceId &instance) const {
  return static_cast<int>(std::count_if(
      Connections.begin(), Connections.end(), [&](const auto &it) {
        return it.second.Instance == instance &&
               it.second.State == ConnectionState::Opening;
      }));
}

std::vector<PooledConnection>
ConnectionPool::connectionsTo(const InstanceId &instance) const {
  std::vector<PooledConnection> out;
  for (const auto &[id, it] : Connections)
    if (it.Instance == instance)
      out.push_back(it);
  return out;
}

int ConnectionPool::warmTarget(const InstanceId &instance) const {
  const auto it = Limits.find(instance);
  if (it == Limits.end())
    return 0;
  return std::min(it->second.Slots + 1, it->second.Connections - 1);
}

} // namespace stepledge::request
