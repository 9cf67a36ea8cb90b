// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Smoothed rates of one organisation's operations, by priority.

#ifndef STEPLEDGE_QUOTA_PRIORITYRATES_H
#define STEPLEDGE_QUOTA_PRIORITYRATES_H

#include "base/types/Time.h"

#include <map>
#include <optional>

namespace stepledge::quota {

class PriorityRates {
public:
  /// Operations of \p smoothing ago count for about a third.
  explicit PriorityRates(Duration smoothing) : Smoothing(smoothing) {}

  void note(TimePoint now, int priority, double operations = 1);
  double perSecond(TimePoint now, int priority) const;
  /// The rate at the last recorded operation. It is taken over the full
  /// smoothing time, so it is lower after a start.
  double lastPerSecond(int priority) const;
  /// The rate of all priorities up to and including \p last, the least urgent
  /// of them.
  double perSecondUpTo(TimePoint now, int last) const;
  double totalPerSecond(TimePoint now) const;
  /// The time that the counts cover: it approaches the smoothing time, and is
  /// less if nothing was counted before, as after a start.
  double countedSeconds(TimePoint now) const;

private:
  struct Count {
    double Operations = 0;
    TimePoint NotedAt{};
  };

  double decayed(TimePoint now, const Count &count) const;
  Duration Smoothing;
  std::optional<TimePoint> FirstAt;
  std::map<int, Count> Counts;
};

} // namespace stepledge::quota

#endif // STEPLEDGE_QUOTA_PRIORITYRATES_H
