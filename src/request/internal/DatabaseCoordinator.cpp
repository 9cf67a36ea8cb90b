// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "request/internal/DatabaseCoordinator.h"

#include "request/internal/SqlGuard.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace stepledge::request {

namespace {

using admission::WorkClass;

/// The statement of a call, if it has one.
struct StatementOf {
  const Statement *operator()(const ReadCall &it) const { return &it.Query; }
  const Statement *operator()(const WriteCall &it) const { return &it.Command; }
  const Statement *operator()(const StatementCall &it) const {
    return &it.Command;
  }
  template <typename Other> const Statement *operator()(const Other &) const {
    return nullptr;
  }
};

bool isInTransaction(const Call &call) { return !transactionOf(call).empty(); }

WorkClass classOf(const CallerRequest &request, Duration defaultMaxAge) {
  if (isInTransaction(request.Operation))
    return WorkClass::Transaction;
  const auto *read = std::get_if<ReadCall>(&request.Operation);
  if (read == nullptr)
    return WorkClass::Write;
  const bool isCurrent = read->MaxAge.value_or(defaultMaxAge).count() == 0;
  const bool hasMarks = !request.Marks.of(request.Database).empty();
  return isCurrent || hasMarks ? WorkClass::SessionRead : WorkClass::Browse;
}

} // namespace

DatabaseCoordinator::DatabaseCoordinator(
    const settings::DatabaseSettings &database,
    const settings::Settings &common, ProcessCounters &counters,
    routing::Random &random)
    : Context(database, common, counters, random), Observing(Context),
      Replacing(Context, Observing), Reads(Context), Writes(Context),
      Transactions(Context, Writes) {}

Effects DatabaseCoordinator::takeEffects() {
  return std::exchange(Context.PendingEffects, {});
}

void DatabaseCoordinator::arrived(const CallerRequest &asked, TimePoint now) {
  const auto id = asked.Id;
  Context.Retries.noteRequest();
  auto &request = Context.Requests[id];
  request.Request = asked;
  request.Class = classOf(asked, Context.Database.ReadMaxAge);
  request.ArrivedAt = now;
  request.Record.Id = DecisionId(
      absl::StrCat(Context.Common.Vm.str(), "-", ++Context.Counters.Decisions));
  request.Record.Database = Context.Database.Id;
  request.Record.Kind = kindOf(asked.Operation);
  if (!accept(request, now))
    return;
  const auto admission =
      Context.Queue.push({id, request.Class, asked.Deadline}, now);
  if (admission.Code == ResultCode::Done)
    return Context.note(request, {NoteKind::Admitted, {}, {}, ""}, now);
  Context.note(request, {NoteKind::Refused, {}, {}, ""}, now);
  if (isInTransaction(asked.Operation))
    return Transactions.expire(request, now);
  CallerAnswer refusal;
  refusal.Code = admission.Code;
  refusal.RetryAfter = admission.Wait;
  Context.finish(id, std::move(refusal), now);
}

bool DatabaseCoordinator::accept(ActiveRequest &request, TimePoint now) {
  const auto id = request.Request.Id;
  const auto &call = request.Request.Operation;
  if (Context.IsStopping && !isInTransaction(call)) {
    Context.refuse(id, ResultCode::Stopping, "", now);
    return false;
  }
  if (request.Request.Deadline <= now) {
    Context.refuse(id, ResultCode::DeadlinePassed, "", now);
    return false;
  }
  const auto *statement = std::visit(StatementOf(), call);
  if (statement != nullptr && isForbidden(statement->Sql)) {
    Context.refuse(id, ResultCode::StatementForbidden, "", now);
    return false;
  }
  if (std::holds_alternative<ReadCall>(call))
    return true;
  if (std::holds_alternative<WriteCall>(call))
    return Writes.accept(request, now);
  return Transactions.accept(request, now);
}

bool DatabaseCoordinator::start(ActiveRequest &request, TimePoint now) {
  const auto &call = request.Request.Operation;
  if (std::holds_alternative<ReadCall>(call))
    return Reads.start(request, now);
  if (std::holds_alternative<WriteCall>(call))
    return Writes.start(request, now);
  return Transactions.start(request, now);
}

void DatabaseCoordinator::dispatchQueue(TimePoint now) {
  if (Context.Queue.size() == 0)
    return;
  for (const auto &it : Context.Queue.order()) {
    auto *request = Context.find(it.Id);
    if (request == nullptr || request->NotBefore > now)
      continue;
    const bool isRollback =
        std::holds_alternative<RollbackCall>(request->Request.Operation);
    if (!isRollback && !Context.hasCapacity())
      continue;
    if (start(*request, now))
      Context.Queue.remove(it.Id);
  }
}

