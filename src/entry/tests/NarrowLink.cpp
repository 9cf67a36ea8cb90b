// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "entry/tests/NarrowLink.h"

#include <algorithm>
#include <utility>

namespace stepledge::entry::tests {

namespace {

constexpr std::size_t SegmentBytes = 1460;
/// A usual receive window.
constexpr std::size_t WindowBytes = 64 << 10;

} // namespace

void NarrowLink::send(int connection, std::size_t bytes, OnArrival onArrival) {
  Waiting[connection].push_back({bytes, std::move(onArrival)});
  fillWindows();
}

void NarrowLink::drop(int connection) {
  Waiting.erase(connection);
  InLine.erase(connection);
  // NOTE: what is in the line goes on through it, but nobody takes it.
  for (auto &it : Line)
    if (it.Connection == connection) {
      it.Connection = -1;
      it.Arrived = {};
    }
}

void NarrowLink::fillWindows() {
  for (auto &[connection, queue] : Waiting) {
    auto &inLine = InLine[connection];
    while (!queue.empty() && inLine + SegmentBytes <= WindowBytes) {
      auto &it = queue.front();
      Segment segment;
      segment.Connection = connection;
      segment.Bytes = std::min(it.Left, SegmentBytes);
      it.Left -= segment.Bytes;
      inLine += segment.Bytes;
      if (it.Left == 0) {
        segment.Arrived = std::move(it.Arrived);
        queue.pop_front();
      }
      Line.push_back(std::move(segment));
    }
  }
}

void NarrowLink::run(Duration time) {
  constexpr double MillisecondsInSecond = 1000.0;
  Credit +=
      static_cast<double>(Rate) * toMilliseconds(time) / MillisecondsInSecond;
  while (!Line.empty() && static_cast<double>(Line.front().Bytes) <= Credit) {
    const Segment segment = std::move(Line.front());
    Line.pop_front();
    Credit -= static_cast<double>(segment.Bytes);
    Through += segment.Bytes;
    if (const auto it = InLine.find(segment.Connection); it != InLine.end())
      it->second -= segment.Bytes;
    fillWindows();
    if (segment.Arrived)
      segment.Arrived();
  }
  if (Line.empty())
    Credit = 0;
}

} // namespace stepledge::entry::tests
