// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "peer/internal/FrameQueue.h"

#include "peer/internal/FrameFormat.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace stepledge::peer {

bool FrameQueue::push(std::string body, FrameOrder order) {
  if (!hasRoomFor(body.size()))
    return false;
  if (body.size() > MostWaitingBytes)
    OversizeBytes = body.size();
  if (order == FrameOrder::MayBeOvertaken &&
      body.size() > FrameFormat::FragmentBytes) {
    LargeBytes += body.size();
    Large.push_back(std::move(body));
    return true;
  }
  FrameFormat::appendWord(Waiting, static_cast<std::uint32_t>(body.size()));
  Waiting.append(body);
  return true;
}

bool FrameQueue::hasRoomFor(std::size_t bytes) const {
  const std::size_t waiting = Waiting.size() + LargeBytes;
  if (bytes > MostWaitingBytes)
    return bytes <= FrameFormat::MostMessageBytes && OversizeBytes == 0 &&
           waiting <= MostWaitingBytes;
  return waiting + bytes <= MostWaitingBytes + OversizeBytes;
}

std::string FrameQueue::next() {
  // NOTE: behind a message of 819 KB in one piece, a heartbeat waited for 3.28
  // s on a link of 250 KB/s.
  std::string bytes = std::exchange(Waiting, {});
  if (bytes.size() > MostWaitingBytes)
    OversizeBytes = 0;
  if (!Large.empty())
    appendFragment(bytes);
  return bytes;
}

void FrameQueue::appendFragment(std::string &out) {
  const std::string &body = Large.front();
  const std::size_t n =
      std::min<std::size_t>(body.size() - Cut, FrameFormat::FragmentBytes);
  const std::size_t head = Cut == 0 ? FrameFormat::WordBytes : 0;
  FrameFormat::appendWord(out, static_cast<std::uint32_t>(head + n) |
                                   FrameFormat::FragmentFlag);
  if (Cut == 0)
    FrameFormat::appendWord(out, static_cast<std::uint32_t>(body.size()));
  out.append(body, Cut, n);
  Cut += n;
  LargeBytes -= n;
  if (Cut < body.size())
    return;
  if (body.size() > MostWaitingBytes)
    OversizeBytes = 0;
  Large.pop_front();
  Cut = 0;
}

} // namespace stepledge::peer
