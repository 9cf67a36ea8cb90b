// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file One connection to an instance: what it holds and what it was sent.

#ifndef STEPLEDGE_PROXY_INTERNAL_INSTANCECONNECTION_H
#define STEPLEDGE_PROXY_INTERNAL_INSTANCECONNECTION_H

#include "base/types/Ids.h"
#include "base/types/Time.h"
#include "proxy/IBorrowerIo.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace stepledge::proxy {

/// Why a command was sent, which says what to do with its answer.
enum class Purpose {
  /// Brings the session's values and prepared statements along.
  Setup,
  /// Opens a transaction and proves the primary's lead.
  Begin,
  /// The client's own statement.
  Statement,
  /// Ends the transaction that Begin opened; nobody waits for it.
  End,
  /// Asks the primary for its position, outside any client's transaction.
  Probe,
};

struct SentCommand {
  Purpose Reason = Purpose::Setup;
  TimePoint SentAt{};
};

/// A prepared statement as the instance knows it, whatever clients call it.
struct PreparedShape {
  AccessMode Mode = AccessMode::Read;
  std::string Shape;
  auto operator<=>(const PreparedShape &) const = default;
};

struct InstanceConnection {
  ConnectionId Id;
  std::string Service;
  InstanceId Instance;
  /// Whose statements it may carry, and nobody else's. Without one it carries
  /// only the proxy's own questions.
  std::optional<OrganisationId> Organisation;
  /// The VM that lends one of its own, if any; what that one is set to is known
  /// there.
  std::string LenderIp;
  /// Its lender can't lend for now; it is closed once nothing is owed on it.
  bool IsRefused = false;
  TimePoint OpenedAt{};
  TimePoint LastUsed{};
  /// When it last carried a client's statement or transaction; position
  /// questions don't count.
  TimePoint LastServed{};
  /// The instance has accepted the connection.
  bool IsReady = false;
  /// The client whose statement or transaction it serves, if any.
  std::optional<ClientId> Owner;
  /// The use of another VM that it is lent for.
  std::optional<BorrowKey> Borrower;
  /// It holds the owner's open transaction.
  bool IsPinned = false;
  /// Nobody waits for what was sent; once answered, the connection is free.
  bool IsAbandoned = false;
  SessionValues Values;
  std::map<PreparedShape, std::string> Prepared;
  std::deque<SentCommand> Sent;

  /// Clients' statements among what was sent.
  int statements() const {
    return static_cast<int>(
        std::count_if(Sent.begin(), Sent.end(), [](const SentCommand &it) {
          return it.Reason == Purpose::Statement;
        }));
  }
  /// Nobody waits any more for what was sent.
  void giveUp() {
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
