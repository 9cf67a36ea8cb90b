// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file In which order waiting statements get a connection, at the VM that
/// their clients asked and at one that lends.

#ifndef STEPLEDGE_PROXY_TYPES_WAITRANK_H
#define STEPLEDGE_PROXY_TYPES_WAITRANK_H

#include "base/types/Time.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

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

/// The keys of \p waiters, who are in the order of their arrival, with the one
/// to serve first in front. The line is overloaded once somebody has waited for
/// longer than \p overloadAge.
template <typename Key>
std::vector<Key> inServingOrder(TimePoint now, Duration overloadAge,
                                std::vector<std::pair<WaitRank, Key>> waiters) {
  const bool isOverloaded =
      std::any_of(waiters.begin(), waiters.end(), [&](const auto &it) {
        return now - it.first.ArrivedAt > overloadAge;
      });
  std::stable_sort(waiters.begin(), waiters.end(),
                   [&](const auto &a, const auto &b) {
                     return goesBefore(now, isOverloaded, a.first, b.first);
                   });
  std::vector<Key> keys;
  keys.reserve(waiters.size());
  for (auto &[rank, key] : waiters)
    keys.push_back(std::move(key));
  return keys;
}

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_TYPES_WAITRANK_H
