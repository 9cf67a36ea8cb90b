// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Time types. Code that makes decisions gets the time as a parameter and
/// never reads a clock.

#ifndef STEPLEDGE_BASE_TYPES_TIME_H
#define STEPLEDGE_BASE_TYPES_TIME_H

#include <chrono>
#include <cstdint>

namespace stepledge {

using Duration = std::chrono::microseconds;

/// The local monotonic clock. It has no now(): only the daemon's outer layer
/// reads the system clock, and passes the time on.
struct LocalClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<LocalClock, Duration>;
  static constexpr bool is_steady = true;
};

using TimePoint = LocalClock::time_point;

constexpr Duration milliseconds(std::int64_t n) {
  return std::chrono::milliseconds(n);
}

constexpr double toMilliseconds(Duration time) {
  return static_cast<double>(time.count()) / 1000.0;
}

} // namespace stepledge

#endif // STEPLEDGE_BASE_TYPES_TIME_H
