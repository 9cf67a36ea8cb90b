// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The state of one client's connection.

#ifndef STEPLEDGE_PROXY_INTERNAL_CLIENTSESSION_H
#define STEPLEDGE_PROXY_INTERNAL_CLIENTSESSION_H

#include "control/types/Configuration.h"
#include "proxy/internal/InstanceConnection.h"
#include "session/types/SessionMarks.h"

#include <deque>
#include <optional>
#include <set>

namespace stepledge::proxy {

enum class TransactionMode { None, ReadWrite, ReadOnly };

enum class StatementStage {
  /// Waits for a connection.
  Waiting,
  /// The transaction's start was sent, the statement not yet.
  Beginning,
  Sent,
};

/// A client's statement that an instance has to run.
struct PendingStatement {
  ClientStatement Statement;
  AccessMode Mode = AccessMode::Read;
  StatementStage Stage = StatementStage::Waiting;
  TimePoint ArrivedAt{};
  TimePoint Deadline{};
  TimePoint NotBefore{};
  TimePoint SentAt{};
  /// The connection that it was sent on.
  std::optional<ConnectionId> Connection;
  int SendCount = 0;
  std::set<InstanceId> Tried;
  /// The minimum position required of the instance that it was last sent to.
  std::optional<Mark> Minimum;
  /// An overloaded primary shed it in favour of other routes.
  bool IsShed = false;
  /// It was last sent on a borrowed connection, and the lender had none to
  /// lend.
  bool IsRefusedByLender = false;
  /// The number of lenders that refused it because it would wait too long
  /// there.
  int FullLenderCount = 0;
  /// It is sent only to the primary from now on.
  bool PrimaryOnly = false;
  /// It runs in a transaction that the proxy opens to prove that the instance
  /// is the primary.
  bool IsWrapped = false;
  /// Why it was last not run, for the detail of a refusal.
  std::string LastRefusal = "no instance could take it";
};

struct ClientSession {
  ClientId Id;
  DatabaseId Database;
  KeyDigest Key;
  /// The client's organisation, whose connections alone carry its statements.
  OrganisationId Organisation;
  /// The client's key has been withdrawn.
  bool IsKeyWithdrawn = false;
  SessionValues Values;
  std::map<std::string, PreparedShape> Prepared;
  SessionState State = SessionState::Idle;
  TransactionMode Mode = TransactionMode::None;
  /// The route of the current statement, or that of the open transaction's
  /// first one.
  control::Route Route;
  /// The open transaction's first statement has come.
  bool HasRoute = false;
  /// The connection that holds the transaction.
  std::optional<ConnectionId> Pinned;
  /// The operation, a statement or an open transaction, is counted in its
  /// organisation's quota.
  bool IsAdmitted = false;
  /// An instance has run a statement of the open transaction.
  bool HasRunInTransaction = false;
  bool HasWritten = false;
  /// The proxy aborted the transaction while it was idle; the client's next
  /// statement reports it.
  bool WasAbortedWhileIdle = false;
  /// A statement was refused while the VM was isolated; the session ends once
  /// it is idle.
  bool MustReconnect = false;
  /// The positions of this session's commits. A position belongs to the log of
  /// one service, and the route may lead to several in turn.
  session::SessionMarks Commits;
  std::optional<PendingStatement> Current;
  std::deque<ClientStatement> Queue;
  std::size_t QueuedBytes = 0;
  /// Nothing is read from the client.
  bool IsHeld = false;
  /// The statements of Queue are being handled, further up the stack.
  bool IsHandlingQueue = false;
  TimePoint LastActive{};

  /// The newest commit of this session at \p service.
  std::optional<Mark> lastCommitAt(const std::string &service) const {
    const auto &marks = Commits.of(DatabaseId(service));
    return marks.empty() ? std::nullopt : std::optional(marks.back());
  }

  /// No statement is pending and no transaction is open.
  bool isIdle() const {
    return State == SessionState::Idle && !Current && Queue.empty();
  }
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_INTERNAL_CLIENTSESSION_H
