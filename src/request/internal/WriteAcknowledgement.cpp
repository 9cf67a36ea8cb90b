// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The part of WriteFlow that waits until a majority holds a write.

#include "request/internal/WriteFlow.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace stepledge::request {

void WriteFlow::awaitMajority(ActiveRequest &request, Mark mark,
                              CallerAnswer answer, TimePoint now) {
  const auto id = request.Request.Id;
  answer.Marks = request.Request.Marks;
  const auto kept = Context.View.history().includesAll(
      mark, answer.Marks.of(Context.Database.Id));
  if (kept == session::Inclusion::Included)
    answer.Marks.replace(Context.Database.Id, mark);
  else
    answer.Marks.add(Context.Database.Id, mark);
  using settings::AcknowledgeMode;
  if (Context.Database.Acknowledge == AcknowledgeMode::Primary)
    return Context.finish(id, std::move(answer), now);
  request.CurrentPhase = Phase::AwaitingMajority;
  request.AwaitedMark = mark;
  request.PendingAnswer = std::move(answer);
  Context.note(
      request,
      {NoteKind::AwaitingMajority, request.PendingAnswer.AnsweredBy, mark, ""},
      now);
}

bool WriteFlow::isAwaitingMajority() const {
  return std::any_of(Context.Requests.begin(), Context.Requests.end(),
                     [](const auto &it) {
                       return it.second.CurrentPhase == Phase::AwaitingMajority;
                     });
}

void WriteFlow::resolveAwaiting(TimePoint now) {
  std::vector<RequestId> waiting;
  for (const auto &[id, it] : Context.Requests)
    if (it.CurrentPhase == Phase::AwaitingMajority)
      waiting.push_back(id);
  std::sort(waiting.begin(), waiting.end());
  for (const auto id : waiting) {
    auto &request = *Context.find(id);
    if (Context.View.isHeldByMajority(request.AwaitedMark)) {
      Context.note(request,
                   {NoteKind::MajorityReached, {}, request.AwaitedMark, ""},
                   now);
      Context.finish(id, std::move(request.PendingAnswer), now);
    } else if (Context.View.isDiscarded(request.AwaitedMark)) {
      handleDiscarded(request, now);
    }
  }
}

// The log was truncated somewhere before AwaitedMark. The write itself may lie
// before that place, since AwaitedMark is only an upper bound of its position.
void WriteFlow::handleDiscarded(ActiveRequest &request, TimePoint now) {
  const auto id = request.Request.Id;
  Context.note(request, {NoteKind::Discarded, {}, request.AwaitedMark, ""},
               now);
  const auto *write = std::get_if<WriteCall>(&request.Request.Operation);
  if (write != nullptr && !write->Key.empty())
    return handleUnknownOutcome(request, now);
  const bool isLost =
      request.LowestMark && Context.View.isDiscarded(*request.LowestMark);
  Context.refuse(id,
                 isLost ? ResultCode::WriteDiscarded
                        : ResultCode::ReplacedWhileWriting,
                 "", now);
}

void WriteFlow::expire(ActiveRequest &request, TimePoint now) {
  const auto id = request.Request.Id;
  Context.note(request, {NoteKind::DeadlinePassed, {}, {}, ""}, now);
  switch (request.CurrentPhase) {
  case Phase::Inserting:
    // NOTE: No commit was sent, so the database rolls the transaction back.
    Context.close(request.Connection, now);
    return Context.refuse(id, ResultCode::DeadlinePassed, "", now);
  case Phase::AwaitingMajority:
    return Context.refuse(id, ResultCode::AcknowledgementMissing, "", now);
  default:
    return Context.refuse(id, ResultCode::WriteOutcomeUnknown, "", now);
  }
}

} // namespace stepledge::request
