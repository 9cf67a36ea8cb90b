// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "proxy/internal/Lender.h"

#include "proxy/internal/ConnectionPool.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace stepledge::proxy {

namespace {

bool isClientsOwn(const InstanceCommand &command) {
  return command.Kind == CommandKind::ClientText ||
         command.Kind == CommandKind::ClientExecute;
}

Purpose purposeOf(const InstanceCommand &command) {
  if (isClientsOwn(command))
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

void Lender::ask(TimePoint now, const BorrowKey &key, BorrowRequest request) {
  if (request.IsFirst)
    end(now, key);
  const auto found = Uses.find(key);
  if (found != Uses.end() && found->second.Bound)
    return send(now, found->second, request);
  // NOTE: commands of a borrow that has ended here belong to a transaction that
  // is rolled back; they must not start another one.
  if (!request.IsFirst)
    return Io.endBorrower(key, LendingEnd::Lost, {});
  auto &use = Uses[key];
  use.Service = request.Service;
  use.Instance = request.Instance;
  use.Organisation = request.Organisation;
  use.ArrivedAt = now;
  use.WaitsUntil = now + Options.QueueLimit;
  use.Waiting = std::move(request);
  const std::string service = use.Service;
  const InstanceId instance = use.Instance;
  if (IsStopping)
    return refuse(now, key, LendingEnd::Stopping);
  if (!Pool.reaches(service, instance))
    return refuse(now, key, LendingEnd::Unreachable);
  auto &queue = Queues[instance];
  // NOTE: a borrow that has ended here may be requested again under the same
  // number.
  std::erase_if(queue,
                [&](const auto &it) { return it == key || !isWaiting(it); });
  if (queue.size() >= Options.QueueLength)
    return refuse(now, key, LendingEnd::Full);
  queue.push_back(key);
  pump(now, service, instance);
  if (isWaiting(key))
    refuseIfHopeless(now, key);
}

overload::Urgency Lender::urgencyOf(TimePoint now, const Use &use) {
  const auto &rank = use.Waiting->Needs.Rank;
  const bool isLate =
      hasObjective(use.Waiting->Needs) && (use.IsLate || rank.isLate(now));
  return {isLate, rank.Priority};
}

Duration Lender::expectedWait(TimePoint now, const BorrowKey &key,
                              bool isLate) {
  const auto &use = Uses.at(key);
  const InstanceId &instance = use.Instance;
  const overload::Urgency urgency{isLate, use.Waiting->Needs.Rank.Priority};
  int ahead = 0;
  if (const auto queue = Queues.find(instance); queue != Queues.end())
    for (const auto &it : queue->second)
      ahead +=
          it != key && isWaiting(it) && urgencyOf(now, Uses.at(it)) <= urgency;
  return Loads[instance].wait(now, urgency, ahead,
                              Pool.usableAt(now, use.Service, instance));
}

void Lender::refuseIfHopeless(TimePoint now, const BorrowKey &key) {
  auto &use = Uses.at(key);
  auto &needs = use.Waiting->Needs;
  // NOTE: a client's transaction may be idle for seconds.
  if (needs.NeedsFreeNow || !Pool.expectsFree(now, use.Instance))
    return refuse(now, key, LendingEnd::Full);
  // NOTE: while the wait can't be estimated, the borrow keeps the queue limit,
  // so that the borrower can soon ask another home.
  const Duration held = Loads[use.Instance].held();
  if (!hasObjective(needs) || held == Duration{})
    return;
  const auto facts = factsOf(needs.Rank);
  const Duration age = now - needs.Rank.ArrivedAt;
  use.WaitsUntil = needs.Rank.ArrivedAt + Patience.lateLimit(facts);
  if (expectedWait(now, key, false) <= Patience.onTime(facts, age, held))
    return;
  if (expectedWait(now, key, true) > Patience.late(facts, age))
    return refuse(now, key, LendingEnd::Full);
  use.IsLate = true;
  // NOTE: the serving order puts those that are past their objectives last.
  needs.Rank.ArrivedAt =
      std::min(needs.Rank.ArrivedAt, now - needs.Rank.Objective - Duration(1));
}

void Lender::send(TimePoint now, Use &use, const BorrowRequest &request) {
  auto *connection = Pool.connection(*use.Bound);
  const bool isForClient = std::any_of(request.Commands.begin(),
                                       request.Commands.end(), isClientsOwn);
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
  const auto &waiting = Uses.at(key);
  if (reason == LendingEnd::Full && Pool.expectsFree(now, waiting.Instance))
    wait = expectedWait(now, key, urgencyOf(now, waiting).IsLate);
  const auto use = Uses.extract(key);
  logRefusal(now, key, use.mapped(), reason, wait);
  Log.lendRefused(reason);
  // Nothing was sent, so each command is reported as not run.
  StatementReply reply;
  reply.Code = ReplyCode::Busy;
  reply.Detail = "no free connection at the home of the instance";
  // NOTE: the reason is sent first, so that the borrower doesn't ask this VM
  // again as soon as it has the replies.
  Io.endBorrower(key, reason, wait);
  Io.answerBorrower(key,
                    std::vector(use.mapped().Waiting->Commands.size(), reply));
}

void Lender::logRefusal(TimePoint now, const BorrowKey &key, const Use &use,
                        LendingEnd reason, Duration wait) {
  const auto room = Pool.roomAt(now, use.Service, use.Instance);
  const auto queue = Queues.find(use.Instance);
  const auto load = Loads.find(use.Instance);
  const Duration held = load == Loads.end() ? Duration{} : load->second.held();
  Log.decision(absl::StrCat(
      "event=lend_refused borrower=", key.Ip, " use=", key.Use,
      " instance=", use.Instance.str(), " reason=", std::string(nameOf(reason)),
      " waited_ms=", toMilliseconds(now - use.ArrivedAt), " expected_wait_ms=",
      toMilliseconds(wait), " held_ms=", toMilliseconds(held),
      " line=", queue == Queues.end() ? 0 : queue->second.size(),
      " own=", room.Own, " opening=", room.Opening, " working=", room.Working,
      " resting=", room.Resting, " share=", room.Share, " running_limit=",
      room.Running, " pause_ms=", toMilliseconds(room.PauseLeft)));
}

void Lender::end(TimePoint now, const BorrowKey &key) {
  const auto use = Uses.extract(key);
  if (use.empty() || !use.mapped().Bound)
    return;
  auto *connection = Pool.connection(*use.mapped().Bound);
  if (!connection)
    return;
  connection->Borrower.reset();
  Pool.abandonLent(now, *connection);
}

void Lender::endAll(TimePoint now, const std::string &ip) {
  std::vector<BorrowKey> keys;
  for (auto it = Uses.lower_bound({ip, 0});
       it != Uses.end() && it->first.Ip == ip; ++it)
    keys.push_back(it->first);
  for (const auto &it : keys)
    end(now, it);
}

void Lender::answered(TimePoint now, InstanceConnection &connection,
                      Purpose reason, const StatementReply &reply) {
  const BorrowKey key = *connection.Borrower;
  const bool isOver =
      connection.Sent.empty() && reply.State == SessionState::Idle;
  if (isOver) {
    const auto use = Uses.extract(key);
    if (!use.empty() && use.mapped().IsMeasured)
      Loads[use.mapped().Instance].noteHeld(now - use.mapped().BoundAt);
    connection.Borrower.reset();
  }
  if (reason != Purpose::Setup)
    Io.answerBorrower(key, {reply});
  if (isOver)
    Pool.takeBack(now, connection);
}

void Lender::lost(const BorrowKey &key) {
  if (Uses.erase(key) > 0)
    Io.endBorrower(key, LendingEnd::Lost, {});
}

bool Lender::isWaiting(const BorrowKey &key) const {
  const auto use = Uses.find(key);
  return use != Uses.end() && use->second.Waiting;
}

std::vector<BorrowKey>
Lender::waitingInOrder(TimePoint now, const scheduling::LineId &line,
                       const std::deque<BorrowKey> &queue) {
  std::vector<std::pair<scheduling::WaitRank, BorrowKey>> waiters;
  waiters.reserve(queue.size());
  for (const auto &it : queue)
    waiters.emplace_back(Uses[it].Waiting->Needs.Rank, it);
  return Line.inOrder(now, line, std::move(waiters));
}

void Lender::bind(TimePoint now, const BorrowKey &key,
                  InstanceConnection &connection) {
  auto &use = Uses[key];
  connection.Borrower = key;
  use.Bound = connection.Id;
  use.BoundAt = now;
  use.IsMeasured = hasObjective(use.Waiting->Needs);
  if (use.IsMeasured)
    Loads[use.Instance].noteBegun(now, urgencyOf(now, use));
  const auto request = std::exchange(use.Waiting, std::nullopt);
  send(now, use, *request);
}

void Lender::pump(TimePoint now, const std::string &service,
                  const InstanceId &instance) {
  const auto queue = Queues.find(instance);
  if (queue == Queues.end())
    return;
  // NOTE: a borrow may have ended, and its number may belong to a new one.
  std::erase_if(queue->second, [&](const auto &it) { return !isWaiting(it); });
  // NOTE: an organisation without a free connection doesn't block the others.
  std::set<std::optional<OrganisationId>> unserved;
  for (const auto &key :
       waitingInOrder(now, {service, instance}, queue->second)) {
    const auto organisation = Uses[key].Organisation;
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
  for (const auto &[key, use] : Uses)
    ips.insert(key.Ip);
  return ips;
}

Duration Lender::oldestUse(TimePoint now) const {
  Duration oldest{};
  for (const auto &[key, use] : Uses)
    oldest = std::max(oldest, now - use.ArrivedAt);
  return oldest;
}

std::string Lender::usesOf(const std::string &ip) const {
  std::string text;
  for (auto it = Uses.lower_bound({ip, 0});
       it != Uses.end() && it->first.Ip == ip; ++it)
    absl::StrAppend(&text, text.empty() ? "" : ",", it->first.Use,
                    it->second.Bound ? "" : "(waiting)");
  return text;
}

void Lender::tellSilence(TimePoint now) {
  for (auto &[key, use] : Uses) {
    if (!use.Bound || use.IsToldSilent)
      continue;
    const auto *connection = Pool.connection(*use.Bound);
    if (!connection || connection->Sent.empty())
      continue;
    const TimePoint sentAt = connection->Sent.front().SentAt;
    if (now - sentAt < Options.SilentAfter ||
        !Pool.isSilentSince(use.Service, use.Instance, sentAt))
      continue;
    use.IsToldSilent = true;
    Log.decision(absl::StrCat("event=lend_silent borrower=", key.Ip, " use=",
                              key.Use, " instance=", use.Instance.str()));
    Io.endBorrower(key, LendingEnd::Silent, {});
  }
}

std::vector<BorrowKey> Lender::outlived(TimePoint now,
                                        const InstanceId &instance,
                                        const std::deque<BorrowKey> &queue) {
  std::deque<BorrowKey> waiting;
  std::copy_if(queue.begin(), queue.end(), std::back_inserter(waiting),
               [&](const auto &it) { return isWaiting(it); });
  std::vector<BorrowKey> keys;
  if (waiting.empty())
    return keys;
  const std::string &service = Uses.at(waiting.front()).Service;
  const int connections = Pool.usableAt(now, service, instance);
  int ahead = 0;
  for (const auto &key : waitingInOrder(now, {service, instance}, waiting)) {
    const auto &use = Uses.at(key);
    const Duration wait =
        Loads[instance].wait(now, urgencyOf(now, use), ahead, connections);
    // NOTE: the borrows behind a refused one move up.
    if (hasObjective(use.Waiting->Needs) && now + wait > use.WaitsUntil)
      keys.push_back(key);
    else
      ++ahead;
  }
  return keys;
}

void Lender::tick(TimePoint now) {
  tellSilence(now);
  std::vector<std::pair<BorrowKey, LendingEnd>> refused;
  std::vector<std::pair<std::string, InstanceId>> waiting;
  for (const auto &[instance, queue] : Queues) {
    for (const auto &key : queue) {
      if (!isWaiting(key))
        continue;
      const auto use = Uses.find(key);
      const bool isReached = Pool.reaches(use->second.Service, instance);
      if (!isReached || now > use->second.WaitsUntil)
        refused.emplace_back(key, isReached ? LendingEnd::Full
                                            : LendingEnd::Unreachable);
      else if (waiting.empty() || waiting.back().second != instance)
        waiting.emplace_back(use->second.Service, instance);
    }
    for (const auto &key : outlived(now, instance, queue))
      refused.emplace_back(key, LendingEnd::Full);
  }
  for (const auto &[key, reason] : refused)
    refuse(now, key, reason);
  for (const auto &[service, instance] : waiting)
    pump(now, service, instance);
}

} // namespace stepledge::proxy
