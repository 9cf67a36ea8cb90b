// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The steps of a planned stop of an entry VM.

#ifndef STEPLEDGE_ENTRY_STOPPLAN_H
#define STEPLEDGE_ENTRY_STOPPLAN_H

#include "base/types/Time.h"

#include <algorithm>

namespace stepledge::entry {

struct StopPlan {
  TimePoint StartedAt{};
  Duration Limit{};

  /// The balancer has asked twice by then; it sends new connections only where
  /// it has too few other VMs.
  static constexpr Duration BalancerTime = milliseconds(2200);
  /// Left for the last answers' way to the clients.
  static constexpr Duration Margin = milliseconds(400);
  /// Left for a tick that comes late and the last lines of the log.
  static constexpr Duration ExitTime = milliseconds(150);

  /// Resting sessions may be closed, and new ones refused: clients come back
  /// elsewhere.
  bool mayCloseSessions(TimePoint now) const {
    return now - StartedAt >= std::min(BalancerTime, Limit / 2);
  }
  /// Open transactions have had the first half of the time.
  bool mayAbortTransactions(TimePoint now) const {
    return now - StartedAt >= Limit / 2;
  }
  /// All sessions must end; clients that still wait are answered.
  bool mustEnd(TimePoint now) const {
    return now - StartedAt >= Limit - Margin;
  }
  /// The process must exit.
  bool mustExit(TimePoint now) const {
    return now - StartedAt >= Limit - ExitTime;
  }
};

} // namespace stepledge::entry

#endif // STEPLEDGE_ENTRY_STOPPLAN_H
