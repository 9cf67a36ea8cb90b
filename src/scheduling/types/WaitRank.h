// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The properties that decide a waiting statement's place in its queue.

#ifndef STEPLEDGE_SCHEDULING_TYPES_WAITRANK_H
#define STEPLEDGE_SCHEDULING_TYPES_WAITRANK_H

#include "base/types/Ids.h"
#include "base/types/Time.h"

namespace stepledge::scheduling {

struct WaitRank {
  /// The route's priority; 0 is the most urgent.
  int Priority = 0;
  /// The route's latency objective; 0 for a query that the proxy itself sends.
  Duration Objective{};
  /// When the statement arrived at the VM that its client asked.
  TimePoint ArrivedAt{};
  /// The organisation of the statement; empty where there are no organisations.
  OrganisationId Organisation;

  /// Whether the objective has passed. A query that the proxy itself sends is
  /// never late: reads wait for its answer, and it takes no slot.
  bool isLate(TimePoint now) const {
    return Objective > Duration{} && now - ArrivedAt > Objective;
  }
};

} // namespace stepledge::scheduling

#endif // STEPLEDGE_SCHEDULING_TYPES_WAITRANK_H
