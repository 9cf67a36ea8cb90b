// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The order in which waiting statements get a connection, at the VM that
/// their clients asked and at a lender.

#ifndef STEPLEDGE_SCHEDULING_QUEUESCHEDULER_H
#define STEPLEDGE_SCHEDULING_QUEUESCHEDULER_H

#include "scheduling/FairShares.h"
#include "scheduling/ShareWeights.h"
#include "scheduling/types/QueueId.h"
#include "scheduling/types/WaitRank.h"

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace stepledge::scheduling {

struct QueueSchedulerOptions {
  /// A queue in which a statement has waited for longer is overloaded: a good
  /// part of the latency objectives, which are some 150 to 600 ms.
  Duration OverloadAge = milliseconds(100);
  ShareOptions Shares;
};

class QueueScheduler {
public:
  explicit QueueScheduler(QueueSchedulerOptions options = {})
      : Options(options) {}

  /// Sets the rates by which the organisations share each queue, in operations
  /// per second and 0 for none; without any organisation all statements are
  /// treated alike.
  void setRates(const std::map<OrganisationId, double> &rates);
  /// Records that a statement or the opening of a connection for
  /// \p organisation has held a slot for \p slotTime.
  void noteUse(TimePoint now, const QueueId &queue,
               const OrganisationId &organisation, Duration slotTime);

  /// The keys of \p waiters, which are in the order of their arrival, with the
  /// one to serve first in front.
  template <typename Key>
  std::vector<Key> inOrder(TimePoint now, const QueueId &queue,
                           std::vector<std::pair<WaitRank, Key>> waiters) {
    std::vector<WaitRank> ranks;
    ranks.reserve(waiters.size());
    for (const auto &it : waiters)
      ranks.push_back(it.first);
    std::vector<Key> keys;
    keys.reserve(waiters.size());
    for (const auto i :
         IsFair ? fairOrder(now, queue, ranks) : order(now, ranks))
      keys.push_back(std::move(waiters[i].second));
    return keys;
  }

  /// Indices into \p ranks, the one to serve first in front: by priority, then
  /// first come, first served. Once a statement has waited too long, those that
  /// aren't late go first, then by priority, the tightest objective and the
  /// newest: first come, first served would make all late.
  std::vector<std::size_t> order(TimePoint now,
                                 const std::vector<WaitRank> &ranks) const;
  /// The same between organisations, whose shares it updates: statements that
  /// aren't late go first, then those within the fair share, by priority and
  /// then by the least usage for the weight; those over it by usage alone.
  /// Otherwise an organisation's statements are in the order above. At
  /// intervals the oldest that isn't late goes first.
  std::vector<std::size_t> fairOrder(TimePoint now, const QueueId &queue,
                                     const std::vector<WaitRank> &ranks);
  /// The number of organisations that wait behind another that has used less,
  /// in any queue.
  std::size_t deferredCount(TimePoint now) const;

private:
  FairShares &sharesOf(TimePoint now, const QueueId &queue);

  QueueSchedulerOptions Options;
  bool IsFair = false;
  ShareWeights Weights;
  std::map<QueueId, FairShares> SharesByQueue;
};

} // namespace stepledge::scheduling

#endif // STEPLEDGE_SCHEDULING_QUEUESCHEDULER_H
