// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "proxy/internal/Lender.h"

#include "proxy/internal/ConnectionPool.h"

#include "absl/strings/str_cat.h"
#include "base/LogField.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace stepledge::proxy {

namespace {

Purpose purposeOf(const InstanceCommand &command) {
  if (isClientCommand(command))
    return Purpose::Statement;
  return command.Kind == CommandKind::Rollback ? Purpose::End : Purpose::Begin;
}

/// Whether the request has a latency objective: the proxy's own queries have
/// none, and some borrowers don't send it.
bool hasObjective(const BorrowNeeds &needs) {
  return needs.Rank.Objective > Duration{};
}

overload::WaitFacts factsOf(const scheduling::WaitRank &rank) {
  overload::WaitFacts facts;
  facts.Priority = rank.Priority;
  facts.Objective = rank.Objective;
  return facts;
}

} // namespace

void Lender::request(TimePoint now, const BorrowKey &key,
                     BorrowRequest request) {
  if (request.IsFirst)
    end(now, key);
  const auto found = Borrows.find(key);
  if (found != Borrows.end() && found->second.BoundConnection)
    return send(now, found->second, request);
  // NOTE: commands of a borrow that has ended here belong to a transaction that
  // is rolled back; they must not start another one.
  if (!request.IsFirst)
    return Io.endBorrower(key, LendingEnd::Lost, {});
  auto &borrow = Borrows[key];
  borrow.Service = request.Service;
  borrow.Instance = request.Instance;
  borrow.Organisation = request.Organisation;
  borrow.ArrivedAt = now;
  borrow.QueueDeadline = now + Options.QueueTimeout;
  borrow.PendingRequest = std::move(request);
  const std::string service = borrow.Service;
  const InstanceId instance = borrow.Instance;
  if (IsStopping)
    return refuse(now, key, LendingEnd::Stopping);
  if (!Pool.reaches(service, instance))
    return refuse(now, key, LendingEnd::Unreachable);
  auto &queue = Queues[instance];
  // NOTE: a borrow that has ended here may be requested again under the same
  // number.
  std::erase_if(queue,
                [&](const auto &it) { return it == key || !isWaiting(it); });
  if (queue.size() >= Options.MaxQueueLength)
    return refuse(now, key, LendingEnd::Full);
  queue.push_back(key);
  serveQueue(now, service, instance);
  if (isWaiting(key))
    refuseOrMarkLate(now, key);
}

overload::Urgency Lender::urgencyOf(TimePoint now, const Borrow &borrow) {
  const auto &rank = borrow.PendingRequest->Needs.Rank;
  const bool isLate = hasObjective(borrow.PendingRequest->Needs) &&
                      (borrow.IsLate || rank.isLate(now));
  return {isLate, rank.Priority};
}

Duration Lender::expectedWait(TimePoint now, const BorrowKey &key,
                              bool isLate) {
  const auto &borrow = Borrows.at(key);
  const InstanceId &instance = borrow.Instance;
  const overload::Urgency urgency{isLate,
                                  borrow.PendingRequest->Needs.Rank.Priority};
  int ahead = 0;
  if (const auto queue = Queues.find(instance); queue != Queues.end())
    for (const auto &it : queue->second)
      ahead += it != key && isWaiting(it) &&
               urgencyOf(now, Borrows.at(it)) <= urgency;
  return Loads[instance].wait(
      now, urgency, ahead,
      Pool.lendableConnections(now, borrow.Service, instance));
}

