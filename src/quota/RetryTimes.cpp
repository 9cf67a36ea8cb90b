// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "quota/RetryTimes.h"

#include <algorithm>
#include <chrono>

namespace stepledge::quota {

namespace {

/// Callers for whom no operation is available within MostRetry are spread over
/// this many places in its second half, in an order that keeps neighbours
/// apart.
constexpr std::uint32_t Places = 64;
constexpr std::uint32_t PlaceStep = 39;

} // namespace

Duration RetryTimes::next(TimePoint now, int priority, Duration least,
                          double perSecond) {
  const std::chrono::duration<double> most = MostRetry;
  const std::chrono::duration<double> gap(
      perSecond * most.count() > 1 ? 1 / perSecond : most.count());
  const TimePoint soonest = now + std::clamp(least, LeastRetry, MostRetry);
  TimePoint before{};
  for (const auto &[other, at] : Last)
    if (other <= priority)
      before = std::max(before, at);
  const TimePoint at =
      std::max(soonest, before + std::chrono::duration_cast<Duration>(gap));
  if (at <= now + MostRetry) {
    Last[priority] = at;
    return at - now;
  }
  // NOTE: the schedule of the callers that got a retry time stays as it is,
  // since these callers ask once more before an operation is available.
  const std::uint32_t place = Told++ * PlaceStep % Places;
  return MostRetry - MostRetry / 2 * place / Places;
}

} // namespace stepledge::quota
