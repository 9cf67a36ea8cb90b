// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A caller's request.

#ifndef STEPLEDGE_REQUEST_TYPES_CALLERREQUEST_H
#define STEPLEDGE_REQUEST_TYPES_CALLERREQUEST_H

#include "base/types/Ids.h"
#include "base/types/Time.h"
#include "session/types/SessionMarks.h"
#include "upstream/types/Batch.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace stepledge::request {

struct Statement {
  std::string Sql;
  std::vector<upstream::Value> Parameters;
};

struct ReadCall {
  Statement Query;
  /// Absent: the database's setting applies; 0: the primary's current data.
  std::optional<Duration> MaxAge;
};

struct WriteCall {
  Statement Command;
  /// Idempotency key; a write with an empty key is not resent once it may have
  /// run.
  std::string Key;
};

struct BeginCall {};

struct StatementCall {
  TransactionId Transaction;
  /// Counted from 1 within the transaction.
  std::uint32_t Sequence = 0;
  Statement Command;
};

struct CommitCall {
  TransactionId Transaction;
  std::uint32_t Sequence = 0;
};

struct RollbackCall {
  TransactionId Transaction;
};

using Call = std::variant<ReadCall, WriteCall, BeginCall, StatementCall,
                          CommitCall, RollbackCall>;

struct CallerRequest {
  RequestId Id;
  /// For calls within a transaction, the database named in its id.
  DatabaseId Database;
  session::SessionMarks Marks;
  TimePoint Deadline;
  Call Operation;
};

/// The short name of a call's kind, as in "read".
std::string kindOf(const Call &call);
/// The transaction that a call belongs to; empty for calls outside one.
TransactionId transactionOf(const Call &call);
/// The database named in a transaction id; empty if the id is malformed.
DatabaseId databaseOf(const TransactionId &transaction);
/// The VM that holds the transaction; empty if the id is malformed.
VmId ownerOf(const TransactionId &transaction);

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_TYPES_CALLERREQUEST_H