void Lender::refuseOrMarkLate(TimePoint now, const BorrowKey &key) {
  auto &borrow = Borrows.at(key);
  auto &needs = borrow.PendingRequest->Needs;
  // NOTE: a client's transaction may be idle for seconds.
  if (needs.NeedsFreeNow || !Pool.expectsFreeConnection(now, borrow.Instance))
    return refuse(now, key, LendingEnd::Full);
  // NOTE: while the wait can't be estimated, the borrow keeps the queue limit,
  // so that the borrower can soon ask another home.
  const Duration holdTime = Loads[borrow.Instance].holdTime();
  if (!hasObjective(needs) || holdTime == Duration{})
    return;
  const auto facts = factsOf(needs.Rank);
  const Duration age = now - needs.Rank.ArrivedAt;
  borrow.QueueDeadline = needs.Rank.ArrivedAt + WaitLimits.maxLateAge(facts);
  if (expectedWait(now, key, false) <=
      WaitLimits.maxOnTimeWait(facts, age, holdTime))
    return;
  if (expectedWait(now, key, true) > WaitLimits.maxLateWait(facts, age))
    return refuse(now, key, LendingEnd::Full);
  borrow.IsLate = true;
  // NOTE: the serving order puts those that are past their objectives last.
  needs.Rank.ArrivedAt =
      std::min(needs.Rank.ArrivedAt, now - needs.Rank.Objective - Duration(1));
}

void Lender::send(TimePoint now, Borrow &borrow, const BorrowRequest &request) {
  auto *connection = Pool.connection(*borrow.BoundConnection);
  const bool isForClient = std::any_of(request.Commands.begin(),
                                       request.Commands.end(), isClientCommand);
  std::vector<OutgoingCommand> batch;
  batch.reserve(request.Commands.size() + 2);
  if (isForClient)
    for (auto &it : valueSetup(*connection, request.Needs.Values))
      batch.push_back({std::move(it), Purpose::Setup});
  for (const auto &it : request.Commands) {
    InstanceCommand command = it;
    if (command.Kind == CommandKind::ClientExecute) {
      std::vector<InstanceCommand> setup;
      command.Name =
          preparedName(*connection, {command.Mode, command.Shape}, setup);
      for (auto &prepare : setup)
        batch.push_back({std::move(prepare), Purpose::Setup});
    }
    const Purpose reason = purposeOf(command);
    batch.push_back({std::move(command), reason});
  }
  Pool.transmitLent(now, *connection, batch);
}

void Lender::refuse(TimePoint now, const BorrowKey &key, LendingEnd reason) {
  if (!isWaiting(key))
    return;
  Duration wait{};
  // NOTE: while all connections are idle in transactions, the wait is unknown.
  const auto &waiting = Borrows.at(key);
  if (reason == LendingEnd::Full &&
      Pool.expectsFreeConnection(now, waiting.Instance))
    wait = expectedWait(now, key, urgencyOf(now, waiting).IsLate);
  const auto borrow = Borrows.extract(key);
  logRefusal(now, key, borrow.mapped(), reason, wait);
  Log.lendRefused(reason);
  // Nothing was sent, so each command is reported as not run.
  StatementReply reply;
  reply.Code = ReplyCode::Busy;
  reply.Detail = "no free connection at the home of the instance";
  // NOTE: the reason is sent first, so that the borrower doesn't ask this VM
  // again as soon as it has the replies.
  Io.endBorrower(key, reason, wait);
  Io.answerBorrower(
      key, std::vector(borrow.mapped().PendingRequest->Commands.size(), reply));
}

void Lender::logRefusal(TimePoint now, const BorrowKey &key,
                        const Borrow &borrow, LendingEnd reason,
                        Duration wait) {
  const auto capacity =
      Pool.lendingCapacity(now, borrow.Service, borrow.Instance);
  const auto queue = Queues.find(borrow.Instance);
  const auto load = Loads.find(borrow.Instance);
  const Duration holdTime =
      load == Loads.end() ? Duration{} : load->second.holdTime();
  Log.decision(absl::StrCat(
      "event=lend_refused borrower=", key.Ip, " use=", key.Number, " instance=",
      logField(borrow.Instance.str()), " reason=", std::string(nameOf(reason)),
      " waited_ms=", toMilliseconds(now - borrow.ArrivedAt),
      " expected_wait_ms=", toMilliseconds(wait),
      " held_ms=", toMilliseconds(holdTime),
      " line=", queue == Queues.end() ? 0 : queue->second.size(),
      " own=", capacity.OwnConnections, " opening=", capacity.Opening,
      " working=", capacity.Busy, " resting=", capacity.IdleInTransaction,
      " share=", capacity.ConnectionLimit, " running_limit=",
      capacity.RunningLimit, " pause_ms=", toMilliseconds(capacity.OpenPause)));
}

