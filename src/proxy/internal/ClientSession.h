// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The state of one client's connection.

#ifndef STEPLEDGE_PROXY_INTERNAL_CLIENTSESSION_H
#define STEPLEDGE_PROXY_INTERNAL_CLIENTSESSION_H

#include "control/types/Configuration.h"
#include "proxy/internal/InstanceConnection.h"

#include <deque>
#include <optional>
#include <set>

namespace stepledge::proxy {

enum class TransactionMode { None, ReadWrite, ReadOnly };

enum class WorkStage {
  /// Needs a connection.
  Waiting,
  /// The transaction's start was sent, the statement not yet.
  Beginning,
  Sent,
};

/// A client's statement that an instance has to run.
struct Work {
  ClientStatement Statement;
  AccessMode Mode = AccessMode::Read;
  WorkStage Stage = WorkStage::Waiting;
  TimePoint ArrivedAt{};
  TimePoint Deadline{};
  TimePoint NotBefore{};
  TimePoint SentAt{};
  /// Where it was sent.
  std::optional<ConnectionId> Connection;
  int Sendings = 0;
  std::set<InstanceId> Tried;
  /// The position that the instance it was sent to last must have.
  std::optional<Mark> Minimum;
  /// It was kept from an overloaded primary for the sake of other routes.
  bool IsShed = false;
  /// What it was sent on last was borrowed, and the lender had none to lend.
  bool IsRefusedByLender = false;
  /// Lenders that expected it to wait for longer than is of use to it.
  int LendersTooFull = 0;
  /// Only the primary is asked from now on.
  bool PrimaryOnly = false;
  /// It runs in a transaction of the proxy's own, which proves the lead.
  bool IsWrapped = false;
  /// Why it was last not run, for the refusal.
  std::string LastRefusal = "no instance could take it";
};

struct ClientSession {
  ClientId Id;
  DatabaseId Database;
  KeyDigest Key;
  /// Whose client it is; its statements run only on connections of this one.
  OrganisationId Organisation;
  /// The client's key has been taken away.
  bool IsWithdrawn = false;
  SessionValues Values;
  std::map<std::string, PreparedShape> Prepared;
  SessionState State = SessionState::Idle;
  TransactionMode Mode = TransactionMode::None;
  /// The route that the open transaction began with.
  control::Route Route;
  /// The connection that holds the transaction.
  std::optional<ConnectionId> Pinned;
  /// The operation, a statement or an open transaction, is counted in its
  /// organisation's quota.
  bool IsAdmitted = false;
  /// An instance has run a statement of the open transaction.
  bool HasRunInTransaction = false;
  bool HasWritten = false;
  /// Ended by the proxy while the client rested; told at its next statement.
  bool WasAbortedAtRest = false;
  /// It was refused while the VM was cut off, and ends once it is at rest.
  bool IsTurnedAway = false;
  /// The newest commit of this session.
  std::optional<Mark> LastCommit;
  std::optional<Work> Current;
  std::deque<ClientStatement> Queue;
  TimePoint LastActive{};

  /// Nothing is asked, and no transaction is open.
  bool isAtRest() const {
    return State == SessionState::Idle && !Current && Queue.empty();
  }
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_INTERNAL_CLIENTSESSION_H
