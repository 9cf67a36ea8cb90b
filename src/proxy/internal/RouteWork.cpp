// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "proxy/internal/RouteWork.h"

namespace stepledge::proxy {

namespace {

/// Weight of a new sample in the smoothed time: the statements of one route
/// differ by some times among themselves.
constexpr double SampleWeight = 0.05;
/// An instance that takes less than so many times its usual time tells what a
/// route's statements take. With 1.7 the answers of a full primary became the
/// usual ones within some seconds, and nothing was left out for it any more:
/// 0.846 of the worth was earned on days with replicas behind, with 1.2 0.855
/// (simulated days, means of twenty).
constexpr double MostUncongested = 1.2;

} // namespace

void RouteWork::note(const control::Route &route, Duration took,
                     double congestion) {
  if (congestion >= MostUncongested)
    return;
  const double sample = toMilliseconds(took);
  const auto [it, isNew] = Usual.try_emplace(route.Database, sample);
  if (!isNew)
    it->second += (sample - it->second) * SampleWeight;
}

std::optional<Duration> RouteWork::usual(const control::Route &route) const {
  const auto it = Usual.find(route.Database);
  if (it == Usual.end())
    return std::nullopt;
  constexpr double MicrosecondsPerMs = 1000.0;
  return Duration(static_cast<std::int64_t>(it->second * MicrosecondsPerMs));
}

double RouteWork::slowness(const control::Route &route, Duration took) const {
  const auto it = Usual.find(route.Database);
  if (it == Usual.end() || it->second <= 0)
    return 1.0;
  return toMilliseconds(took) / it->second;
}

} // namespace stepledge::proxy
