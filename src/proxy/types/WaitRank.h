// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file In which order waiting statements get a connection, at the VM that
/// their clients asked and at one that lends.

#ifndef STEPLEDGE_PROXY_TYPES_WAITRANK_H
#define STEPLEDGE_PROXY_TYPES_WAITRANK_H

#include "base/types/Time.h"

#include <tuple>

namespace stepledge::proxy {

struct WaitRank {
  int Priority = 0;
  Duration Objective{};
  TimePoint ArrivedAt{};

  bool isLate(TimePoint now) const { return now - ArrivedAt > Objective; }
};

/// First come, first served; \p isOverloaded once somebody has to wait too
/// long. Then those that can still be answered in time go first, the tightest
/// objectives before the others and the newest before the older: first come,
/// first served would make all late.
inline bool goesBefore(TimePoint now, bool isOverloaded, const WaitRank &a,
                       const WaitRank &b) {
  if (!isOverloaded)
    return std::tie(a.Priority, a.ArrivedAt) <
           std::tie(b.Priority, b.ArrivedAt);
  return std::tuple(a.isLate(now), a.Priority, a.Objective, b.ArrivedAt) <
         std::tuple(b.isLate(now), b.Priority, b.Objective, a.ArrivedAt);
}

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_TYPES_WAITRANK_H