void DatabaseCoordinator::opened(ConnectionId connection, TimePoint now) {
  Context.Pool.opened(connection, now);
  const auto *pooled = Context.Pool.find(connection);
  if (pooled != nullptr && pooled->IsMonitoring)
    Observing.opened(connection, now);
}

void DatabaseCoordinator::abortWork(const RunningWork &running, TimePoint now) {
  struct Visitor {
    DatabaseCoordinator &Self;
    const InstanceId &Instance;
    TimePoint Now;
    void operator()(const ReadWork &it) const {
      Self.Reads.lost(it, Instance, Now);
    }
    void operator()(const WriteWork &it) const {
      Self.Writes.lost(it, Instance, Now);
    }
    void operator()(const TransactionWork &it) const {
      Self.Transactions.lost(it, Instance, Now);
    }
    void operator()(const ObserveWork &) const {}
    void operator()(const ResetWork &) const {}
  };
  std::visit(Visitor{*this, running.Instance, now}, running.Task);
}

void DatabaseCoordinator::lost(ConnectionId connection, TimePoint now) {
  const auto *pooled = Context.Pool.find(connection);
  if (pooled == nullptr)
    return;
  const bool failed = pooled->State == ConnectionState::Opening;
  const auto dropped = *Context.Pool.drop(connection, failed, now);
  if (dropped.IsMonitoring)
    Observing.lost(dropped.Instance);
  const auto it = Context.Running.find(connection);
  if (it == Context.Running.end())
    return Transactions.lostPinned(connection, now);
  const auto running = it->second;
  Context.Running.erase(it);
  abortWork(running, now);
}

void DatabaseCoordinator::disconnectInstance(const InstanceId &instance,
                                             TimePoint now) {
  Context.View.noteFailure(instance);
  for (const auto &it : Context.Pool.connectionsTo(instance)) {
    if (Context.Pool.find(it.Id) != nullptr)
      disconnect(it.Id, now);
  }
}

void DatabaseCoordinator::disconnect(ConnectionId connection, TimePoint now) {
  Context.PendingEffects.push_back(CloseConnection{connection});
  lost(connection, now);
}

// NOTE: Work on a replaced primary can't be acknowledged any more. Its outcome
// is looked up at the new primary at once, instead of after the old one's
// timeout.
void DatabaseCoordinator::abortOnReplacedPrimary(TimePoint now) {
  const auto primary = Context.View.primary();
  if (!primary || Context.View.term() == AbortedInTerm)
    return;
  if (Context.View.of(*primary).Last.LogTerm != Context.View.term())
    return;
  AbortedInTerm = Context.View.term();
  std::vector<ConnectionId> aborted;
  for (const auto &[connection, running] : Context.Running)
    if (running.Instance != *primary &&
        (std::holds_alternative<WriteWork>(running.Task) ||
         std::holds_alternative<TransactionWork>(running.Task)))
      aborted.push_back(connection);
  for (const auto &it : aborted)
    if (Context.Pool.find(it) != nullptr)
      disconnect(it, now);
}

void DatabaseCoordinator::finished(ConnectionId connection,
                                   const upstream::BatchResult &result,
                                   TimePoint now) {
  const auto it = Context.Running.find(connection);
  // NOTE: An answer to a batch other than the running one is late or
  // duplicated; no request waits for it.
  if (it == Context.Running.end() || it->second.Batch != result.Id)
    return;
  const auto running = it->second;
  Context.Running.erase(it);
  struct Visitor {
    DatabaseCoordinator &Self;
    const RunningWork &Running;
    ConnectionId Connection;
    const upstream::BatchResult &Result;
    TimePoint Now;
    void operator()(const ObserveWork &) const {
      Self.Observing.finished(Running, Connection, Result, Now);
    }
    void operator()(const ReadWork &it) const {
      Self.Reads.finished(it, Running, Connection, Result, Now);
    }
    void operator()(const WriteWork &it) const {
      Self.Writes.finished(it, Running, Connection, Result, Now);
    }
    void operator()(const TransactionWork &it) const {
      Self.Transactions.finished(it, Running, Connection, Result, Now);
    }
    void operator()(const ResetWork &) const {
      // NOTE: A connection that is not idle after a rollback is unusable.
      if (Result.After == upstream::TransactionState::Idle)
        Self.Context.release(Connection, Result.After, Now);
      else
        Self.Context.close(Connection, Now);
    }
  };
  std::visit(Visitor{*this, running, connection, result, now}, running.Task);
}

