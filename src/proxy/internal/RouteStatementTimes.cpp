// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "proxy/internal/RouteStatementTimes.h"

namespace stepledge::proxy {

namespace {

/// Weight of a new sample in the smoothed time: the times of one route's
/// statements differ by a multiple.
constexpr double SampleWeight = 0.05;
/// Samples count only while the instance takes less than this many times its
/// usual time. With 1.7 the answers of a primary at capacity became the usual
/// ones within some seconds, and no more reads were shed from it.
constexpr double MaxUncongestedRatio = 1.2;

} // namespace

void RouteStatementTimes::note(const control::Route &route, Duration took,
                               double congestion) {
  if (congestion >= MaxUncongestedRatio)
    return;
  const double sample = toMilliseconds(took);
  const auto [it, isNew] = Usual.try_emplace(route.Database, sample);
  if (!isNew)
    it->second += (sample - it->second) * SampleWeight;
}

std::optional<Duration>
RouteStatementTimes::usual(const control::Route &route) const {
  const auto it = Usual.find(route.Database);
  if (it == Usual.end())
    return std::nullopt;
  constexpr double MicrosecondsPerMs = 1000.0;
  return Duration(static_cast<std::int64_t>(it->second * MicrosecondsPerMs));
}

double RouteStatementTimes::slowness(const control::Route &route,
                                     Duration took) const {
  const auto it = Usual.find(route.Database);
  if (it == Usual.end() || it->second <= 0)
    return 1.0;
  return toMilliseconds(took) / it->second;
}

} // namespace stepledge::proxy
