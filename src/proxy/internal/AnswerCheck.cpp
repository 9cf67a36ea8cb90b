// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "proxy/internal/AnswerCheck.h"

#include <functional>
#include <string>

namespace stepledge::proxy {

namespace {

/// The number of signatures kept: those of some seconds on a busy connection,
/// in a few KB.
constexpr std::size_t MaxSignatures = 256;

/// The number of texts kept of the errors of one code: an instance has few.
constexpr std::size_t MaxErrorTexts = 16;

std::size_t hashOf(const std::string &signature) {
  return std::hash<std::string>{}(signature);
}

/// Whether the command only changes the session, which no load, lag or role of
/// the instance hinders.
bool isSessionCommand(CommandKind kind) {
  return kind == CommandKind::ResetSession || kind == CommandKind::SetValue ||
         kind == CommandKind::Prepare || kind == CommandKind::Deallocate;
}

} // namespace

std::optional<AnswerFault> AnswerCheck::check(CommandKind kind, DueAnswer due,
                                              const StatementReply &reply) {
  const auto fault = findFault(kind, due, reply);
  if (!reply.IsMalformed)
    note(reply);
  return fault;
}

std::optional<AnswerFault>
AnswerCheck::findFault(CommandKind kind, DueAnswer due,
                       const StatementReply &reply) const {
  if (reply.IsMalformed)
    return AnswerFault::Malformed;
  const bool isSigned = !reply.Signature.empty();
  if (isSigned && KnownSignatures.contains(hashOf(reply.Signature)))
    return AnswerFault::RepeatedSignature;
  if (due == DueAnswer::Any)
    return std::nullopt;
  const bool isOwn = due == DueAnswer::Acknowledgement;
  if (isOwn && isSigned)
    return AnswerFault::UnexpectedSignature;
  if (!isOwn && !isSigned && reply.Code == ReplyCode::Success)
    return AnswerFault::MissingSignature;
  if (due != DueAnswer::Rows && !reply.Rows.empty())
    return AnswerFault::UnexpectedRows;
  if (isSessionCommand(kind) && reply.Code != ReplyCode::Success)
    return AnswerFault::RefusedCommand;
  if (!canLeadTo(kind, due, reply))
    return AnswerFault::ImpossibleState;
  if (reply.Position && Newest && *reply.Position < *Newest)
    return AnswerFault::EarlierPosition;
  return std::nullopt;
}

bool AnswerCheck::hasAnsweredSame(const StatementReply &error) const {
  const auto texts = Errors.find(error.Code);
  return texts != Errors.end() && texts->second.contains(hashOf(error.Detail));
}

bool AnswerCheck::canLeadTo(CommandKind kind, DueAnswer due,
                            const StatementReply &reply) const {
  const bool isSuccess = reply.Code == ReplyCode::Success;
  const bool opens =
      kind == CommandKind::Begin || kind == CommandKind::BeginRead;
  if (isSuccess && opens)
    return State == SessionState::Idle &&
           reply.State == SessionState::InTransaction;
  if (isSuccess && kind == CommandKind::Rollback)
    return reply.State == SessionState::Idle;
  // NOTE: only BEGIN opens a transaction.
  if (State == SessionState::Idle && reply.State == SessionState::InTransaction)
    return false;
  if (isSuccess && due == DueAnswer::Commit)
    return reply.State == SessionState::Idle;
  return !isSuccess || reply.State == State;
}

void AnswerCheck::note(const StatementReply &reply) {
  const bool begins =
      State == SessionState::Idle && reply.State == SessionState::InTransaction;
  BeginCount += begins ? 1 : 0;
  State = reply.State;
  if (reply.Position)
    Newest = reply.Position;
  if (reply.Code != ReplyCode::Success) {
    auto &texts = Errors[reply.Code];
    if (texts.size() < MaxErrorTexts)
      texts.insert(hashOf(reply.Detail));
  }
  if (reply.Signature.empty())
    return;
  Signatures.push_back(hashOf(reply.Signature));
  KnownSignatures.insert(Signatures.back());
  if (Signatures.size() <= MaxSignatures)
    return;
  KnownSignatures.erase(Signatures.front());
  Signatures.pop_front();
}

} // namespace stepledge::proxy
