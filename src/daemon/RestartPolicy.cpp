// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "daemon/RestartPolicy.h"

#include <algorithm>

namespace stepledge::daemon {

std::optional<TimePoint> RestartPolicy::failed(TimePoint now) {
  while (!Failures.empty() && now - Failures.front() > Limits.Window)
    Failures.pop_front();
  Failures.push_back(now);
  if (Failures.size() > Limits.Failures)
    return std::nullopt;
  auto delay = Limits.FirstDelay;
  for (std::size_t n = 1; n < Failures.size(); ++n)
    delay = std::min(delay * 2, Limits.LongestDelay);
  return now + delay;
}

} // namespace stepledge::daemon
