// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The part of Proxy that stops using a connection whose answers don't
/// match what was asked, and makes sure of errors and proofs that may belong to
/// an earlier command.

#include "proxy/Proxy.h"

#include "absl/strings/str_cat.h"

#include <utility>

namespace stepledge::proxy {

namespace {

/// The name of the statement that is prepared only to be dropped again.
constexpr const char *CheckName = "check";

OutgoingCommand checkOf(CommandKind kind) {
  OutgoingCommand outgoing;
  outgoing.Command.Kind = kind;
  outgoing.Command.Name = CheckName;
  outgoing.Command.Value = CheckName;
  outgoing.Reason = Purpose::Check;
  return outgoing;
}

/// Commands that take no slot at the instance, and whose answers an earlier
/// answer of a session in \p state hardly imitates. They leave the session as
/// it is, but end a failed transaction. \p opensNone if a transaction may be
/// open there after all, or the checks before had the answers of one that is
/// opened.
std::vector<OutgoingCommand> checksIn(SessionState state, bool opensNone) {
  if (state == SessionState::Failed)
    opensNone = false;
  if (opensNone || state == SessionState::InTransaction)
    return {checkOf(CommandKind::Prepare), checkOf(CommandKind::Deallocate)};
  std::vector<OutgoingCommand> checks{checkOf(CommandKind::BeginRead),
                                      checkOf(CommandKind::Rollback)};
  if (state == SessionState::Failed)
    checks.insert(checks.begin(), checkOf(CommandKind::Rollback));
  return checks;
}

} // namespace

void Proxy::distrust(TimePoint now, const InstanceConnection &connection,
                     AnswerFault fault) {
  const InstanceConnection lost = connection;
  Log.decision(absl::StrCat(
      "event=connection_distrusted instance=", lost.Instance.str(),
      " service=", lost.Service, " reason=", std::string(nameOf(fault)),
      " unanswered=", lost.Sent.size(), " lent=", lost.Borrower.has_value(),
      " in_transaction=", lost.IsPinned, " held=", lost.Held.size()));
  Log.answerMismatch(fault);
  Io.closeConnection(lost.Id);
  // NOTE: an instance whose new connections are all distrusted would otherwise
  // get one after the other.
  const bool hasServed = lost.LastServed > lost.OpenedAt;
  if (!lost.isBorrowed() && !hasServed)
    Pool.pauseOpeningUntil(lost.Instance,
                           now + Options.FullInstancePauseUnconnected);
  // NOTE: the instance answers, so this is no silence and no lost path.
  removeLost(now, lost);
}

bool Proxy::mustHold(const InstanceConnection &connection,
                     const SentCommand &sent, const StatementReply &reply) {
  if (sent.Reason != Purpose::Statement)
    return false;
  if (connection.Borrower)
    return true;
  auto *owner = connection.Owner ? session(*connection.Owner) : nullptr;
  if (!owner || !owner->Current || owner->Current->Connection != connection.Id)
    return false;
  // NOTE: other statements are read elsewhere, or rolled back with what they
  // did.
  const bool mayBeKept =
      owner->Current->Statement.Kind == StatementKind::Commit ||
      (owner->State == SessionState::Idle &&
       owner->Current->Mode == AccessMode::Write);
  return mayBeKept || reply.State == SessionState::InTransaction;
}

bool Proxy::holdError(TimePoint now, InstanceConnection &connection,
                      const SentCommand &sent, const StatementReply &reply) {
  Log.errorRepeated(reply.Code);
  const bool isHeld = mustHold(connection, sent, reply);
  if (isHeld)
    connection.Held.push_back({sent, reply});
  // NOTE: what was sent behind a read is answered behind it, and shows the
  // same.
  const bool isLast = connection.Sent.empty();
  if (isHeld || isLast)
    transmit(now, connection,
             checksIn(isLast ? reply.State : SessionState::Idle,
                      sent.Reason != Purpose::Statement ||
                          std::exchange(connection.AlternatesChecks,
                                        !connection.AlternatesChecks)));
  return isHeld;
}

void Proxy::acceptHeld(TimePoint now, InstanceConnection &connection) {
  const ConnectionId id = connection.Id;
  auto held = std::exchange(connection.Held, {});
  // NOTE: until the last of them the connection isn't free.
  for (auto it = held.rbegin(); it != held.rend(); ++it)
    connection.Sent.push_front(it->Sent);
  for (auto &it : held) {
    auto *open = Pool.find(id);
    if (!open)
      return;
    open->Sent.pop_front();
    acceptAnswer(now, *open, it.Sent, std::move(it.Reply));
  }
}

void Proxy::noteProofs(InstanceConnection &connection, const SentCommand &sent,
                       const StatementReply &reply) {
  auto &instances = tracker(connection.Service);
  const auto proof = std::exchange(connection.Proof, std::nullopt);
  if (proof && reply.Code == ReplyCode::Success)
    instances.noteProof(proof->SentAt, connection.Instance, proof->Position);
  const bool hasBegun = sent.Kind == CommandKind::Begin &&
                        reply.Code == ReplyCode::Success && reply.Position;
  if (!hasBegun)
    return;
  // NOTE: what a lender's connection has answered before isn't known here.
  if (connection.isBorrowed() || connection.Answers.hasBegunBefore())
    connection.Proof = {sent.SentAt, *reply.Position};
  else
    instances.noteProof(sent.SentAt, connection.Instance, *reply.Position);
}

} // namespace stepledge::proxy
