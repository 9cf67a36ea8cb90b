// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "soak/TokenBucket.h"

#include <algorithm>

namespace stepledge::soak {

namespace {

/// Added to each wait, so that what rounding takes off doesn't end it too soon.
constexpr std::chrono::microseconds Margin(1);

} // namespace

void TokenBucket::fill(Clock::time_point now) {
  const std::chrono::duration<double> passed = now - FilledAt;
  Credit = std::min(Burst, Credit + passed.count() * Rate);
  FilledAt = now;
}

TokenBucket::Clock::duration TokenBucket::waitAt(Clock::time_point now) {
  fill(now);
  if (Credit >= 1)
    return {};
  const std::chrono::duration<double> time((1 - Credit) / Rate);
  return std::chrono::duration_cast<Clock::duration>(time) + Margin;
}

void TokenBucket::take(Clock::time_point now, std::size_t n) {
  fill(now);
  Credit -= static_cast<double>(n);
}

} // namespace stepledge::soak
