// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The priorities that quotas distinguish.

#ifndef STEPLEDGE_QUOTA_TYPES_QUOTAPRIORITY_H
#define STEPLEDGE_QUOTA_TYPES_QUOTAPRIORITY_H

#include <algorithm>

namespace stepledge::quota {

/// Priority numbers above this count as this one, the least urgent: bounds what
/// is kept and counted for each priority.
constexpr int LeastUrgent = 7;

/// Maps a route's priority; 0 is the most urgent.
constexpr int quotaPriorityOf(int priority) {
  return std::clamp(priority, 0, LeastUrgent);
}

} // namespace stepledge::quota

#endif // STEPLEDGE_QUOTA_TYPES_QUOTAPRIORITY_H