void Lender::end(TimePoint now, const BorrowKey &key) {
  const auto borrow = Borrows.extract(key);
  if (borrow.empty() || !borrow.mapped().BoundConnection)
    return;
  auto *connection = Pool.connection(*borrow.mapped().BoundConnection);
  if (!connection)
    return;
  connection->Borrower.reset();
  Pool.abandonLent(now, *connection);
}

void Lender::endAll(TimePoint now, const std::string &ip) {
  std::vector<BorrowKey> keys;
  for (auto it = Borrows.lower_bound({ip, 0});
       it != Borrows.end() && it->first.Ip == ip; ++it)
    keys.push_back(it->first);
  for (const auto &it : keys)
    end(now, it);
}

void Lender::endAllBorrows(TimePoint now) {
  std::vector<BorrowKey> unsent;
  std::vector<BorrowKey> sent;
  for (const auto &[key, borrow] : Borrows)
    (isWaiting(key) ? unsent : sent).push_back(key);
  for (const auto &it : unsent)
    refuse(now, it, LendingEnd::Stopping);
  for (const auto &it : sent) {
    Io.endBorrower(it, LendingEnd::Lost, {});
    end(now, it);
  }
}

void Lender::answered(TimePoint now, InstanceConnection &connection,
                      Purpose reason, const StatementReply &reply) {
  const BorrowKey key = *connection.Borrower;
  const bool isOver =
      connection.Sent.empty() && reply.State == SessionState::Idle;
  if (isOver) {
    const auto borrow = Borrows.extract(key);
    if (!borrow.empty() && borrow.mapped().IsHoldTimeCounted)
      Loads[borrow.mapped().Instance].noteHoldTime(now -
                                                   borrow.mapped().BoundAt);
    connection.Borrower.reset();
  }
  if (reason != Purpose::Setup && reason != Purpose::Check)
    Io.answerBorrower(key, {reply});
  if (isOver)
    Pool.takeBack(now, connection);
}

void Lender::connectionLost(const BorrowKey &key) {
  if (Borrows.erase(key) > 0)
    Io.endBorrower(key, LendingEnd::Lost, {});
}

bool Lender::isWaiting(const BorrowKey &key) const {
  const auto borrow = Borrows.find(key);
  return borrow != Borrows.end() && borrow->second.PendingRequest;
}

std::vector<BorrowKey>
Lender::servingOrder(TimePoint now, const scheduling::QueueId &queueId,
                     const std::deque<BorrowKey> &queue) {
  std::vector<std::pair<scheduling::WaitRank, BorrowKey>> waiters;
  waiters.reserve(queue.size());
  for (const auto &it : queue)
    waiters.emplace_back(Borrows[it].PendingRequest->Needs.Rank, it);
  return Scheduler.inOrder(now, queueId, std::move(waiters));
}

void Lender::bind(TimePoint now, const BorrowKey &key,
                  InstanceConnection &connection) {
  auto &borrow = Borrows[key];
  connection.Borrower = key;
  borrow.BoundConnection = connection.Id;
  borrow.BoundAt = now;
  borrow.IsHoldTimeCounted = hasObjective(borrow.PendingRequest->Needs);
  if (borrow.IsHoldTimeCounted)
    Loads[borrow.Instance].noteBorrowStart(now, urgencyOf(now, borrow));
  const auto request = std::exchange(borrow.PendingRequest, std::nullopt);
  send(now, borrow, *request);
}

void Lender::serveQueue(TimePoint now, const std::string &service,
                        const InstanceId &instance) {
  const auto queue = Queues.find(instance);
  if (queue == Queues.end())
    return;
  // NOTE: a borrow may have ended, and its number may belong to a new one.
  std::erase_if(queue->second, [&](const auto &it) { return !isWaiting(it); });
  // NOTE: an organisation without a free connection doesn't block the others.
  std::set<std::optional<OrganisationId>> unserved;
  for (const auto &key :
       servingOrder(now, {service, instance}, queue->second)) {
    const auto organisation = Borrows[key].Organisation;
    if (unserved.contains(organisation))
      continue;
    if (auto *connection =
            Pool.findLendable(now, service, instance, organisation))
      bind(now, key, *connection);
    else
      unserved.insert(organisation);
  }
  std::erase_if(queue->second, [&](const auto &it) { return !isWaiting(it); });
  if (queue->second.empty())
    Queues.erase(queue);
}

