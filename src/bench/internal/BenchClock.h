// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The clock by which experiments time what callers see.

#ifndef STEPLEDGE_BENCH_INTERNAL_BENCHCLOCK_H
#define STEPLEDGE_BENCH_INTERNAL_BENCHCLOCK_H

#include <chrono>

namespace stepledge::bench {

/// Seconds on the local monotonic clock.
inline double secondsNow() {
  return std::chrono::duration<double>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

} // namespace stepledge::bench

#endif // STEPLEDGE_BENCH_INTERNAL_BENCHCLOCK_H
