// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "request/internal/WriteFlow.h"

#include "request/internal/LedgerEntry.h"
#include "request/internal/ObservationRow.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace stepledge::request {

namespace {

using upstream::StepOutcome;
using upstream::TransactionState;

/// Index of each step in its batch, by kind of batch.
enum PlainStep : std::size_t {
  PlainBegin,
  PlainObserve,
  PlainChange,
  PlainCommit,
  PlainObserveAfter,
  PlainSteps,
};
enum InsertStep : std::size_t {
  InsertBegin,
  InsertObserve,
  InsertKey,
  InsertChange,
  InsertSteps,
};
enum CommitStep : std::size_t {
  CommitRecord,
  CommitCommit,
  CommitObserve,
  CommitSteps,
};
enum ReplayStep : std::size_t {
  ReplayRollback,
  ReplayRead,
  ReplayObserve,
  ReplaySteps,
};
enum ProbeStep : std::size_t {
  ProbeBegin,
  ProbeObserve,
  ProbeKey,
  ProbeSteps,
};

constexpr std::string_view UniqueViolation = "23505";
constexpr std::string_view ReadOnlyViolation = "25006";
/// The SQLSTATE class of transactions that were rolled back.
constexpr std::string_view RollbackClass = "40";
constexpr Duration ProbeDelay = milliseconds(20);

bool areSamePrimary(const std::optional<routing::Observation> &before,
                    const std::optional<routing::Observation> &after) {
  return before && after && before->Role == routing::InstanceRole::Primary &&
         after->Role == routing::InstanceRole::Primary &&
         before->Promised == after->Promised;
}

std::string failureText(const upstream::StepResult &step) {
  return absl::StrCat(step.SqlState, ": ", step.Message);
}

} // namespace

const WriteCall &WriteFlow::callOf(const ActiveRequest &request) const {
  return std::get<WriteCall>(request.Request.Operation);
}

Mark firstMarkAfter(const routing::Observation &seen) {
  return {seen.Promised, LogPosition{seen.Durable.Offset + 1}};
}

bool WriteFlow::accept(ActiveRequest &request, TimePoint now) {
  const auto &key = callOf(request).Key;
  if (key.empty())
    return true;
  const auto id = request.Request.Id;
  const bool runs = std::any_of(
      Context.Requests.begin(), Context.Requests.end(), [&](const auto &it) {
        const auto *call = std::get_if<WriteCall>(&it.second.Request.Operation);
        return it.first != id && call != nullptr && call->Key == key;
      });
  if (runs)
    Context.refuse(id, ResultCode::KeyStillRunning, "", now);
  return !runs;
}

// A leaving primary is asked for outcomes until it is gone, but begins no
// transactions, and after the grace period runs no writes either.
bool WriteFlow::acceptsNewWork(const InstanceId &primary,
                               const ActiveRequest &request,
                               TimePoint now) const {
  const auto leaving = Context.View.leavingFor(primary, now);
  if (!leaving || request.CurrentPhase == Phase::AwaitingProbe)
    return true;
  return !std::holds_alternative<BeginCall>(request.Request.Operation) &&
         *leaving < Context.Common.Failover.LeaveGrace;
}

std::optional<InstanceId> WriteFlow::usablePrimary(ActiveRequest &request,
                                                   TimePoint now) {
  auto primary = Context.livePrimary(now);
  const auto &marks = request.Request.Marks.of(Context.Database.Id);
  const bool isStale =
      primary && std::any_of(marks.begin(), marks.end(), [&](const Mark &it) {
        return it.WrittenIn > Context.View.of(*primary).Last.Promised;
      });
  if (primary && !isStale && acceptsNewWork(*primary, request, now))
    return primary;
  if (request.CurrentPhase == Phase::AwaitingProbe)
    return std::nullopt;
  if (request.ExpiryCode != ResultCode::NoPrimary)
    Context.note(request, {NoteKind::WaitingForPrimary, {}, {}, ""}, now);
  request.ExpiryCode = ResultCode::NoPrimary;
  return std::nullopt;
}

bool WriteFlow::hasLostHistory(const ActiveRequest &request) const {
  const auto &marks = request.Request.Marks.of(Context.Database.Id);
  return std::any_of(marks.begin(), marks.end(), [this](const Mark &it) {
    return Context.View.isDiscarded(it);
  });
}

