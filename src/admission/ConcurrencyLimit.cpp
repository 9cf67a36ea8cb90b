// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "admission/ConcurrencyLimit.h"

#include <algorithm>

namespace stepledge::admission {

namespace {

/// An answer slower than this many times the best one indicates overload.
constexpr int SlowFactor = 10;
/// Differences below this are noise, whatever the factor.
constexpr Duration NoiseThreshold = milliseconds(50);
constexpr double SlowDecrease = 0.9;
constexpr double LossDecrease = 0.5;
constexpr int BestTimeDecay = 256;

} // namespace

void ConcurrencyLimit::noteAnswer(Duration time, int inFlight) {
  if (BestTime.count() == 0 || time < BestTime)
    BestTime = time;
  else
    BestTime += (time - BestTime) / BestTimeDecay;
  const bool isSlow =
      time > SlowFactor * BestTime && time - BestTime > NoiseThreshold;
  if (isSlow)
    CurrentLimit *= SlowDecrease;
  else if (inFlight >= limit())
    CurrentLimit += 1.0 / CurrentLimit;
  CurrentLimit = std::clamp(CurrentLimit, 1.0, static_cast<double>(Slots));
}

void ConcurrencyLimit::noteLoss() {
  CurrentLimit = std::max(1.0, CurrentLimit * LossDecrease);
}

int ConcurrencyLimit::limit() const {
  return std::clamp(static_cast<int>(CurrentLimit), 1, Slots);
}

} // namespace stepledge::admission
