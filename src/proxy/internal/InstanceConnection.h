// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file One connection to an instance: its session state and the commands
/// sent on it.

#ifndef STEPLEDGE_PROXY_INTERNAL_INSTANCECONNECTION_H
#define STEPLEDGE_PROXY_INTERNAL_INSTANCECONNECTION_H

#include "base/types/Ids.h"
#include "base/types/Time.h"
#include "proxy/IBorrowerIo.h"
#include "proxy/internal/AnswerCheck.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace stepledge::proxy {

/// Why a command was sent, which decides how its answer is handled.
enum class Purpose {
  /// Applies the session's values and prepared statements.
  Setup,
  /// Opens a transaction and proves that the instance is the primary.
  Begin,
  /// The client's own statement.
  Statement,
  /// Ends the transaction that Begin opened; no client waits for it.
  End,
  /// Asks the primary for its log position, outside any client's transaction.
  Probe,
  /// Shows that nothing else is owed, since its answer comes where it is due.
  Check,
};

struct SentCommand {
  Purpose Reason = Purpose::Setup;
  TimePoint SentAt{};
  CommandKind Kind = CommandKind::ClientText;
  DueAnswer Due = DueAnswer::Any;
};

/// An answer that doesn't count until those of the checks behind it have come
/// as due.
struct HeldAnswer {
  SentCommand Sent;
  StatementReply Reply;
};

/// What shows, once the next answer on the connection is as due, that the
/// instance led at that position when it was asked.
struct PendingProof {
  TimePoint SentAt{};
  Mark Position;
};

/// A prepared statement as the instance has it, independent of clients' names.
struct PreparedShape {
  AccessMode Mode = AccessMode::Read;
  std::string Shape;
  auto operator<=>(const PreparedShape &) const = default;
};

struct InstanceConnection {
  ConnectionId Id;
  std::string Service;
  InstanceId Instance;
  /// The only organisation whose statements it may carry; if unset, it carries
  /// only the proxy's own probes.
  std::optional<OrganisationId> Organisation;
  /// The VM that lends one of its own connections, if any; the lender tracks
  /// the session values of that connection.
  std::string LenderIp;
  /// The lender can't lend for now; the connection is closed once all commands
  /// on it are answered.
  bool IsRefused = false;
  TimePoint OpenedAt{};
  TimePoint LastUsed{};
  /// When it last carried a client's statement or transaction; position probes
  /// don't count.
  TimePoint LastServed{};
  /// The instance has accepted the connection.
  bool IsReady = false;
  /// The client whose statement or transaction it serves, if any.
  std::optional<ClientId> Owner;
  /// The borrow of another VM that it is lent for.
  std::optional<BorrowKey> Borrower;
  /// It holds the owner's open transaction.
  bool IsPinned = false;
  /// No client waits for the commands in Sent; once they are answered, the
  /// connection is free.
  bool IsAbandoned = false;
  SessionValues Values;
  std::map<PreparedShape, std::string> Prepared;
  std::deque<SentCommand> Sent;
  AnswerCheck Answers;
  /// An error that may be the second answer to an earlier command, and what
  /// came after it.
  std::vector<HeldAnswer> Held;
  /// The checks before had other answers than those that come next.
  bool AlternatesChecks = false;
  std::optional<PendingProof> Proof;

  /// The number of clients' statements whose answers don't count yet.
  int statements() const {
    const auto inSent =
        std::count_if(Sent.begin(), Sent.end(), [](const SentCommand &it) {
          return it.Reason == Purpose::Statement;
        });
    const auto inHeld =
        std::count_if(Held.begin(), Held.end(), [](const HeldAnswer &it) {
          return it.Sent.Reason == Purpose::Statement;
        });
    return static_cast<int>(inSent + inHeld);
  }
  /// Whether a check is among the commands in Sent.
  bool awaitsChecks() const {
    return std::any_of(Sent.begin(), Sent.end(), [](const SentCommand &it) {
      return it.Reason == Purpose::Check;
    });
  }
  /// Detaches the client, which no longer waits for the commands in Sent.
  void abandon() {
    Owner.reset();
    IsPinned = false;
    IsAbandoned = true;
  }
  bool isBorrowed() const { return !LenderIp.empty(); }
  bool isFree() const {
    return IsReady && !IsRefused && !Owner && !Borrower && !IsAbandoned &&
           Sent.empty();
  }
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_INTERNAL_INSTANCECONNECTION_H
