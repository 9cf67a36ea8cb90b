// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What a caller asks for.

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
  /// Absent: the database's own setting; 0: the primary's current data.
  std::optional<Duration> MaxAge;
};

struct WriteCall {
  Statement Change;
  /// Empty: the write has no key and is never resent.
  std::string Key;
};

struct BeginCall {};

struct StatementCall {
  TransactionId Transaction;
  /// Counted from 1 within the transaction.
  std::uint32_t Sequence = 0;
  Statement Change;
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
  /// For calls within a transaction, the one its id names.
  DatabaseId Database;
  session::SessionMarks Marks;
  TimePoint Deadline;
  Call Asked;
};

/// A short name of what a call asks for, as in "read".
std::string kindOf(const Call &call);
/// The transaction a call is within; empty for the others.
TransactionId transactionOf(const Call &call);
/// The database a transaction id names; empty for text that is no such id.
DatabaseId databaseOf(const TransactionId &transaction);
/// The VM that holds the transaction; empty for text that is no such id.
VmId ownerOf(const TransactionId &transaction);

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_TYPES_CALLERREQUEST_H