bool WriteFlow::start(ActiveRequest &request, TimePoint now) {
  const auto primary = usablePrimary(request, now);
  if (!primary)
    return false;
  // NOTE: Once a commit was sent, only its outcome may be answered.
  const bool isNew = request.CurrentPhase != Phase::AwaitingProbe;
  if (isNew && hasLostHistory(request)) {
    Context.refuse(request.Request.Id, ResultCode::HistoryLost, "", now);
    return true;
  }
  const auto connection = Context.connectionFor(*primary);
  if (!connection) {
    if (isNew)
      request.ExpiryCode = ResultCode::DeadlinePassed;
    return false;
  }
  Context.note(request, {NoteKind::Sent, *primary, {}, ""}, now);
  request.Connection = *connection;
  request.SentInTerm =
      std::max(request.SentInTerm, Context.View.of(*primary).Last.Promised);
  if (request.CurrentPhase == Phase::AwaitingProbe)
    sendProbe(request, *connection, now);
  else if (callOf(request).Key.empty())
    sendPlain(request, *connection, now);
  else
    sendInsert(request, *connection, now);
  return true;
}

void WriteFlow::sendPlain(ActiveRequest &request, ConnectionId connection,
                          TimePoint now) {
  const auto &command = callOf(request).Command;
  const auto &observe = Context.Common.Dialect.Observe;
  request.CurrentPhase = Phase::Writing;
  Context.send(connection, WriteWork{request.Request.Id, 0},
               {{"BEGIN", {}, false},
                {observe, {}, false},
                {command.Sql, command.Parameters, false},
                {"COMMIT", {}, true},
                {observe, {}, true}},
               now);
}

void WriteFlow::sendInsert(ActiveRequest &request, ConnectionId connection,
                           TimePoint now) {
  const auto &call = callOf(request);
  const auto &dialect = Context.Common.Dialect;
  std::vector<upstream::Step> steps;
  if (LedgerExistsInTerm < request.SentInTerm)
    steps.push_back({dialect.LedgerCreate, {}, true});
  const auto offset = steps.size();
  steps.push_back({"BEGIN", {}, false});
  steps.push_back({dialect.Observe, {}, false});
  steps.push_back(
      {dialect.LedgerInsert, {call.Key, digestOf(call.Command)}, false});
  steps.push_back({call.Command.Sql, call.Command.Parameters, true});
  request.CurrentPhase = Phase::Inserting;
  Context.send(connection, WriteWork{request.Request.Id, offset},
               std::move(steps), now);
}

void WriteFlow::sendReplay(ActiveRequest &request, ConnectionId connection,
                           Phase phase, TimePoint now) {
  const auto &dialect = Context.Common.Dialect;
  request.CurrentPhase = phase;
  Context.send(connection, WriteWork{request.Request.Id, 0},
               {{"ROLLBACK", {}, false},
                {dialect.LedgerRead, {callOf(request).Key}, false},
                {dialect.Observe, {}, true}},
               now);
}

// Inserts the key as the request itself did. While the lost transaction is
// still open, the instance blocks this insert until it ends; so success proves
// that the transaction can never commit, and a violation that it did.
void WriteFlow::sendProbe(ActiveRequest &request, ConnectionId connection,
                          TimePoint now) {
  const auto &call = callOf(request);
  const auto &dialect = Context.Common.Dialect;
  const auto primary = Context.Pool.find(connection)->Instance;
  Context.note(request, {NoteKind::LookingUpKey, primary, {}, ""}, now);
  request.CurrentPhase = Phase::Probing;
  Context.send(
      connection, WriteWork{request.Request.Id, 0},
      {{"BEGIN", {}, false},
       {dialect.Observe, {}, false},
       {dialect.LedgerInsert, {call.Key, digestOf(call.Command)}, true}},
      now);
}

std::optional<routing::Observation>
WriteFlow::recordObservation(const RunningWork &running,
                             const upstream::BatchResult &result,
                             std::size_t step, TimePoint now) {
  if (step >= result.Steps.size())
    return std::nullopt;
  auto seen = readObservation(result.Steps[step]);
  if (seen)
    Context.View.observe(running.Instance, *seen, running.SentAt, now);
  return seen;
}

void WriteFlow::finished(const WriteWork &work, const RunningWork &running,
                         ConnectionId connection,
                         const upstream::BatchResult &result, TimePoint now) {
  Context.noteCompleted(running.Instance, running.SentAt, now);
  auto *request = Context.find(work.Request);
  if (request == nullptr || request->Connection != connection)
    return Context.release(connection, result.After, now);
  const bool isComplete = result.Steps.size() == running.Steps;
  switch (request->CurrentPhase) {
  case Phase::Inserting:
    if (isComplete)
      return insertDone(*request, running, connection, result, work.Offset,
                        now);
    break;
  case Phase::Probing:
    if (isComplete)
      return probeDone(*request, running, connection, result, now);
    break;
  default:
    break;
  }
  Context.release(connection, result.After, now);
  if (!isComplete)
    return handleUnknownOutcome(*request, now);
  switch (request->CurrentPhase) {
  case Phase::Writing:
    return plainDone(*request, running, result, now);
  case Phase::Committing:
    return commitDone(*request, running, result, now);
  case Phase::Replaying:
  case Phase::ProbeReading:
    return replayDone(*request, running, result, now);
  default:
    return;
  }
}

