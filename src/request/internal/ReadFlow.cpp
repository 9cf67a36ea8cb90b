// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "request/internal/ReadFlow.h"

#include "request/internal/ObservationRow.h"

#include "absl/strings/str_cat.h"

namespace stepledge::request {

namespace {

/// Delay before the same read tries an instance again that was tried without
/// success.
constexpr Duration TriedInstanceDelay = milliseconds(10);

/// Index of each step in a read's batch.
enum ReadStep : std::size_t {
  BeginStep,
  ObserveStep,
  QueryStep,
  CommitStep,
  ReadSteps,
};

NoteKind noteFor(routing::Proof proof) {
  switch (proof) {
  case routing::Proof::TooOld:
    return NoteKind::ProofTooOld;
  case routing::Proof::NotPrimary:
    return NoteKind::ProofNotPrimary;
  case routing::Proof::HistoryLost:
    return NoteKind::ProofHistoryLost;
  default:
    return NoteKind::ProofBehind;
  }
}

} // namespace

routing::ReadNeed ReadFlow::needOf(const ActiveRequest &request) const {
  const auto &call = std::get<ReadCall>(request.Request.Operation);
  return {request.Request.Marks.of(Context.Database.Id),
          call.MaxAge.value_or(Context.Database.ReadMaxAge),
          request.Request.Deadline, request.TriedInstances};
}

bool ReadFlow::start(ActiveRequest &request, TimePoint now) {
  auto decision = Context.Router.choose(needOf(request), Context.View,
                                        Context.loads(), now, Context.Random);
  const auto choice = decision.Choice;
  // NOTE: A waiting read is routed again and again; only a change of the
  // decision's kind is recorded.
  const auto *last = request.Record.Entries.empty()
                         ? nullptr
                         : std::get_if<routing::RouteDecision>(
                               &request.Record.Entries.back().Content);
  if (last == nullptr || last->Choice.index() != choice.index())
    request.Record.Entries.push_back(
        {now - request.ArrivedAt, std::move(decision)});

  if (const auto *use = std::get_if<routing::UseInstance>(&choice)) {
    sendTo(request, use->Instance, now);
    return true;
  }
  if (const auto *refusal = std::get_if<routing::RefuseRead>(&choice)) {
    Context.refuse(request.Request.Id, refusal->Why, "", now);
    return true;
  }
  if (const auto *wait = std::get_if<routing::WaitForCatchUp>(&choice))
    request.NotBefore = wait->Until;
  else if (const auto *change = std::get_if<routing::WaitForChange>(&choice))
    waitForChange(request, change->Why, now);
  else
    request.ExpiryCode = ResultCode::DeadlinePassed;
  return false;
}

// Instances that were tried in vain may meet the need after the delay.
void ReadFlow::waitForChange(ActiveRequest &request, ResultCode why,
                             TimePoint now) {
  request.ExpiryCode = why;
  if (request.TriedInstances.empty())
    return;
  request.TriedInstances.clear();
  request.NotBefore = now + TriedInstanceDelay;
}

void ReadFlow::sendTo(ActiveRequest &request, const InstanceId &instance,
                      TimePoint now) {
  const auto connection = Context.connectionFor(instance);
  const auto &query = std::get<ReadCall>(request.Request.Operation).Query;
  request.CurrentPhase = Phase::Reading;
  request.Connection = *connection;
  Context.send(*connection, ReadWork{request.Request.Id},
               {{"BEGIN READ ONLY", {}, false},
                {Context.Common.Dialect.Observe, {}, false},
                {query.Sql, query.Parameters, false},
                {"COMMIT", {}, true}},
               now);
}

void ReadFlow::finished(const ReadWork &work, const RunningWork &running,
                        ConnectionId connection,
                        const upstream::BatchResult &result, TimePoint now) {
  Context.release(connection, result.After, now);
  Context.noteCompleted(running.Instance, running.SentAt, now);
  std::optional<routing::Observation> seen;
  if (result.Steps.size() == ReadSteps)
    seen = readObservation(result.Steps[ObserveStep]);
  if (seen)
    Context.View.observe(running.Instance, *seen, running.SentAt, now);
  auto *request = Context.find(work.Request);
  if (request == nullptr)
    return;
  if (!seen) {
    Context.View.noteFailure(running.Instance);
    request->TriedInstances.insert(running.Instance);
    return Context.retryOrRefuse(*request, ResultCode::UpstreamLost, now);
  }
  checkProof(*request, running.Instance, *seen, result.Steps[QueryStep], now);
}

void ReadFlow::checkProof(ActiveRequest &request, const InstanceId &instance,
                          const routing::Observation &seen,
                          const upstream::StepResult &step, TimePoint now) {
  const auto proof =
      Context.Router.prove(needOf(request), Context.View, seen, now);
  if (proof == routing::Proof::Holds)
    return answer(request, instance, seen, step, now);
  Context.note(request, {noteFor(proof), instance, seen.appliedMark(), ""},
               now);
  if (proof == routing::Proof::HistoryLost)
    return Context.refuse(request.Request.Id, ResultCode::HistoryLost, "", now);
  request.TriedInstances.insert(instance);
  Context.retryOrRefuse(request, ResultCode::NoInstanceFreshEnough, now);
}

// A primary's data is as old as the last confirmation by a majority that it is
// the primary.
std::optional<Duration> ReadFlow::ageOf(const routing::Observation &seen,
                                        TimePoint now) const {
  const auto confirmed = Context.View.confirmedAt(seen.Promised);
  if (seen.Role == routing::InstanceRole::Primary && confirmed)
    return std::max(Duration{0}, now - *confirmed);
  return Context.View.ageOf(seen.appliedMark(), now);
}

void ReadFlow::answer(ActiveRequest &request, const InstanceId &instance,
                      const routing::Observation &seen,
                      const upstream::StepResult &step, TimePoint now) {
  const auto id = request.Request.Id;
  if (step.Outcome != upstream::StepOutcome::Ok)
    return Context.refuse(id, ResultCode::StatementFailed,
                          absl::StrCat(step.SqlState, ": ", step.Message), now);
  CallerAnswer answer;
  answer.Result = resultOf(step);
  if (!Context.fitsLimits(answer.Result))
    return Context.refuse(id, ResultCode::ResultTooLarge, "", now);
  answer.AnsweredBy = instance;
  answer.IsFromReplica = seen.Role != routing::InstanceRole::Primary;
  answer.Age = ageOf(seen, now);
  answer.Marks = request.Request.Marks;
  answer.Marks.replace(Context.Database.Id, seen.appliedMark());
  Context.finish(id, std::move(answer), now);
}

void ReadFlow::lost(const ReadWork &work, const InstanceId &instance,
                    TimePoint now) {
  auto *request = Context.noteLost(work.Request, instance, now);
  if (request == nullptr)
    return;
  request->TriedInstances.insert(instance);
  Context.retryOrRefuse(*request, ResultCode::UpstreamLost, now);
}

} // namespace stepledge::request
