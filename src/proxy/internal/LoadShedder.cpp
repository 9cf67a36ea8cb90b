// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "proxy/internal/LoadShedder.h"

namespace stepledge::proxy {

void LoadShedder::notePrimaryNeeded(TimePoint now, const std::string &service) {
  Services[service].NeededAt = now;
}

bool LoadShedder::shouldShed(TimePoint now, const std::string &service,
                             double congestion, bool hasQueue) {
  auto &state = Services[service];
  const double threshold = hasQueue ? Options.QueuedCongestionThreshold
                                    : Options.CongestionThreshold;
  const bool isNeeded = now - state.NeededAt < Options.PrimaryNeededTime;
  if (!isNeeded || congestion < threshold)
    return false;
  if (now - state.ProbedAt < Options.ProbeInterval)
    return true;
  state.ProbedAt = now;
  return false;
}

} // namespace stepledge::proxy
