// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file How often a failed part of the daemon is started again.

#ifndef STEPLEDGE_DAEMON_RESTARTPOLICY_H
#define STEPLEDGE_DAEMON_RESTARTPOLICY_H

#include "base/types/Time.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace stepledge::daemon {

struct RestartLimits {
  /// More failures than this within Window are passed up the tree.
  std::size_t Failures = 10;
  Duration Window = milliseconds(30000);
  Duration FirstDelay = milliseconds(100);
  Duration LongestDelay = milliseconds(3000);
};

class RestartPolicy {
public:
  explicit RestartPolicy(RestartLimits limits) : Limits(limits) {}

  /// Notes a failure; returns when to start again, or none to give up.
  std::optional<TimePoint> failed(TimePoint now);

private:
  RestartLimits Limits;
  std::deque<TimePoint> Failures;
};

} // namespace stepledge::daemon

#endif // STEPLEDGE_DAEMON_RESTARTPOLICY_H
