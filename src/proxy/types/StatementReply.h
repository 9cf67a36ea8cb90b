// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The complete answer to one statement, from an instance or to a client.

#ifndef STEPLEDGE_PROXY_TYPES_STATEMENTREPLY_H
#define STEPLEDGE_PROXY_TYPES_STATEMENTREPLY_H

#include "base/NameTable.h"
#include "base/types/LogPosition.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace stepledge::proxy {

enum class SessionState { Idle, InTransaction, Failed };

enum class ReplyCode {
  Success,
  /// Not run: a queue or limit is full.
  Busy,
  /// Rolled back, nothing is kept.
  Aborted,
  /// Not run: the instance's log is behind the position asked for.
  Lagging,
  /// Not run: the instance is not the primary.
  ReadOnly,
  /// Not run: another instance has this address.
  WrongInstance,
  /// Not run: the instance's connections are used up.
  TooManyConnections,
  /// A commit or write was sent and its outcome isn't known.
  OutcomeUnknown,
  TimedOut,
  /// Ran and failed.
  Failed,
  /// Not run: the prepared statement isn't known.
  UnknownStatement,
  UnknownDatabase,
  Malformed,
  /// Not run: no organisation has the client's key.
  Unauthorised,
  /// A code that this version doesn't support; nothing is assumed about the
  /// outcome.
  Other,
};

/// For logs and metrics.
constexpr auto ReplyNames = std::to_array<NameEntry<ReplyCode>>({
    {ReplyCode::Success, "success"},
    {ReplyCode::Busy, "busy"},
    {ReplyCode::Aborted, "aborted"},
    {ReplyCode::Lagging, "lagging"},
    {ReplyCode::ReadOnly, "read_only"},
    {ReplyCode::WrongInstance, "wrong_instance"},
    {ReplyCode::TooManyConnections, "too_many_connections"},
    {ReplyCode::OutcomeUnknown, "outcome_unknown"},
    {ReplyCode::TimedOut, "timed_out"},
    {ReplyCode::Failed, "failed"},
    {ReplyCode::UnknownStatement, "unknown_statement"},
    {ReplyCode::UnknownDatabase, "unknown_database"},
    {ReplyCode::Malformed, "malformed"},
    {ReplyCode::Unauthorised, "unauthorised"},
    {ReplyCode::Other, "other"},
});

constexpr std::string_view nameOf(ReplyCode code) {
  return nameIn(ReplyNames, code);
}

/// Whether \p code means that the statement itself did not run.
constexpr bool isNotRun(ReplyCode code) {
  switch (code) {
  case ReplyCode::Busy:
  case ReplyCode::Lagging:
  case ReplyCode::ReadOnly:
  case ReplyCode::WrongInstance:
  case ReplyCode::TooManyConnections:
  case ReplyCode::UnknownStatement:
    return true;
  default:
    return false;
  }
}

struct StatementReply {
  ReplyCode Code = ReplyCode::Success;
  std::vector<std::string> Rows;
  /// The instance's proof that it ran the statement; empty where it gave none,
  /// as for the proxy's own commands, or where the proxy answered by itself.
  std::string Signature;
  /// The reason, for a refusal.
  std::string Detail;
  SessionState State = SessionState::Idle;
  /// The end of the instance's log, where it reported one.
  std::optional<Mark> Position;
  /// The instance's lines were no answer; nothing else here holds.
  bool IsMalformed = false;
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_TYPES_STATEMENTREPLY_H
