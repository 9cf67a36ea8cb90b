// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A statement that a client sends in a connection session.

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
  /// The client's own id, passed on unchanged.
  std::string Id;
  StatementKind Kind = StatementKind::Malformed;
  /// The complete text as received; reads, writes and commits run with it.
  std::string Text;
  /// The name of the session value (Set) or of the prepared statement (Prepare,
  /// Execute, Deallocate).
  std::string Name;
  /// The value (Set), the statement's shape (Prepare) or its arguments
  /// (Execute).
  std::string Value;
  /// Whether a prepared statement reads or writes.
  AccessMode Mode = AccessMode::Read;

  /// The bytes that came from the client.
  std::size_t byteSize() const {
    return Id.size() + Text.size() + Name.size() + Value.size();
  }
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_TYPES_CLIENTSTATEMENT_H
