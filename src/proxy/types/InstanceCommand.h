// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What the proxy sends to an instance on one of its connections.

#ifndef STEPLEDGE_PROXY_TYPES_INSTANCECOMMAND_H
#define STEPLEDGE_PROXY_TYPES_INSTANCECOMMAND_H

#include "base/types/LogPosition.h"
#include "proxy/types/ClientStatement.h"

#include <optional>
#include <string>

namespace stepledge::proxy {

enum class CommandKind {
  Begin,
  BeginRead,
  Rollback,
  ResetSession,
  SetValue,
  Prepare,
  /// A client's text, unchanged.
  ClientText,
  /// A client's execution under the connection's own name of the statement.
  ClientExecute,
};

struct InstanceCommand {
  CommandKind Kind = CommandKind::ClientText;
  /// The client's id; empty for the proxy's own commands.
  std::string Id;
  /// The log position that the instance must have reached for the read to run.
  std::optional<Mark> MinimumPosition;
  std::string Name;
  /// A value, a shape, or the arguments of an execution.
  std::string Value;
  AccessMode Mode = AccessMode::Read;
  /// What a client's execution runs, for the VM that holds the connection and
  /// so knows its names; Mode goes with it.
  std::string Shape;
  std::string Text;
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_TYPES_INSTANCECOMMAND_H
