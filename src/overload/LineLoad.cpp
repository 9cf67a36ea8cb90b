// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "overload/LineLoad.h"

#include <algorithm>
#include <cmath>

namespace stepledge::overload {

double LineLoad::numberNow(TimePoint now, const Count &count) const {
  return count.Number * std::exp(-toMilliseconds(now - count.At) /
                                 toMilliseconds(Options.RateWindow));
}

void LineLoad::noteBegun(TimePoint now, const Urgency &urgency) {
  auto &it = Begun[urgency];
  it = {numberNow(now, it) + 1, now};
}

void LineLoad::noteHeld(Duration time) {
  if (Held == Duration{}) {
    Held = time;
    return;
  }
  const auto sample = std::min(time, Options.MostHeldFactor * Held);
  const double change =
      static_cast<double>((sample - Held).count()) * Options.HeldWeight;
  Held = std::max(Duration(1), Held + Duration(std::llround(change)));
}

double LineLoad::takenBefore(TimePoint now, const Urgency &urgency,
                             int connections) const {
  double number = 0;
  for (auto it = Begun.begin(); it != Begun.end() && it->first < urgency; ++it)
    number += numberNow(now, it->second);
  const double rate = number / toMilliseconds(Options.RateWindow);
  return std::min(Options.MostTaken,
                  rate * toMilliseconds(Held) / std::max(1, connections));
}

Duration LineLoad::drainTime(int ahead, int connections) const {
  // NOTE: of several busy connections, the first is free again sooner than the
  // others.
  const int n = std::max(1, connections);
  return Held * ahead / n + Held / (n + 1);
}

Duration LineLoad::wait(TimePoint now, const Urgency &urgency, int ahead,
                        int connections) const {
  const auto alone = static_cast<double>(drainTime(ahead, connections).count());
  return Duration(
      std::llround(alone / (1.0 - takenBefore(now, urgency, connections))));
}

} // namespace stepledge::overload
