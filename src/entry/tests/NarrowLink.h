// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The way to a VM with a narrow link: the bytes of all connections go
/// through one line, and each connection has a window of bytes in it.

#ifndef STEPLEDGE_ENTRY_TESTS_NARROWLINK_H
#define STEPLEDGE_ENTRY_TESTS_NARROWLINK_H

#include "base/types/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>

namespace stepledge::entry::tests {

class NarrowLink {
public:
  /// Called when the last byte of a message has come through.
  using OnArrival = std::function<void()>;

  explicit NarrowLink(std::size_t bytesPerSecond) : Rate(bytesPerSecond) {}

  void send(int connection, std::size_t bytes, OnArrival onArrival);
  /// Forgets what the connection hasn't got through yet.
  void drop(int connection);
  /// Lets \p time's worth of bytes through.
  void run(Duration time);
  std::uint64_t bytesThrough() const { return Through; }

private:
  struct Pending {
    std::size_t Left = 0;
    OnArrival Arrived;
  };
  struct Segment {
    int Connection = 0;
    std::size_t Bytes = 0;
    /// Ends a message.
    OnArrival Arrived;
  };

  void fillWindows();

  std::size_t Rate = 0;
  /// What the line could have taken, in bytes.
  double Credit = 0;
  std::uint64_t Through = 0;
  std::map<int, std::deque<Pending>> Waiting;
  std::map<int, std::size_t> InLine;
  std::deque<Segment> Line;
};

} // namespace stepledge::entry::tests

#endif // STEPLEDGE_ENTRY_TESTS_NARROWLINK_H
