// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "peer/internal/FrameQueue.h"

#include "peer/internal/FrameFormat.h"

#include <cstdint>
#include <utility>

namespace stepledge::peer {

bool FrameQueue::push(const std::string &body, FrameOrder order) {
  (void)order;
  if (Waiting.size() + body.size() > MostWaitingBytes)
    return false;
  FrameFormat::appendWord(Waiting, static_cast<std::uint32_t>(body.size()));
  Waiting.append(body);
  return true;
}

std::string FrameQueue::next() { return std::exchange(Waiting, {}); }

} // namespace stepledge::peer
