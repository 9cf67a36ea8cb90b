// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "request/internal/TransactionFlow.h"

#include "request/internal/ObservationRow.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <algorithm>

namespace stepledge::request {

namespace {

using upstream::StepOutcome;
using upstream::TransactionState;

enum BeginStep : std::size_t { BeginBegin, BeginObserve, BeginSteps };
enum CommitStep : std::size_t {
  CommitObserve,
  CommitCommit,
  CommitObserveAfter,
  CommitSteps,
};

} // namespace

TransactionId TransactionFlow::newId() {
  return TransactionId(
      absl::StrCat(Context.Common.Vm.str(), ".", Context.Database.Id.str(), ".",
                   ++Context.Counters.Transactions, ".",
                   absl::StrFormat("%016x", Context.Random())));
}

bool TransactionFlow::accept(ActiveRequest &request, TimePoint now) {
  const auto &call = request.Request.Operation;
  if (std::holds_alternative<BeginCall>(call)) {
    if (Table.size() < Context.Common.Limits.Transactions)
      return true;
    Context.refuse(request.Request.Id, ResultCode::TransactionLimit, "", now);
    return false;
  }
  if (const auto *statement = std::get_if<StatementCall>(&call))
    return acceptStep(request, statement->Transaction, statement->Sequence,
                      now);
  if (const auto *commit = std::get_if<CommitCall>(&call))
    return acceptStep(request, commit->Transaction, commit->Sequence, now);
  const auto &id = std::get<RollbackCall>(call).Transaction;
  const auto *open = Table.find(id).second;
  return acceptStep(request, id, open == nullptr ? 0 : open->NextSequence, now);
}

bool TransactionFlow::acceptStep(ActiveRequest &request,
                                 const TransactionId &id,
                                 std::uint32_t sequence, TimePoint now) {
  auto *transaction = Table.find(id).second;
  const auto refuse = [&](ResultCode code, const std::string &detail) {
    Context.refuse(request.Request.Id, code, detail, now);
    return false;
  };
  if (transaction == nullptr)
    return refuse(Table.closeReason(id), "");
  if (sequence != transaction->NextSequence)
    return refuse(ResultCode::TransactionSequence,
                  absl::StrCat("the next one is ", transaction->NextSequence));
  if (transaction->CurrentPhase != TransactionPhase::Ready)
    return refuse(ResultCode::TransactionBusy, "");
  transaction->CurrentPhase = TransactionPhase::Running;
  transaction->Request = request.Request.Id;
  transaction->LastUsedAt = now;
  ++transaction->NextSequence;
  return true;
}

bool TransactionFlow::start(ActiveRequest &request, TimePoint now) {
  const auto &call = request.Request.Operation;
  if (std::holds_alternative<BeginCall>(call))
    return startBegin(request, now);
  const auto [number, transaction] = Table.find(transactionOf(call));
  if (transaction == nullptr) {
    Context.refuse(request.Request.Id, ResultCode::TransactionLost, "", now);
    return true;
  }
  const TransactionWork work{number, request.Request.Id};
  request.Connection = transaction->Connection;
  if (std::holds_alternative<RollbackCall>(call)) {
    request.CurrentPhase = Phase::RollingBack;
    Context.send(request.Connection, work, {{"ROLLBACK", {}, true}}, now);
    return true;
  }
  if (!Context.hasFreeSlot(transaction->Instance))
    return false;
  if (const auto *statement = std::get_if<StatementCall>(&call)) {
    request.CurrentPhase = Phase::InTransaction;
    Context.send(
        request.Connection, work,
        {{statement->Command.Sql, statement->Command.Parameters, true}}, now);
    return true;
  }
  const auto &observe = Context.Common.Dialect.Observe;
  request.CurrentPhase = Phase::CommittingTransaction;
  transaction->CurrentPhase = TransactionPhase::Committing;
  Context.note(request, {NoteKind::CommitSent, transaction->Instance, {}, ""},
               now);
  Context.send(
      request.Connection, work,
      {{observe, {}, false}, {"COMMIT", {}, true}, {observe, {}, true}}, now);
  return true;
}

bool TransactionFlow::startBegin(ActiveRequest &request, TimePoint now) {
  const auto primary = Writes.usablePrimary(request, now);
  if (!primary)
    return false;
  const auto connection = Context.connectionFor(*primary);
  if (!connection) {
    request.ExpiryCode = ResultCode::DeadlinePassed;
    return false;
  }
  OpenTransaction transaction;
  transaction.Id = newId();
  transaction.Connection = *connection;
  transaction.Instance = *primary;
  transaction.Request = request.Request.Id;
  transaction.OpenedAt = transaction.LastUsedAt = now;
  const auto number =
      Table.open(Context.Counters.Transactions, std::move(transaction));
  request.CurrentPhase = Phase::Beginning;
  request.Connection = *connection;
  Context.note(request, {NoteKind::Sent, *primary, {}, ""}, now);
  Context.send(
      *connection, TransactionWork{number, request.Request.Id},
      {{"BEGIN", {}, false}, {Context.Common.Dialect.Observe, {}, true}}, now);
  return true;
}

void TransactionFlow::finished(const TransactionWork &work,
                               const RunningWork &running,
                               ConnectionId connection,
                               const upstream::BatchResult &result,
                               TimePoint now) {
  Context.noteCompleted(running.Instance, running.SentAt, now);
  auto *request = Context.find(work.Request);
  auto *transaction = Table.find(work.Transaction);
  if (transaction == nullptr)
    return Context.release(connection, result.After, now);
  if (result.Steps.size() != running.Steps)
    return abort(work.Transaction, ResultCode::TransactionLost, now);
  if (transaction->CurrentPhase == TransactionPhase::Beginning)
    return beginDone(request, work.Transaction, running, result, now);
  if (transaction->CurrentPhase == TransactionPhase::Committing)
    return commitDone(request, work.Transaction, running, result, now);
  stepDone(request, work.Transaction, result, now);
}

void TransactionFlow::beginDone(ActiveRequest *request, std::uint64_t number,
                                const RunningWork &running,
                                const upstream::BatchResult &result,
                                TimePoint now) {
  auto &transaction = *Table.find(number);
  const auto seen = readObservation(result.Steps[BeginObserve]);
  if (seen)
    Context.View.observe(running.Instance, *seen, running.SentAt, now);
  const bool isOpen = seen && result.After == TransactionState::Open &&
                      seen->Role == routing::InstanceRole::Primary;
  if (!isOpen || request == nullptr) {
    Context.release(transaction.Connection, result.After, now);
    Table.close(number, ResultCode::TransactionRolledBack);
    if (request != nullptr)
      Context.retryOrRefuse(*request, ResultCode::NoPrimary, now);
    return;
  }
  transaction.CurrentPhase = TransactionPhase::Ready;
  transaction.BeganInTerm = seen->Promised;
  transaction.LastUsedAt = now;
  Context.Pool.setState(transaction.Connection, ConnectionState::Pinned, now);
  CallerAnswer answer;
  answer.Transaction = transaction.Id;
  answer.AnsweredBy = transaction.Instance;
  Context.finish(request->Request.Id, std::move(answer), now);
}

void TransactionFlow::stepDone(ActiveRequest *request, std::uint64_t number,
                               const upstream::BatchResult &result,
                               TimePoint now) {
  auto &transaction = *Table.find(number);
  const auto &step = result.Steps.front();
  const bool isRollback =
      request != nullptr && request->CurrentPhase == Phase::RollingBack;
  const bool isOpen = result.After == TransactionState::Open;
  CallerAnswer answer;
  answer.Result = resultOf(step);
  answer.Transaction = transaction.Id;
  answer.AnsweredBy = transaction.Instance;
  const bool isKept = step.Outcome == StepOutcome::Ok && isOpen &&
                      request != nullptr && !isRollback &&
                      Context.fitsLimits(answer.Result);
  if (isKept) {
    transaction.CurrentPhase = TransactionPhase::Ready;
    transaction.LastUsedAt = now;
    Context.Pool.setState(transaction.Connection, ConnectionState::Pinned, now);
    return Context.finish(request->Request.Id, std::move(answer), now);
  }
  Context.release(transaction.Connection, result.After, now);
  Table.close(number, ResultCode::TransactionRolledBack);
  if (request == nullptr)
    return;
  const auto id = request->Request.Id;
  if (isRollback)
    return Context.finish(id, std::move(answer), now);
  if (step.Outcome != StepOutcome::Ok)
    return Context.refuse(id, ResultCode::StatementFailed,
                          absl::StrCat(step.SqlState, ": ", step.Message), now);
  // NOTE: The statement ended its own transaction in a way that the check of
  // its first word missed, so its outcome is unknown.
  Context.refuse(
      id, isOpen ? ResultCode::ResultTooLarge : ResultCode::WriteOutcomeUnknown,
      "", now);
}

void TransactionFlow::commitDone(ActiveRequest *request, std::uint64_t number,
                                 const RunningWork &running,
                                 const upstream::BatchResult &result,
                                 TimePoint now) {
  const auto transaction = *Table.find(number);
  const auto before = readObservation(result.Steps[CommitObserve]);
  const auto after = readObservation(result.Steps[CommitObserveAfter]);
  const auto &commit = result.Steps[CommitCommit];
  if (after)
    Context.View.observe(running.Instance, *after, running.SentAt, now);
  Context.release(transaction.Connection, result.After, now);
  const bool ran = commit.Outcome == StepOutcome::Ok;
  Table.close(number, ran ? ResultCode::TransactionUnknown
                          : ResultCode::TransactionRolledBack);
  if (request == nullptr)
    return;
  const auto id = request->Request.Id;
  if (!ran)
    return Context.refuse(id, ResultCode::TransactionRolledBack,
                          absl::StrCat(commit.SqlState, ": ", commit.Message),
                          now);
  const bool isSamePrimary = before && after &&
                             after->Role == routing::InstanceRole::Primary &&
                             after->Promised == transaction.BeganInTerm;
  if (!isSamePrimary)
    return Context.refuse(id, ResultCode::ReplacedWhileWriting, "", now);
  CallerAnswer answer;
  answer.AnsweredBy = transaction.Instance;
  request->LowestMark = firstMarkAfter(*before);
  Writes.awaitMajority(*request, after->appliedMark(), std::move(answer), now);
}

void TransactionFlow::abort(std::uint64_t number, ResultCode reason,
                            TimePoint now) {
  const auto *found = Table.find(number);
  if (found == nullptr)
    return;
  const auto transaction = *found;
  Context.close(transaction.Connection, now);
  Table.close(number, reason);
  if (transaction.CurrentPhase == TransactionPhase::Ready)
    return;
  auto *request = Context.find(transaction.Request);
  if (request == nullptr)
    return;
  Context.Queue.remove(transaction.Request);
  if (transaction.CurrentPhase == TransactionPhase::Beginning)
    return Context.retryOrRefuse(*request, reason, now);
  const bool isOpen = transaction.CurrentPhase == TransactionPhase::Committing;
  Context.refuse(transaction.Request,
                 isOpen ? ResultCode::WriteOutcomeUnknown : reason, "", now);
}

void TransactionFlow::lost(const TransactionWork &work,
                           const InstanceId &instance, TimePoint now) {
  Context.View.noteFailure(instance);
  abort(work.Transaction, ResultCode::TransactionLost, now);
}

void TransactionFlow::lostPinned(ConnectionId connection, TimePoint now) {
  for (const auto number : Table.numbers())
    if (Table.find(number)->Connection == connection)
      abort(number, ResultCode::TransactionLost, now);
}

void TransactionFlow::expire(ActiveRequest &request, TimePoint now) {
  const auto id = request.Request.Id;
  Context.note(request, {NoteKind::DeadlinePassed, {}, {}, ""}, now);
  for (const auto number : Table.numbers())
    if (Table.find(number)->Request == id &&
        Table.find(number)->CurrentPhase != TransactionPhase::Ready)
      abort(number, ResultCode::TransactionRolledBack, now);
  if (Context.find(id) != nullptr)
    Context.refuse(id, ResultCode::DeadlinePassed, "", now);
}

void TransactionFlow::abortExpired(TimePoint now) {
  const auto &timing = Context.Common.Timing;
  for (const auto number : Table.numbers()) {
    const auto &it = *Table.find(number);
    if (it.CurrentPhase == TransactionPhase::Committing)
      continue;
    if (now - it.OpenedAt >= timing.TransactionTotal)
      abort(number, ResultCode::TransactionTooLong, now);
    else if (it.CurrentPhase == TransactionPhase::Ready &&
             now - it.LastUsedAt >= timing.TransactionIdle)
      abort(number, ResultCode::TransactionIdle, now);
  }
}

std::optional<TimePoint> TransactionFlow::nextExpiry() const {
  std::optional<TimePoint> next;
  const auto &timing = Context.Common.Timing;
  for (const auto &[number, it] : Table.all()) {
    auto limit = it.OpenedAt + timing.TransactionTotal;
    if (it.CurrentPhase == TransactionPhase::Ready)
      limit = std::min(limit, it.LastUsedAt + timing.TransactionIdle);
    if (it.CurrentPhase != TransactionPhase::Committing &&
        (!next || limit < *next))
      next = limit;
  }
  return next;
}

} // namespace stepledge::request