void DatabaseCoordinator::end(TimePoint now) {
  for (auto &[id, it] : Context.Requests) {
    if (it.ExpiryCode == ResultCode::DeadlinePassed)
      it.ExpiryCode = ResultCode::Stopping;
    it.Request.Deadline = now;
  }
  expireQueued(TimePoint::max(), now);
}

void DatabaseCoordinator::expireQueued(TimePoint deadline, TimePoint now) {
  for (const auto &it : Context.Queue.takeExpired(deadline)) {
    auto *request = Context.find(it.Id);
    if (request == nullptr)
      continue;
    if (isInTransaction(request->Request.Operation)) {
      Transactions.expire(*request, now);
      continue;
    }
    Context.note(*request, {NoteKind::DeadlinePassed, {}, {}, ""}, now);
    Context.refuse(it.Id, request->ExpiryCode, "", now);
  }
}

void DatabaseCoordinator::expireSent(TimePoint now) {
  std::vector<RequestId> due;
  for (const auto &[id, it] : Context.Requests)
    if (it.Request.Deadline <= now)
      due.push_back(id);
  std::sort(due.begin(), due.end());
  for (const auto id : due) {
    auto &request = *Context.find(id);
    const auto &call = request.Request.Operation;
    if (request.CurrentPhase == Phase::AwaitingMajority ||
        std::holds_alternative<WriteCall>(call))
      Writes.expire(request, now);
    else if (std::holds_alternative<ReadCall>(call))
      Context.refuse(id, ResultCode::ReadAbandoned, "", now);
    else
      Transactions.expire(request, now);
  }
}

void DatabaseCoordinator::keepWarm(TimePoint now) {
  for (const auto &it : Context.Database.Instances) {
    const auto &state = Context.View.of(it.Id);
    const bool isLive =
        state.Seen && now - state.AnsweredAt <= Context.Common.Timing.Silence;
    if (!isLive)
      continue;
    const auto all = Context.Pool.connectionsTo(it.Id);
    const auto pinned = std::count_if(
        all.begin(), all.end(), [](const PooledConnection &connection) {
          return connection.State == ConnectionState::Pinned;
        });
    const auto target =
        Context.Pool.warmTarget(it.Id) + static_cast<int>(pinned);
    while (Context.Pool.count(it.Id, false) < target &&
           Context.Pool.canOpen(it.Id, false, now)) {
      const auto id = Context.Pool.startOpening(it.Id, false, now);
      Context.PendingEffects.push_back(
          OpenConnection{id, Context.Database.Id, it.Id});
    }
  }
}

// Whether answers wait for a majority, or a primary is being replaced.
bool DatabaseCoordinator::needsFrequentPolling() const {
  return Writes.isAwaitingMajority() || Replacing.needsFrequentPolling();
}

void DatabaseCoordinator::advance(TimePoint now) {
  for (const auto &it : Observing.tick(needsFrequentPolling(), now))
    disconnectInstance(it, now);
  Replacing.tick(now);
  abortOnReplacedPrimary(now);
  Writes.resolveAwaiting(now);
  expireQueued(now, now);
  expireSent(now);
  Transactions.abortExpired(now);
  dispatchQueue(now);
  keepWarm(now);
}

std::optional<TimePoint> DatabaseCoordinator::nextWake(TimePoint now) const {
  auto next = Observing.nextWake(needsFrequentPolling(), now);
  if (const auto limit = Transactions.nextExpiry())
    next = std::min(next, *limit);
  for (const auto &[id, it] : Context.Requests) {
    next = std::min(next, it.Request.Deadline);
    if (it.CurrentPhase == Phase::Queued ||
        it.CurrentPhase == Phase::AwaitingProbe)
      if (it.NotBefore > now)
        next = std::min(next, it.NotBefore);
  }
  return next;
}

std::size_t DatabaseCoordinator::openWorkCount() const {
  return Context.Requests.size() + Transactions.openCount();
}

bool DatabaseCoordinator::isServing(TimePoint now) const {
  const auto &all = Context.View.all();
  return std::any_of(all.begin(), all.end(), [&](const auto &it) {
    return it.second.Seen &&
           now - it.second.AnsweredAt <= Context.Common.Timing.Silence;
  });
}

} // namespace stepledge::request
