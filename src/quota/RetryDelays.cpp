// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "quota/RetryDelays.h"

#include <algorithm>
#include <chrono>

namespace stepledge::quota {

namespace {

/// Callers for whom no operation is available within MaxRetryDelay are spread
/// over this many places in its second half, in an order that keeps neighbours
/// apart.
constexpr std::uint32_t SpreadPlaces = 64;
constexpr std::uint32_t SpreadStep = 39;

} // namespace

Duration RetryDelays::next(TimePoint now, int priority, Duration least,
                           double perSecond) {
  const std::chrono::duration<double> most = MaxRetryDelay;
  const std::chrono::duration<double> gap(
      perSecond * most.count() > 1 ? 1 / perSecond : most.count());
  const TimePoint soonest =
      now + std::clamp(least, MinRetryDelay, MaxRetryDelay);
  TimePoint before{};
  for (const auto &[other, at] : LastRetryAt)
    if (other <= priority)
      before = std::max(before, at);
  const TimePoint at =
      std::max(soonest, before + std::chrono::duration_cast<Duration>(gap));
  if (at <= now + MaxRetryDelay) {
    LastRetryAt[priority] = at;
    return at - now;
  }
  // NOTE: the schedule of the callers that got a retry time stays as it is,
  // since these callers ask once more before an operation is available.
  const std::uint32_t place = SpreadCount++ * SpreadStep % SpreadPlaces;
  return MaxRetryDelay - MaxRetryDelay / 2 * place / SpreadPlaces;
}

} // namespace stepledge::quota
