// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The one place where the daemon reads its clocks.

#ifndef STEPLEDGE_DAEMON_INTERNAL_SYSTEMCLOCK_H
#define STEPLEDGE_DAEMON_INTERNAL_SYSTEMCLOCK_H

#include "base/types/Time.h"

#include <chrono>

namespace stepledge::daemon {

/// The local monotonic clock.
inline TimePoint monotonicNow() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

/// The same moment for Asio's timers.
inline std::chrono::steady_clock::time_point asioTime(TimePoint time) {
  return std::chrono::steady_clock::time_point(time.time_since_epoch());
}

} // namespace stepledge::daemon

#endif // STEPLEDGE_DAEMON_INTERNAL_SYSTEMCLOCK_H
