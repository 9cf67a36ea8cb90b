// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What a client of a connection session may ask for.

#ifndef STEPLEDGE_PROXY_TYPES_CLIENTSTATEMENT_H
#define STEPLEDGE_PROXY_TYPES_CLIENTSTATEMENT_H

#include <string>

namespace stepledge::proxy {

enum class StatementKind {
  Begin,
  BeginRead,
  Commit,
  Rollback,
  Read,
  Write,
  Set,
  Prepare,
  Execute,
  Deallocate,
  Malformed,
};

enum class AccessMode { Read, Write };

struct ClientStatement {
  /// The caller's own id, passed on unchanged.
  std::string Id;
  StatementKind Kind = StatementKind::Malformed;
  /// The whole text as it came; reads, writes and commits run with it.
  std::string Text;
  /// The session value (Set) or prepared statement (Prepare, Execute,
  /// Deallocate) that is meant.
  std::string Name;
  /// The value (Set), the statement's shape (Prepare) or its arguments
  /// (Execute).
  std::string Value;
  /// Whether a prepared statement reads or writes.
  AccessMode Mode = AccessMode::Read;
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_TYPES_CLIENTSTATEMENT_H
