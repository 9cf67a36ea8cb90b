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

} // namespace

void Lender::ask(TimePoint now, const BorrowKey &key, BorrowRequest request) {
  if (request.IsFirst)
    end(now, key);
  const auto found = Uses.find(key);
  if (found != Uses.end() && found->second.Bound)
    return send(now, found->second, request);
  // NOTE: commands of a use that has ended here belong to a transaction that
  // is rolled back; they must not start another one.
  if (!request.IsFirst)
    return Io.endBorrower(key, LendingEnd::Lost);
  auto &use = Uses[key];
  const bool needsFreeNow = request.Needs.NeedsFreeNow;
  use.Service = request.Service;
  use.Instance = request.Instance;
  use.Organisation = request.Organisation;
  use.ArrivedAt = now;
  use.Waiting = std::move(request);
  const std::string service = use.Service;
  const InstanceId instance = use.Instance;
  if (IsStopping)
    return refuse(key, LendingEnd::Stopping);
  if (!Pool.reaches(service, instance))
    return refuse(key, LendingEnd::Unreachable);
  auto &queue = Queues[instance];
  if (queue.size() >= Options.QueueLength)
    return refuse(key, LendingEnd::Full);
  queue.push_back(key);
  pump(now, service, instance);
  // NOTE: a client may rest inside its transaction for seconds.
  if (isWaiting(key) && (needsFreeNow || !Pool.expectsFree(instance)))
    refuse(key, LendingEnd::Full);
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

void Lender::refuse(const BorrowKey &key, LendingEnd reason) {
  const auto use = Uses.extract(key);
  if (use.empty())
    return;
  Log.decision(absl::StrCat("event=lend_refused borrower=", key.Ip, " use=",
                            key.Use, " instance=", use.mapped().Instance.str(),
                            " reason=", std::string(nameOf(reason))));
  // Nothing was sent, so each command is told as not run.
  StatementReply reply;
  reply.Code = ReplyCode::Busy;
  reply.Detail = "no free connection at the home of the instance";
  // NOTE: the reason goes first, so that the borrower doesn't ask here again as
  // soon as it has the replies.
  Io.endBorrower(key, reason);
  Io.answerBorrower(key,
                    std::vector(use.mapped().Waiting->Commands.size(), reply));
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
    Uses.erase(key);
    connection.Borrower.reset();
  }
  if (reason != Purpose::Setup)
    Io.answerBorrower(key, {reply});
  if (isOver)
    Pool.takeBack(now, connection);
}

void Lender::lost(const BorrowKey &key) {
  if (Uses.erase(key) > 0)
    Io.endBorrower(key, LendingEnd::Lost);
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
  const auto request = std::exchange(use.Waiting, std::nullopt);
  send(now, use, *request);
}

void Lender::pump(TimePoint now, const std::string &service,
                  const InstanceId &instance) {
  const auto queue = Queues.find(instance);
  if (queue == Queues.end())
    return;
  // NOTE: a use may have ended, and its number may stand for a new one.
  std::erase_if(queue->second, [&](const auto &it) { return !isWaiting(it); });
  // NOTE: those of one organisation that find no connection don't hold up the
  // others.
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

void Lender::tellSilence() {
  for (auto &[key, use] : Uses) {
    if (!use.Bound || use.IsToldSilent ||
        Pool.reaches(use.Service, use.Instance))
      continue;
    const auto *connection = Pool.connection(*use.Bound);
    if (!connection || connection->Sent.empty())
      continue;
    use.IsToldSilent = true;
    Io.endBorrower(key, LendingEnd::Silent);
  }
}

void Lender::tick(TimePoint now) {
  tellSilence();
  std::vector<std::pair<BorrowKey, LendingEnd>> refused;
  std::vector<std::pair<std::string, InstanceId>> waiting;
  for (const auto &[instance, queue] : Queues) {
    for (const auto &key : queue) {
      if (!isWaiting(key))
        continue;
      const auto use = Uses.find(key);
      const bool isReached = Pool.reaches(use->second.Service, instance);
      if (!isReached || now - use->second.ArrivedAt > Options.QueueLimit)
        refused.emplace_back(key, isReached ? LendingEnd::Full
                                            : LendingEnd::Unreachable);
      else if (waiting.empty() || waiting.back().second != instance)
        waiting.emplace_back(use->second.Service, instance);
    }
  }
  for (const auto &[key, reason] : refused)
    refuse(key, reason);
  for (const auto &[service, instance] : waiting)
    pump(now, service, instance);
}

} // namespace stepledge::proxy
