// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file In which order waiting statements get a connection, at the VM that
/// their clients asked and at one that lends.

#ifndef STEPLEDGE_SCHEDULING_SERVINGLINE_H
#define STEPLEDGE_SCHEDULING_SERVINGLINE_H

#include "scheduling/FairShares.h"
#include "scheduling/ShareWeights.h"
#include "scheduling/types/LineId.h"
#include "scheduling/types/WaitRank.h"

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace stepledge::scheduling {

struct LineOptions {
  /// Where statements have waited for longer, the line is overloaded: a good
  /// part of the latency objectives, which are some 150 to 600 ms.
  Duration OverloadAge = milliseconds(100);
  ShareOptions Shares;
};

class ServingLine {
public:
  explicit ServingLine(LineOptions options = {}) : Options(options) {}

  /// From now on the organisations share each line by their rates, operations
  /// a second and 0 for none; without any organisation nobody is told apart.
  void setRates(const std::map<OrganisationId, double> &rates);
  /// A statement or the opening of a connection for \p organisation has held a
  /// slot for \p slotTime.
  void noteUse(TimePoint now, const LineId &line,
               const OrganisationId &organisation, Duration slotTime);

  /// The keys of \p waiters, who are in the order of their arrival, with the
  /// one to serve first in front.
  template <typename Key>
  std::vector<Key> inOrder(TimePoint now, const LineId &line,
                           std::vector<std::pair<WaitRank, Key>> waiters) {
    std::vector<WaitRank> ranks;
    ranks.reserve(waiters.size());
    for (const auto &it : waiters)
      ranks.push_back(it.first);
    std::vector<Key> keys;
    keys.reserve(waiters.size());
    for (const auto i :
         IsFair ? fairOrder(now, line, ranks) : order(now, ranks))
      keys.push_back(std::move(waiters[i].second));
    return keys;
  }

  /// Indices into \p ranks, the one to serve first in front. First come, first
  /// served; once somebody has waited too long, those that can still be
  /// answered in time go first, the tightest objectives before the others and
  /// the newest before the older: first come, first served would make all late.
  std::vector<std::size_t> order(TimePoint now,
                                 const std::vector<WaitRank> &ranks) const;
  /// The same between organisations: what can still be answered in time goes
  /// first, then the organisation that has had least for its weight; each
  /// organisation's own statements are in the order above.
  std::vector<std::size_t> fairOrder(TimePoint now, const LineId &line,
                                     const std::vector<WaitRank> &ranks);
  /// Organisations that wait behind another that has had less, at any line.
  std::size_t heldBack(TimePoint now) const;

private:
  FairShares &sharesOf(TimePoint now, const LineId &line);

  LineOptions Options;
  bool IsFair = false;
  ShareWeights Weights;
  std::map<LineId, FairShares> Lines;
};

} // namespace stepledge::scheduling

#endif // STEPLEDGE_SCHEDULING_SERVINGLINE_H