std::set<std::string> Lender::borrowers() const {
  std::set<std::string> ips;
  for (const auto &[key, borrow] : Borrows)
    ips.insert(key.Ip);
  return ips;
}

Duration Lender::oldestBorrowAge(TimePoint now) const {
  Duration oldest{};
  for (const auto &[key, borrow] : Borrows)
    oldest = std::max(oldest, now - borrow.ArrivedAt);
  return oldest;
}

std::string Lender::borrowNumbersOf(const std::string &ip) const {
  std::string text;
  for (auto it = Borrows.lower_bound({ip, 0});
       it != Borrows.end() && it->first.Ip == ip; ++it)
    absl::StrAppend(&text, text.empty() ? "" : ",", it->first.Number,
                    it->second.BoundConnection ? "" : "(waiting)");
  return text;
}

void Lender::reportSilence(TimePoint now) {
  for (auto &[key, borrow] : Borrows) {
    if (!borrow.BoundConnection || borrow.IsSilenceReported)
      continue;
    const auto *connection = Pool.connection(*borrow.BoundConnection);
    if (!connection || connection->Sent.empty())
      continue;
    const TimePoint sentAt = connection->Sent.front().SentAt;
    if (now - sentAt < Options.SilenceTimeout ||
        !Pool.isSilentSince(borrow.Service, borrow.Instance, sentAt))
      continue;
    borrow.IsSilenceReported = true;
    Log.decision(absl::StrCat("event=lend_silent borrower=", key.Ip,
                              " use=", key.Number,
                              " instance=", logField(borrow.Instance.str())));
    Io.endBorrower(key, LendingEnd::Silent, {});
  }
}

std::vector<BorrowKey>
Lender::findUnservable(TimePoint now, const InstanceId &instance,
                       const std::deque<BorrowKey> &queue) {
  std::deque<BorrowKey> waiting;
  std::copy_if(queue.begin(), queue.end(), std::back_inserter(waiting),
               [&](const auto &it) { return isWaiting(it); });
  std::vector<BorrowKey> keys;
  if (waiting.empty())
    return keys;
  const std::string &service = Borrows.at(waiting.front()).Service;
  const int connections = Pool.lendableConnections(now, service, instance);
  int ahead = 0;
  for (const auto &key : servingOrder(now, {service, instance}, waiting)) {
    const auto &borrow = Borrows.at(key);
    const Duration wait =
        Loads[instance].wait(now, urgencyOf(now, borrow), ahead, connections);
    // NOTE: the borrows behind a refused one move up.
    if (hasObjective(borrow.PendingRequest->Needs) &&
        now + wait > borrow.QueueDeadline)
      keys.push_back(key);
    else
      ++ahead;
  }
  return keys;
}

void Lender::tick(TimePoint now) {
  reportSilence(now);
  std::vector<std::pair<BorrowKey, LendingEnd>> refused;
  std::vector<std::pair<std::string, InstanceId>> waiting;
  for (const auto &[instance, queue] : Queues) {
    for (const auto &key : queue) {
      if (!isWaiting(key))
        continue;
      const auto borrow = Borrows.find(key);
      const bool isReached = Pool.reaches(borrow->second.Service, instance);
      if (!isReached || now > borrow->second.QueueDeadline)
        refused.emplace_back(key, isReached ? LendingEnd::Full
                                            : LendingEnd::Unreachable);
      else if (waiting.empty() || waiting.back().second != instance)
        waiting.emplace_back(borrow->second.Service, instance);
    }
    for (const auto &key : findUnservable(now, instance, queue))
      refused.emplace_back(key, LendingEnd::Full);
  }
  for (const auto &[key, reason] : refused)
    refuse(now, key, reason);
  for (const auto &[service, instance] : waiting)
    serveQueue(now, service, instance);
}

} // namespace stepledge::proxy
