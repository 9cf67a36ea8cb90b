// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "overload/QueueLoad.h"

#include <algorithm>
#include <cmath>

namespace stepledge::overload {

double QueueLoad::decayedCount(TimePoint now, const Count &count) const {
  return count.Value * std::exp(-toMilliseconds(now - count.UpdatedAt) /
                                toMilliseconds(Options.RateWindow));
}

void QueueLoad::noteBorrowStart(TimePoint now, const Urgency &urgency) {
  auto &it = Started[urgency];
  it = {decayedCount(now, it) + 1, now};
}

void QueueLoad::noteHoldTime(Duration time) {
  if (HoldTime == Duration{}) {
    HoldTime = time;
    return;
  }
  const auto sample = std::min(time, Options.MaxHoldTimeFactor * HoldTime);
  const double change =
      static_cast<double>((sample - HoldTime).count()) * Options.HoldTimeWeight;
  HoldTime = std::max(Duration(1), HoldTime + Duration(std::llround(change)));
}

double QueueLoad::moreUrgentShare(TimePoint now, const Urgency &urgency,
                                  int connections) const {
  double number = 0;
  for (auto it = Started.begin(); it != Started.end() && it->first < urgency;
       ++it)
    number += decayedCount(now, it->second);
  const double rate = number / toMilliseconds(Options.RateWindow);
  return std::min(Options.MaxUrgentShare,
                  rate * toMilliseconds(HoldTime) / std::max(1, connections));
}

Duration QueueLoad::drainTime(int ahead, int connections) const {
  // NOTE: of several busy connections, the first is free again sooner than the
  // others.
  const int n = std::max(1, connections);
  return HoldTime * ahead / n + HoldTime / (n + 1);
}

Duration QueueLoad::wait(TimePoint now, const Urgency &urgency, int ahead,
                         int connections) const {
  const auto alone = static_cast<double>(drainTime(ahead, connections).count());
  return Duration(
      std::llround(alone / (1.0 - moreUrgentShare(now, urgency, connections))));
}

} // namespace stepledge::overload
