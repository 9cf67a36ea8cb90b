// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The part of Proxy that keeps the statements which wait for a
/// connection, and their order.

#include "proxy/Proxy.h"

#include <algorithm>
#include <utility>

namespace stepledge::proxy {

void Proxy::wait(ClientSession &session, TimePoint notBefore) {
  auto &work = *session.Current;
  work.Stage = WorkStage::Waiting;
  work.Connection.reset();
  work.NotBefore = notBefore;
  Waiting[session.Route.Service].insert(
      {session.Route.Priority, work.ArrivedAt, session.Id});
}

void Proxy::stopWaiting(ClientSession &session) {
  if (!session.Current)
    return;
  Waiting[session.Route.Service].erase(
      {session.Route.Priority, session.Current->ArrivedAt, session.Id});
}

WaitRank Proxy::rankOf(const ClientSession &session) {
  return {session.Route.Priority, session.Route.LatencyObjective,
          session.Current->ArrivedAt};
}

std::vector<ClientId> Proxy::waitingInOrder(TimePoint now,
                                            const std::string &service) const {
  const auto queue = Waiting.find(service);
  if (queue == Waiting.end())
    return {};
  std::vector<std::pair<WaitRank, ClientId>> waiters;
  bool isOverloaded = false;
  for (const auto &it : queue->second) {
    const auto found = Sessions.find(it.Client);
    if (found == Sessions.end() || !found->second.Current)
      continue;
    isOverloaded |= now - it.ArrivedAt > Options.OverloadAge;
    waiters.emplace_back(rankOf(found->second), it.Client);
  }
  // NOTE: the set is in the order for quiet times already.
  if (isOverloaded)
    std::sort(waiters.begin(), waiters.end(),
              [&](const auto &a, const auto &b) {
                return goesBefore(now, true, a.first, b.first);
              });
  std::vector<ClientId> clients;
  clients.reserve(waiters.size());
  for (const auto &[rank, client] : waiters)
    clients.push_back(client);
  return clients;
}

void Proxy::dispatchWaiting(TimePoint now, const std::string &service) {
  for (const auto it : waitingInOrder(now, service)) {
    auto *waiter = session(it);
    if (waiter && waiter->Current &&
        waiter->Current->Stage == WorkStage::Waiting)
      dispatch(now, *waiter);
  }
}

} // namespace stepledge::proxy
