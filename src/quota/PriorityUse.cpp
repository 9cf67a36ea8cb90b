// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "quota/PriorityUse.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

namespace stepledge::quota {

namespace {

/// The shortest time over which a rate is meaningful.
constexpr Duration LeastCounted = milliseconds(200);

double secondsOf(Duration time) {
  return std::chrono::duration<double>(time).count();
}

} // namespace

double PriorityUse::decayed(TimePoint now, const Use &use) const {
  return use.Operations *
         std::exp(-secondsOf(now - use.NotedAt) / secondsOf(Smoothing));
}

double PriorityUse::countedSeconds(TimePoint now) const {
  const Duration counted = std::max(LeastCounted, now - FirstAt.value_or(now));
  const double whole = secondsOf(Smoothing);
  return whole * (1 - std::exp(-secondsOf(counted) / whole));
}

void PriorityUse::note(TimePoint now, int priority, double operations) {
  if (!FirstAt)
    FirstAt = now;
  auto &use = Uses[priority];
  use.Operations = decayed(now, use) + operations;
  use.NotedAt = now;
}

double PriorityUse::perSecond(TimePoint now, int priority) const {
  const auto it = Uses.find(priority);
  return it == Uses.end() ? 0 : decayed(now, it->second) / countedSeconds(now);
}

double PriorityUse::lastPerSecond(int priority) const {
  const auto it = Uses.find(priority);
  return it == Uses.end() ? 0 : it->second.Operations / secondsOf(Smoothing);
}

double PriorityUse::upTo(TimePoint now, int last) const {
  double operations = 0;
  for (const auto &[priority, use] : Uses)
    if (priority <= last)
      operations += decayed(now, use);
  return operations / countedSeconds(now);
}

double PriorityUse::total(TimePoint now) const {
  return upTo(now, std::numeric_limits<int>::max());
}

} // namespace stepledge::quota
