// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Whether an answer can be the one to the command that it is taken for.
/// Answers carry no id, and an instance may answer a command twice: an answer
/// that can't be the one due belongs to another command.

#ifndef STEPLEDGE_PROXY_INTERNAL_ANSWERCHECK_H
#define STEPLEDGE_PROXY_INTERNAL_ANSWERCHECK_H

#include "base/NameTable.h"
#include "proxy/types/DueAnswer.h"
#include "proxy/types/InstanceCommand.h"
#include "proxy/types/StatementReply.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace stepledge::proxy {

/// Why an answer can't be the one to the oldest command without an answer.
enum class AnswerFault {
  /// No command awaits an answer.
  Unowed,
  /// The lines were no answer.
  Malformed,
  /// An earlier answer on the connection had this signature.
  RepeatedSignature,
  /// A statement succeeded without the instance's signature.
  MissingSignature,
  /// A signature for a command of the proxy's own.
  UnexpectedSignature,
  /// Rows for what returns none.
  UnexpectedRows,
  /// A command of the proxy's own failed that an instance has no reason to
  /// refuse: what follows it ran in another session than was meant.
  RefusedCommand,
  /// An error of a code that came before, with another text: it may be joined
  /// from a part of the earlier one and the answer that is due.
  OtherText,
  /// The command can't lead to this state from the state before it.
  ImpossibleState,
  /// The instance's log was longer at an earlier answer, or of a later term.
  EarlierPosition,
};

/// For logs and metrics.
constexpr auto AnswerFaultNames = std::to_array<NameEntry<AnswerFault>>({
    {AnswerFault::Unowed, "unowed"},
    {AnswerFault::Malformed, "malformed"},
    {AnswerFault::RepeatedSignature, "repeated_signature"},
    {AnswerFault::MissingSignature, "missing_signature"},
    {AnswerFault::UnexpectedSignature, "unexpected_signature"},
    {AnswerFault::UnexpectedRows, "unexpected_rows"},
    {AnswerFault::RefusedCommand, "refused_command"},
    {AnswerFault::OtherText, "other_text"},
    {AnswerFault::ImpossibleState, "impossible_state"},
    {AnswerFault::EarlierPosition, "earlier_position"},
});

constexpr std::string_view nameOf(AnswerFault fault) {
  return nameIn(AnswerFaultNames, fault);
}

/// What a connection has answered so far.
class AnswerCheck {
public:
  /// The instance accepted the connection with \p reply.
  void greeted(const StatementReply &reply) { note(reply); }
  /// Checks the answer to a command of \p kind, \p due on success, and notes
  /// it.
  std::optional<AnswerFault> check(CommandKind kind, DueAnswer due,
                                   const StatementReply &reply);
  /// Whether an earlier answer was an error of this code, so that another one
  /// may be the second answer to the same command.
  bool hasAnswered(ReplyCode code) const { return Errors.contains(code); }
  /// Whether an earlier error of that code had the same text. Another one may
  /// be joined from the first parts of two answers.
  bool hasAnsweredSame(const StatementReply &error) const;

  /// Whether a transaction was opened before the newest answer, so that this
  /// may be a second answer to that.
  bool hasBegunBefore() const { return BeginCount > 1; }

private:
  std::optional<AnswerFault> findFault(CommandKind kind, DueAnswer due,
                                       const StatementReply &reply) const;
  bool canLeadTo(CommandKind kind, DueAnswer due,
                 const StatementReply &reply) const;
  void note(const StatementReply &reply);

  /// The hashes of the newest signatures, in the order of their answers.
  std::deque<std::size_t> Signatures;
  std::set<std::size_t> KnownSignatures;
  /// The hashes of the texts of the errors, by code.
  std::map<ReplyCode, std::set<std::size_t>> Errors;
  std::uint64_t BeginCount = 0;
  SessionState State = SessionState::Idle;
  std::optional<Mark> Newest;
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_INTERNAL_ANSWERCHECK_H
