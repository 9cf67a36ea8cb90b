// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Retry delays of refused callers, chosen so that they return no faster
/// than operations become available.

#ifndef STEPLEDGE_QUOTA_RETRYDELAYS_H
#define STEPLEDGE_QUOTA_RETRYDELAYS_H

#include "base/types/Time.h"

#include <cstdint>
#include <map>

namespace stepledge::quota {

/// The bounds of a retry delay: a client need not return sooner, nor much
/// later.
constexpr Duration MinRetryDelay = milliseconds(20);
constexpr Duration MaxRetryDelay = milliseconds(1000);

class RetryDelays {
public:
  /// The delay of one more caller of \p priority: at least \p least, and after
  /// the earlier callers of the same or a more urgent priority that got a retry
  /// time, with \p perSecond operations available to its priority.
  Duration next(TimePoint now, int priority, Duration least, double perSecond);

private:
  /// The latest retry time given to a caller, by priority.
  std::map<int, TimePoint> LastRetryAt;
  std::uint32_t SpreadCount = 0;
};

} // namespace stepledge::quota

#endif // STEPLEDGE_QUOTA_RETRYDELAYS_H
