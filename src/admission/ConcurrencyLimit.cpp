// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "admission/ConcurrencyLimit.h"

#include <algorithm>

namespace stepledge::admission {

namespace {

/// An answer slower than this many times the best one indicates overload.
constexpr int SlowFactor = 10;
/// Differences below this are noise, whatever the factor.
constexpr Duration Noise = milliseconds(50);
constexpr double Decrease = 0.9;
constexpr double LossDecrease = 0.5;
constexpr int ForgetPart = 256;

} // namespace

void ConcurrencyLimit::noteAnswer(Duration time, int inFlight) {
  if (Best.count() == 0 || time < Best)
    Best = time;
  else
    Best += (time - Best) / ForgetPart;
  const bool slow = time > SlowFactor * Best && time - Best > Noise;
  if (slow)
    Allowed *= Decrease;
  else if (inFlight >= limit())
    Allowed += 1.0 / Allowed;
  Allowed = std::clamp(Allowed, 1.0, static_cast<double>(Slots));
}

void ConcurrencyLimit::noteLoss() {
  Allowed = std::max(1.0, Allowed * LossDecrease);
}

int ConcurrencyLimit::limit() const {
  return std::clamp(static_cast<int>(Allowed), 1, Slots);
}

} // namespace stepledge::admission
