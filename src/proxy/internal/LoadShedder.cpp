// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "proxy/internal/LoadShedder.h"

namespace stepledge::proxy {

void LoadShedder::notePrimaryNeeded(TimePoint now, const std::string &service) {
  Services[service].NeededAt = now;
}

bool LoadShedder::sheds(TimePoint now, const std::string &service,
                        double congestion, bool hasQueue) {
  auto &state = Services[service];
  const double most = hasQueue ? Options.AboveInQueue : Options.Above;
  const bool isNeeded = now - state.NeededAt < Options.NeededTime;
  if (!isNeeded || congestion < most)
    return false;
  if (now - state.ProbedAt < Options.ProbeInterval)
    return true;
  state.ProbedAt = now;
  return false;
}

} // namespace stepledge::proxy
