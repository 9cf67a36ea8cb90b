// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What one stand-in instance is started with.

#ifndef STEPLEDGE_STANDIN_TYPES_STANDINOPTIONS_H
#define STEPLEDGE_STANDIN_TYPES_STANDINOPTIONS_H

#include <chrono>
#include <cstdint>
#include <string>

namespace stepledge::standin {

struct StandinOptions {
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 0;
  /// Takes the same messages, but is exempt from limits, delays and cuts.
  std::uint16_t ControlPort = 0;
  std::string DataFolder;
  /// Empty: starts as the primary of term 1.
  std::string FollowAddress;
  std::uint16_t FollowPort = 0;
  /// Connections let in at once, without followers' and control ones.
  int Connections = 25;
  /// Statements that run at once; others wait.
  int Slots = 3;
  std::chrono::milliseconds ConnectTime{10};
  std::chrono::milliseconds ServiceTime{0};
  /// How long a received log entry waits before it is applied.
  std::chrono::milliseconds Lag{0};
  std::chrono::milliseconds PollInterval{5};
};

} // namespace stepledge::standin

#endif // STEPLEDGE_STANDIN_TYPES_STANDINOPTIONS_H
