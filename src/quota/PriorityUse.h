// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Operations a second of one organisation by priority, smoothed.

#ifndef STEPLEDGE_QUOTA_PRIORITYUSE_H
#define STEPLEDGE_QUOTA_PRIORITYUSE_H

#include "base/types/Time.h"

#include <map>
#include <optional>

namespace stepledge::quota {

class PriorityUse {
public:
  /// What was used \p smoothing ago counts for about a third.
  explicit PriorityUse(Duration smoothing) : Smoothing(smoothing) {}

  void note(TimePoint now, int priority, double operations = 1);
  double perSecond(TimePoint now, int priority) const;
  /// As it was when it was last noted.
  double lastPerSecond(int priority) const;
  /// Of all priorities up to and with \p last, the least urgent of them.
  double upTo(TimePoint now, int last) const;
  double total(TimePoint now) const;
  /// The time that the counts stand for: less than the smoothing where nothing
  /// was counted before, as after a start.
  double countedSeconds(TimePoint now) const;

private:
  struct Use {
    double Operations = 0;
    TimePoint NotedAt{};
  };

  double decayed(TimePoint now, const Use &use) const;
  Duration Smoothing;
  std::optional<TimePoint> FirstAt;
  std::map<int, Use> Uses;
};

} // namespace stepledge::quota

#endif // STEPLEDGE_QUOTA_PRIORITYUSE_H
