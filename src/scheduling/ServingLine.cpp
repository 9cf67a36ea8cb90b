// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "scheduling/ServingLine.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace stepledge::scheduling {

namespace {

bool goesBefore(TimePoint now, bool isOverloaded, const WaitRank &a,
                const WaitRank &b) {
  if (!isOverloaded)
    return std::tie(a.Priority, a.ArrivedAt) <
           std::tie(b.Priority, b.ArrivedAt);
  return std::tuple(a.isLate(now), a.Priority, a.Objective, b.ArrivedAt) <
         std::tuple(b.isLate(now), b.Priority, b.Objective, a.ArrivedAt);
}

} // namespace

std::vector<std::size_t>
ServingLine::order(TimePoint now, const std::vector<WaitRank> &ranks) const {
  const bool isOverloaded =
      std::any_of(ranks.begin(), ranks.end(), [&](const auto &it) {
        return now - it.ArrivedAt > Options.OverloadAge;
      });
  std::vector<std::size_t> indices(ranks.size());
  std::iota(indices.begin(), indices.end(), 0);
  std::stable_sort(indices.begin(), indices.end(),
                   [&](std::size_t a, std::size_t b) {
                     return goesBefore(now, isOverloaded, ranks[a], ranks[b]);
                   });
  return indices;
}

} // namespace stepledge::scheduling
