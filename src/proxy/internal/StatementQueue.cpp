// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The part of Proxy that queues and orders the statements that wait for
/// a connection.

#include "proxy/Proxy.h"

#include <algorithm>
#include <utility>

namespace stepledge::proxy {

void Proxy::addToQueue(ClientSession &session, TimePoint notBefore) {
  auto &work = *session.Current;
  work.Stage = StatementStage::Waiting;
  work.Connection.reset();
  work.NotBefore = notBefore;
  StatementQueues[session.Route.Service].insert(
      {session.Route.Priority, work.ArrivedAt, session.Id});
}

void Proxy::removeFromQueue(ClientSession &session) {
  if (!session.Current)
    return;
  StatementQueues[session.Route.Service].erase(
      {session.Route.Priority, session.Current->ArrivedAt, session.Id});
}

scheduling::WaitRank Proxy::rankOf(const ClientSession &session) {
  return {session.Route.Priority, session.Route.LatencyObjective,
          session.Current->ArrivedAt, session.Organisation};
}

std::vector<ClientId> Proxy::servingOrder(TimePoint now,
                                          const std::string &service) {
  const auto queue = StatementQueues.find(service);
  if (queue == StatementQueues.end())
    return {};
  std::vector<std::pair<scheduling::WaitRank, ClientId>> waiters;
  waiters.reserve(queue->second.size());
  for (const auto &it : queue->second)
    if (const auto found = Sessions.find(it.Client);
        found != Sessions.end() && found->second.Current)
      waiters.emplace_back(rankOf(found->second), it.Client);
  return Scheduler.inOrder(now, {service, {}}, std::move(waiters));
}

void Proxy::noteSlotTime(TimePoint now, const InstanceConnection &connection,
                         Duration took) {
  if (!connection.Organisation)
    return;
  const auto &service = connection.Service;
  if (!connection.isBorrowed())
    Scheduler.noteUse(now, {service, connection.Instance},
                      *connection.Organisation, took);
  if (connection.Borrower)
    return;
  // NOTE: the time on a borrowed connection includes the wait in the lender's
  // queue, which took no slot.
  const auto *instance = tracker(service).find(connection.Instance);
  const Duration usual = instance ? instance->ServiceTime : took;
  Scheduler.noteUse(now, {service, {}}, *connection.Organisation,
                    connection.isBorrowed() ? std::min(took, usual) : took);
}

void Proxy::dispatchQueue(TimePoint now, const std::string &service) {
  for (const auto it : servingOrder(now, service)) {
    auto *waiter = session(it);
    if (waiter && waiter->Current &&
        waiter->Current->Stage == StatementStage::Waiting)
      dispatch(now, *waiter);
  }
}

} // namespace stepledge::proxy
