// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file When callers that were refused should come back, so that they arrive
/// no faster than there is room for them.

#ifndef STEPLEDGE_QUOTA_RETRYTIMES_H
#define STEPLEDGE_QUOTA_RETRYTIMES_H

#include "base/types/Time.h"

#include <cstdint>
#include <map>

namespace stepledge::quota {

/// A client need not be told to come back sooner, nor much later.
constexpr Duration LeastRetry = milliseconds(20);
constexpr Duration MostRetry = milliseconds(1000);

class RetryTimes {
public:
  /// The pause for one more caller of \p priority: at least \p least, and
  /// behind those of the same or a more urgent priority that were told a time
  /// before it, where \p perSecond of its priority find room.
  Duration next(TimePoint now, int priority, Duration least, double perSecond);

private:
  /// The last time told to a caller, by priority.
  std::map<int, TimePoint> Last;
  std::uint32_t Told = 0;
};

} // namespace stepledge::quota

#endif // STEPLEDGE_QUOTA_RETRYTIMES_H
