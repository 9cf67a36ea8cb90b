// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Why a VM ended a client's session.

#ifndef STEPLEDGE_PROXY_TYPES_SESSIONEND_H
#define STEPLEDGE_PROXY_TYPES_SESSIONEND_H

#include "base/NameTable.h"

#include <array>

namespace stepledge::proxy {

enum class SessionEnd {
  /// The VM is isolated: it receives nothing from control VMs or primaries.
  Isolated,
  /// The VM is being stopped.
  Stopping,
  /// No configuration has arrived since the client connected.
  NoConfiguration,
  /// The client's key is no longer valid.
  KeyWithdrawn,
  /// The client was refused when it connected.
  NotAccepted,
  /// The client sent a line that is longer than any message may be.
  LineTooLong,
  /// The client doesn't read its answers.
  NotRead,
};

/// The detail of a refusal by a VM that is being stopped.
constexpr const char *StoppingReason = "this VM is being stopped";

/// For logs and metrics.
constexpr auto SessionEndNames = std::to_array<NameEntry<SessionEnd>>({
    {SessionEnd::Isolated, "cut_off"},
    {SessionEnd::Stopping, "stopping"},
    {SessionEnd::NoConfiguration, "no_configuration"},
    {SessionEnd::KeyWithdrawn, "key_withdrawn"},
    {SessionEnd::NotAccepted, "not_accepted"},
    {SessionEnd::LineTooLong, "line_too_long"},
    {SessionEnd::NotRead, "not_read"},
});

constexpr std::string_view nameOf(SessionEnd end) {
  return nameIn(SessionEndNames, end);
}

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_TYPES_SESSIONEND_H
