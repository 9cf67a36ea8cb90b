// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The messages that wait to be written to a connection; large ones go
/// out in fragments, with the small ones between them.

#ifndef STEPLEDGE_PEER_INTERNAL_FRAMEQUEUE_H
#define STEPLEDGE_PEER_INTERNAL_FRAMEQUEUE_H

#include <cstddef>
#include <deque>
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
  /// What may wait for a peer that is slow to read, beside one message that is
  /// larger: its size says nothing of the peer.
  static constexpr std::size_t MostWaitingBytes = 8U << 20;

  /// False, and nothing is queued, where more than that would wait, or where
  /// the other side would read no message of that size.
  bool push(std::string body, FrameOrder order);
  /// The bytes to write next; empty where nothing waits.
  std::string next();

private:
  bool hasRoomFor(std::size_t bytes) const;
  void appendFragment(std::string &out);

  /// Whole messages with their frames.
  std::string Waiting;
  /// Bodies that go out in fragments, one after the other.
  std::deque<std::string> Large;
  /// All bytes in these that haven't gone out.
  std::size_t LargeBytes = 0;
  /// How much of the first one has gone out.
  std::size_t Cut = 0;
  /// The size of the message that waits though it is larger than the limit; 0
  /// where there is none.
  std::size_t OversizeBytes = 0;
};

} // namespace stepledge::peer

#endif // STEPLEDGE_PEER_INTERNAL_FRAMEQUEUE_H
