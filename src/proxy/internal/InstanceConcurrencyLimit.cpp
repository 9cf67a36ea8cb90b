// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "proxy/internal/InstanceConcurrencyLimit.h"

#include <algorithm>

namespace stepledge::proxy {

namespace {

/// Weight of a new answer in the smoothed slowness.
constexpr double SampleWeight = 0.1;
/// The part of the difference by which the usual slowness rises with each
/// answer: at tens of answers per second, an overload of half a minute hardly
/// changes it.
constexpr double UsualWeight = 1.0 / 2048;
/// The instance has a queue if its slowness is above this multiple of the
/// usual.
constexpr double QueuedFactor = 1.9;
/// Each answer from an instance with a queue multiplies the limit by this
/// factor.
constexpr double Decrease = 0.9;

} // namespace

void InstanceConcurrencyLimit::noteAnswer(double slowness, int running) {
  SmoothedSlowness += (slowness - SmoothedSlowness) * SampleWeight;
  if (SmoothedSlowness < UsualSlowness)
    UsualSlowness = std::max(1.0, SmoothedSlowness);
  else
    UsualSlowness += (SmoothedSlowness - UsualSlowness) * UsualWeight;
  const bool isQueued = congestion() > QueuedFactor;
  if (isQueued)
    Allowed *= Decrease;
  else if (running >= limit())
    Allowed += 1.0 / Allowed;
  Allowed = std::clamp(Allowed, 1.0, static_cast<double>(Max));
}

int InstanceConcurrencyLimit::limit() const {
  return std::clamp(static_cast<int>(Allowed), 1, Max);
}

} // namespace stepledge::proxy
