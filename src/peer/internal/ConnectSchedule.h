// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file When to start, and when to give up, a try to connect to another VM.

#ifndef STEPLEDGE_PEER_INTERNAL_CONNECTSCHEDULE_H
#define STEPLEDGE_PEER_INTERNAL_CONNECTSCHEDULE_H

#include "base/types/Time.h"

#include <algorithm>

namespace stepledge::peer {

class ConnectSchedule {
public:
  /// A try that isn't answered by then is given up: tens of round trips within
  /// a region, also behind what fills a narrow link, yet well under the second
  /// after which the system sends a lost opening packet again. Further
  /// tries start beside it meanwhile, so a VM whose first packet was lost
  /// needn't wait for this limit.
  static constexpr Duration HangLimit = milliseconds(200);
  /// From the start of one try to the next at the soonest; a port that nobody
  /// listens at refuses at once. VMs that start together find each other's
  /// ports closed for some milliseconds, so the first pauses are short: three
  /// tries fit in before the control VMs' first votes. They double up to the
  /// longest.
  static constexpr Duration FirstPause = milliseconds(15);
  static constexpr Duration LongestPause = milliseconds(100);
  /// A link that has lasted for longer than this was no failed try.
  static constexpr Duration FreshAfter = milliseconds(1000);

  void started(TimePoint now) {
    Pause = now - StartedAt > FreshAfter
                ? FirstPause
                : std::clamp(2 * Pause, FirstPause, LongestPause);
    StartedAt = now;
  }
  static bool isHung(TimePoint startedAt, TimePoint now) {
    return now - startedAt > HangLimit;
  }
  bool mayStart(TimePoint now) const { return now - StartedAt > Pause; }

private:
  TimePoint StartedAt{};
  Duration Pause{};
};

} // namespace stepledge::peer

#endif // STEPLEDGE_PEER_INTERNAL_CONNECTSCHEDULE_H
