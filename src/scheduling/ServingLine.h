// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file In which order waiting statements get a connection, at the VM that
/// their clients asked and at one that lends.

#ifndef STEPLEDGE_SCHEDULING_SERVINGLINE_H
#define STEPLEDGE_SCHEDULING_SERVINGLINE_H

#include "scheduling/types/WaitRank.h"

#include <cstddef>
#include <utility>
#include <vector>

namespace stepledge::scheduling {

struct LineOptions {
  /// Where statements have waited for longer, the line is overloaded: a good
  /// part of the latency objectives, which are some 150 to 600 ms.
  Duration OverloadAge = milliseconds(100);
};

class ServingLine {
public:
  explicit ServingLine(LineOptions options = {}) : Options(options) {}

  /// The keys of \p waiters, who are in the order of their arrival, with the
  /// one to serve first in front.
  template <typename Key>
  std::vector<Key>
  inOrder(TimePoint now, std::vector<std::pair<WaitRank, Key>> waiters) const {
    std::vector<WaitRank> ranks;
    ranks.reserve(waiters.size());
    for (const auto &it : waiters)
      ranks.push_back(it.first);
    std::vector<Key> keys;
    keys.reserve(waiters.size());
    for (const auto i : order(now, ranks))
      keys.push_back(std::move(waiters[i].second));
    return keys;
  }

  /// Indices into \p ranks, the one to serve first in front. First come, first
  /// served; once somebody has waited too long, those that can still be
  /// answered in time go first, the tightest objectives before the others and
  /// the newest before the older: first come, first served would make all late.
  std::vector<std::size_t> order(TimePoint now,
                                 const std::vector<WaitRank> &ranks) const;

private:
  LineOptions Options;
};

} // namespace stepledge::scheduling

#endif // STEPLEDGE_SCHEDULING_SERVINGLINE_H
