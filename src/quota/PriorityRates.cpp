// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "quota/PriorityRates.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

namespace stepledge::quota {

namespace {

/// The shortest time over which a rate is meaningful.
constexpr Duration MinCountedTime = milliseconds(200);

double secondsOf(Duration time) {
  return std::chrono::duration<double>(time).count();
}

} // namespace

double PriorityRates::decayed(TimePoint now, const Count &count) const {
  return count.Operations *
         std::exp(-secondsOf(now - count.NotedAt) / secondsOf(Smoothing));
}

double PriorityRates::countedSeconds(TimePoint now) const {
  const Duration counted =
      std::max(MinCountedTime, now - FirstAt.value_or(now));
  const double smoothing = secondsOf(Smoothing);
  return smoothing * (1 - std::exp(-secondsOf(counted) / smoothing));
}

void PriorityRates::note(TimePoint now, int priority, double operations) {
  if (!FirstAt)
    FirstAt = now;
  auto &count = Counts[priority];
  count.Operations = decayed(now, count) + operations;
  count.NotedAt = now;
}

double PriorityRates::perSecond(TimePoint now, int priority) const {
  const auto it = Counts.find(priority);
  return it == Counts.end() ? 0
                            : decayed(now, it->second) / countedSeconds(now);
}

double PriorityRates::lastPerSecond(int priority) const {
  const auto it = Counts.find(priority);
  return it == Counts.end() ? 0 : it->second.Operations / secondsOf(Smoothing);
}

double PriorityRates::perSecondUpTo(TimePoint now, int last) const {
  double operations = 0;
  for (const auto &[priority, count] : Counts)
    if (priority <= last)
      operations += decayed(now, count);
  return operations / countedSeconds(now);
}

double PriorityRates::totalPerSecond(TimePoint now) const {
  return perSecondUpTo(now, std::numeric_limits<int>::max());
}

} // namespace stepledge::quota
