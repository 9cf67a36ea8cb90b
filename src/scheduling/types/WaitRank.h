// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What decides a waiting statement's place.

#ifndef STEPLEDGE_SCHEDULING_TYPES_WAITRANK_H
#define STEPLEDGE_SCHEDULING_TYPES_WAITRANK_H

#include "base/types/Ids.h"
#include "base/types/Time.h"

namespace stepledge::scheduling {

struct WaitRank {
  /// Of its route; 0 is the most urgent.
  int Priority = 0;
  /// The route's latency objective; 0 for a question of the proxy's own.
  Duration Objective{};
  /// At the VM that its client asked.
  TimePoint ArrivedAt{};
  /// Whose statement it is; empty where there are no organisations.
  OrganisationId Organisation;

  /// A question never is: reads wait for its answer, and it takes no slot.
  bool isLate(TimePoint now) const {
    return Objective > Duration{} && now - ArrivedAt > Objective;
  }
};

} // namespace stepledge::scheduling

#endif // STEPLEDGE_SCHEDULING_TYPES_WAITRANK_H
