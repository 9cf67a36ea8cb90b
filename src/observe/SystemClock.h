// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The machine's steady clock, in the product's time.

#ifndef STEPLEDGE_OBSERVE_SYSTEMCLOCK_H
#define STEPLEDGE_OBSERVE_SYSTEMCLOCK_H

#include "base/types/Time.h"

namespace stepledge::observe {

inline TimePoint readClock() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(now));
}

} // namespace stepledge::observe

#endif // STEPLEDGE_OBSERVE_SYSTEMCLOCK_H
