// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The messages that wait to be written to a connection.

#ifndef STEPLEDGE_PEER_INTERNAL_FRAMEQUEUE_H
#define STEPLEDGE_PEER_INTERNAL_FRAMEQUEUE_H

#include <cstddef>
#include <string>

namespace stepledge::peer {

enum class FrameOrder {
  /// Nothing that is sent later may come first.
  Kept,
  /// Small messages that are sent later may come first.
  MayBeOvertaken,
};

class FrameQueue {
public:
  /// What may wait for a peer that is slow to read.
  static constexpr std::size_t MostWaitingBytes = 8U << 20;

  /// False, and nothing is queued, where more than that would wait.
  bool push(const std::string &body, FrameOrder order);
  /// The bytes to write next; empty where nothing waits.
  std::string next();

private:
  std::string Waiting;
};

} // namespace stepledge::peer

#endif // STEPLEDGE_PEER_INTERNAL_FRAMEQUEUE_H