void WriteFlow::handleNotRun(ActiveRequest &request,
                             const upstream::StepResult &step,
                             const std::optional<routing::Observation> &seen,
                             TimePoint now) {
  const bool wasPrimary = seen && seen->Role == routing::InstanceRole::Primary;
  const bool wrongInstance =
      step.Outcome == StepOutcome::Skipped ||
      (step.SqlState == ReadOnlyViolation && !wasPrimary);
  if (wrongInstance)
    return Context.retryOrRefuse(request, ResultCode::NoPrimary, now);
  Context.refuse(request.Request.Id, ResultCode::StatementFailed,
                 failureText(step), now);
}

void WriteFlow::plainDone(ActiveRequest &request, const RunningWork &running,
                          const upstream::BatchResult &result, TimePoint now) {
  const auto before = recordObservation(running, result, PlainObserve, now);
  const auto after = recordObservation(running, result, PlainObserveAfter, now);
  const auto &change = result.Steps[PlainChange];
  if (change.Outcome != StepOutcome::Ok)
    return handleNotRun(request, change, before, now);
  const auto &commit = result.Steps[PlainCommit];
  // NOTE: The primary was replaced between the write and its commit. The
  // database reports the rollback, so the successor may run the write.
  const bool isReplaced =
      after && after->Role != routing::InstanceRole::Primary;
  if (commit.Outcome == StepOutcome::Failed && isReplaced &&
      commit.SqlState.starts_with(RollbackClass))
    return Context.retryOrRefuse(request, ResultCode::NoPrimary, now);
  if (commit.Outcome != StepOutcome::Ok)
    return Context.refuse(request.Request.Id, ResultCode::StatementFailed,
                          failureText(commit), now);
  if (!areSamePrimary(before, after))
    return Context.refuse(request.Request.Id, ResultCode::ReplacedWhileWriting,
                          "", now);
  CallerAnswer answer;
  answer.Result = resultOf(change);
  if (!Context.fitsLimits(answer.Result)) {
    answer.Result = {{}, {}, change.AffectedRows};
    answer.Code = ResultCode::ResultLeftOut;
  }
  answer.AnsweredBy = running.Instance;
  request.LowestMark = firstMarkAfter(*before);
  awaitMajority(request, after->appliedMark(), std::move(answer), now);
}

void WriteFlow::insertDone(ActiveRequest &request, const RunningWork &running,
                           ConnectionId connection,
                           const upstream::BatchResult &result,
                           std::size_t offset, TimePoint now) {
  const auto seen =
      recordObservation(running, result, offset + InsertObserve, now);
  const auto &key = result.Steps[offset + InsertKey];
  const auto &change = result.Steps[offset + InsertChange];
  const bool isTaken = key.SqlState == UniqueViolation;
  if (key.Outcome == StepOutcome::Failed && isTaken && seen) {
    Context.note(request, {NoteKind::KeyFound, running.Instance, {}, ""}, now);
    return sendReplay(request, connection, Phase::Replaying, now);
  }
  const auto &failed = key.Outcome != StepOutcome::Ok ? key : change;
  if (failed.Outcome != StepOutcome::Ok) {
    Context.release(connection, result.After, now);
    return handleNotRun(request, failed, seen, now);
  }
  const bool isOpen = result.After == TransactionState::Open;
  if (!isOpen || !seen || seen->Role != routing::InstanceRole::Primary) {
    Context.close(connection, now);
    return handleUnknownOutcome(request, now);
  }
  request.PendingAnswer = {};
  request.PendingAnswer.Result = resultOf(change);
  if (!Context.fitsLimits(request.PendingAnswer.Result)) {
    Context.release(connection, result.After, now);
    return Context.refuse(request.Request.Id, ResultCode::ResultTooLarge, "",
                          now);
  }
  request.PendingAnswer.AnsweredBy = running.Instance;
  request.SentInTerm = seen->Promised;
  LedgerExistsInTerm = std::max(LedgerExistsInTerm, seen->Promised);
  Context.note(request, {NoteKind::CommitSent, running.Instance, {}, ""}, now);
  request.CurrentPhase = Phase::Committing;
  const auto &dialect = Context.Common.Dialect;
  Context.send(
      connection, WriteWork{request.Request.Id, 0},
      {{dialect.LedgerRecord,
        {callOf(request).Key, ledgerText(request.PendingAnswer.Result)},
        false},
       {"COMMIT", {}, false},
       {dialect.Observe, {}, true}},
      now);
}

