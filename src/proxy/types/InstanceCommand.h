// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A command that the proxy sends to an instance on a connection.

#ifndef STEPLEDGE_PROXY_TYPES_INSTANCECOMMAND_H
#define STEPLEDGE_PROXY_TYPES_INSTANCECOMMAND_H

#include "base/types/LogPosition.h"
#include "proxy/types/ClientStatement.h"
#include "proxy/types/DueAnswer.h"

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
  /// A client's execution of a prepared statement, under the name that it has
  /// on the connection.
  ClientExecute,
  Deallocate,
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
  /// The prepared statement that a client's execution runs, together with Mode:
  /// the VM that holds the connection looks up its name there.
  std::string Shape;
  std::string Text;
  /// For a client's command.
  DueAnswer Due = DueAnswer::Any;
};

/// Whether it runs a client's statement, not one of the proxy's own.
inline bool isClientCommand(const InstanceCommand &command) {
  return command.Kind == CommandKind::ClientText ||
         command.Kind == CommandKind::ClientExecute;
}

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_TYPES_INSTANCECOMMAND_H
