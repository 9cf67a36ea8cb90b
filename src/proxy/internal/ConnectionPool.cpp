// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "proxy/internal/ConnectionPool.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace stepledge::proxy {

InstanceConnection *ConnectionPool::find(ConnectionId id) {
  const auto it = Connections.find(id);
  return it == Connections.end() ? nullptr : &it->second;
}

InstanceConnection *ConnectionPool::findFree(const InstanceId &instance,
                                             const SessionValues &values,
                                             bool usesDirect) {
  InstanceConnection *found = nullptr;
  for (auto &[id, it] : Connections) {
    if (it.Instance != instance || !it.isFree())
      continue;
    if (!usesDirect && it.RelayIp.empty())
      continue;
    if (it.Values == values)
      return &it;
    if (!found)
      found = &it;
  }
  return found;
}

InstanceConnection *ConnectionPool::findFreeDirect(const InstanceId &instance) {
  for (auto &[id, it] : Connections)
    if (it.Instance == instance && it.isFree() && it.RelayIp.empty())
      return &it;
  return nullptr;
}

bool ConnectionPool::openOne(TimePoint now,
                             const membership::InstanceRecord &instance,
                             const ConnectionShare &share,
                             const std::string &relayIp) {
  if (countOf(instance.Id) >= share.Limit)
    return false;
  const auto refused = RefusedUntil.find(instance.Id);
  if (refused != RefusedUntil.end() && refused->second > now)
    return false;
  const ConnectionId id{++LastId};
  auto &it = Connections[id];
  it.Id = id;
  it.Service = instance.Service;
  it.Instance = instance.Id;
  it.OpenedAt = now;
  it.LastUsed = now;
  it.RelayIp = relayIp;
  Io.openConnection(id,
                    {instance.Address, instance.Service, instance.Id, relayIp});
  return true;
}

bool ConnectionPool::isOpening(const InstanceId &instance) const {
  return std::any_of(
      Connections.begin(), Connections.end(), [&](const auto &it) {
        return it.second.Instance == instance && !it.second.IsReady;
      });
}

void ConnectionPool::close(ConnectionId id) {
  if (Connections.erase(id) > 0)
    Io.closeConnection(id);
}

void ConnectionPool::forget(ConnectionId id) { Connections.erase(id); }

void ConnectionPool::refuseUntil(const InstanceId &instance, TimePoint until) {
  RefusedUntil[instance] = until;
}

int ConnectionPool::countOf(const InstanceId &instance) const {
  return static_cast<int>(std::count_if(
      Connections.begin(), Connections.end(),
      [&](const auto &it) { return it.second.Instance == instance; }));
}

int ConnectionPool::directAt(const InstanceId &instance) const {
  return static_cast<int>(std::count_if(
      Connections.begin(), Connections.end(), [&](const auto &it) {
        return it.second.Instance == instance && it.second.RelayIp.empty();
      }));
}

int ConnectionPool::pinnedAt(const InstanceId &instance) const {
  return static_cast<int>(std::count_if(
      Connections.begin(), Connections.end(), [&](const auto &it) {
        return it.second.Instance == instance && it.second.IsPinned;
      }));
}

int ConnectionPool::busyAt(const InstanceId &instance) const {
  return static_cast<int>(std::count_if(
      Connections.begin(), Connections.end(), [&](const auto &it) {
        return it.second.Instance == instance && !it.second.Sent.empty();
      }));
}

std::vector<InstanceCommand> valueSetup(InstanceConnection &connection,
                                        const SessionValues &values) {
  std::vector<InstanceCommand> setup;
  const bool hasForeign =
      std::any_of(connection.Values.begin(), connection.Values.end(),
                  [&](const auto &it) { return !values.contains(it.first); });
  if (hasForeign) {
    InstanceCommand reset;
    reset.Kind = CommandKind::ResetSession;
    setup.push_back(reset);
    connection.Values.clear();
    connection.Prepared.clear();
  }
  for (const auto &[name, value] : values) {
    const auto it = connection.Values.find(name);
    if (it != connection.Values.end() && it->second == value)
      continue;
    InstanceCommand set;
    set.Kind = CommandKind::SetValue;
    set.Name = name;
    set.Value = value;
    setup.push_back(set);
    connection.Values[name] = value;
  }
  return setup;
}

std::string preparedName(InstanceConnection &connection,
                         const PreparedShape &shape,
                         std::vector<InstanceCommand> &setup) {
  const auto it = connection.Prepared.find(shape);
  if (it != connection.Prepared.end())
    return it->second;
  std::string name = absl::StrCat("p", connection.Prepared.size() + 1);
  InstanceCommand prepare;
  prepare.Kind = CommandKind::Prepare;
  prepare.Name = name;
  prepare.Value = shape.Shape;
  prepare.Mode = shape.Mode;
  setup.push_back(prepare);
  connection.Prepared[shape] = name;
  return name;
}

} // namespace stepledge::proxy