void WriteFlow::commitDone(ActiveRequest &request, const RunningWork &running,
                           const upstream::BatchResult &result, TimePoint now) {
  for (const auto step : {CommitRecord, CommitCommit})
    if (result.Steps[step].Outcome == StepOutcome::Failed)
      return Context.refuse(request.Request.Id, ResultCode::StatementFailed,
                            failureText(result.Steps[step]), now);
  const auto after = recordObservation(running, result, CommitObserve, now);
  const bool isSamePrimary = after && after->Promised == request.SentInTerm &&
                             after->Role == routing::InstanceRole::Primary;
  if (!isSamePrimary)
    return handleUnknownOutcome(request, now);
  awaitMajority(request, after->appliedMark(), std::move(request.PendingAnswer),
                now);
}

void WriteFlow::replayDone(ActiveRequest &request, const RunningWork &running,
                           const upstream::BatchResult &result, TimePoint now) {
  const auto after = recordObservation(running, result, ReplayObserve, now);
  const auto &read = result.Steps[ReplayRead];
  const bool isPrimary = after && after->Role == routing::InstanceRole::Primary;
  if (read.Outcome != StepOutcome::Ok || !isPrimary)
    return handleUnknownOutcome(request, now);
  // NOTE: The transaction that held the key may have been rolled back between
  // the insert and this read; then no write has run under the key yet.
  if (read.Rows.empty()) {
    if (request.CurrentPhase == Phase::ProbeReading)
      return handleUnknownOutcome(request, now);
    return Context.retryOrRefuse(request, ResultCode::KeyStillRunning, now);
  }
  const auto &row = read.Rows.front();
  const auto digest = digestOf(callOf(request).Command);
  if (row.size() != 2 || row[0].value_or("") != digest)
    return Context.refuse(request.Request.Id, ResultCode::KeyReused, "", now);
  const auto recorded = readLedgerText(row[1].value_or(""));
  CallerAnswer answer;
  if (recorded)
    answer.Result = *recorded;
  else
    answer.Code = ResultCode::ResultLeftOut;
  answer.IsReplayed = request.CurrentPhase == Phase::Replaying;
  answer.AnsweredBy = running.Instance;
  awaitMajority(request, after->appliedMark(), std::move(answer), now);
}

void WriteFlow::probeDone(ActiveRequest &request, const RunningWork &running,
                          ConnectionId connection,
                          const upstream::BatchResult &result, TimePoint now) {
  const auto seen = recordObservation(running, result, ProbeObserve, now);
  const auto &key = result.Steps[ProbeKey];
  const bool isUsable = seen && seen->Promised >= request.SentInTerm &&
                        seen->Role == routing::InstanceRole::Primary;
  if (isUsable && key.SqlState == UniqueViolation) {
    Context.note(request, {NoteKind::KeyFound, running.Instance, {}, ""}, now);
    return sendReplay(request, connection, Phase::ProbeReading, now);
  }
  Context.release(connection, result.After, now);
  if (!isUsable || key.Outcome != StepOutcome::Ok)
    return handleUnknownOutcome(request, now);
  Context.note(request, {NoteKind::KeyAbsent, running.Instance, {}, ""}, now);
  // NOTE: A new primary's log may lack the write and still be lost before a
  // majority holds its term; the old log, with the write, would then become
  // current again. So "not run" waits for a majority as "ran" does.
  CallerAnswer answer;
  answer.Code = ResultCode::WriteNotFound;
  awaitMajority(request, seen->appliedMark(), std::move(answer), now);
}

void WriteFlow::handleUnknownOutcome(ActiveRequest &request, TimePoint now) {
  if (callOf(request).Key.empty())
    return Context.refuse(request.Request.Id, ResultCode::WriteOutcomeUnknown,
                          "", now);
  request.CurrentPhase = Phase::AwaitingProbe;
  request.ExpiryCode = ResultCode::WriteOutcomeUnknown;
  request.NotBefore = now + ProbeDelay;
  Context.requeue(request);
}

void WriteFlow::lost(const WriteWork &work, const InstanceId &instance,
                     TimePoint now) {
  auto *request = Context.noteLost(work.Request, instance, now);
  if (request == nullptr)
    return;
  switch (request->CurrentPhase) {
  case Phase::Inserting:
    return Context.retryOrRefuse(*request, ResultCode::UpstreamLost, now);
  case Phase::Replaying:
    return Context.retryOrRefuse(*request, ResultCode::WriteOutcomeUnknown,
                                 now);
  default:
    return handleUnknownOutcome(*request, now);
  }
}

} // namespace stepledge::request
