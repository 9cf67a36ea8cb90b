// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "scheduling/QueueScheduler.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace stepledge::scheduling {

namespace {

bool isServedBefore(TimePoint now, bool isOverloaded, const WaitRank &a,
                    const WaitRank &b) {
  if (!isOverloaded)
    return std::tie(a.Priority, a.ArrivedAt) <
           std::tie(b.Priority, b.ArrivedAt);
  return std::tuple(a.isLate(now), a.Priority, a.Objective, b.ArrivedAt) <
         std::tuple(b.isLate(now), b.Priority, b.Objective, a.ArrivedAt);
}

/// A waiting statement among those of all organisations.
struct RankedStatement {
  bool IsLate = false;
  bool IsOverShare = false;
  /// The same for its organisation's usage alone, without the organisation's
  /// other waiting statements.
  bool IsOrganisationOverShare = false;
  double StartTag = 0;
  std::size_t Index = 0;
};

/// Moves to the front the statement that has waited longest and isn't late, of
/// an organisation within its fair share if there is one. Otherwise this turn
/// would go to the backlog of an organisation that floods.
void moveOldestToFront(std::vector<RankedStatement> &ranked,
                       const std::vector<WaitRank> &ranks) {
  const auto keyOf = [&](const RankedStatement &it) {
    return std::tuple(it.IsLate, it.IsOrganisationOverShare,
                      ranks[it.Index].ArrivedAt);
  };
  const auto oldest =
      std::min_element(ranked.begin(), ranked.end(),
                       [&](const RankedStatement &a, const RankedStatement &b) {
                         return keyOf(a) < keyOf(b);
                       });
  if (oldest != ranked.end() && !oldest->IsLate)
    std::rotate(ranked.begin(), oldest, oldest + 1);
}

} // namespace

std::vector<std::size_t>
QueueScheduler::order(TimePoint now, const std::vector<WaitRank> &ranks) const {
  const bool isOverloaded =
      std::any_of(ranks.begin(), ranks.end(), [&](const auto &it) {
        return now - it.ArrivedAt > Options.OverloadAge;
      });
  std::vector<std::size_t> indices(ranks.size());
  std::iota(indices.begin(), indices.end(), 0);
  std::stable_sort(
      indices.begin(), indices.end(), [&](std::size_t a, std::size_t b) {
        return isServedBefore(now, isOverloaded, ranks[a], ranks[b]);
      });
  return indices;
}

void QueueScheduler::setRates(const std::map<OrganisationId, double> &rates) {
  IsFair = !rates.empty();
  Weights = ShareWeights(rates);
  if (!IsFair)
    SharesByQueue.clear();
}

FairShares &QueueScheduler::sharesOf(TimePoint now, const QueueId &queue) {
  const auto found = SharesByQueue.find(queue);
  if (found != SharesByQueue.end())
    return found->second;
  // NOTE: instances come and go, so queues that no longer matter are dropped.
  std::erase_if(SharesByQueue,
                [&](const auto &it) { return it.second.isExpired(now); });
  return SharesByQueue.emplace(queue, FairShares(Options.Shares)).first->second;
}

void QueueScheduler::noteUse(TimePoint now, const QueueId &queue,
                             const OrganisationId &organisation,
                             Duration slotTime) {
  if (IsFair)
    sharesOf(now, queue)
        .noteUse(now, organisation, slotTime, Weights.of(organisation));
}

std::vector<std::size_t>
QueueScheduler::fairOrder(TimePoint now, const QueueId &queue,
                          const std::vector<WaitRank> &ranks) {
  std::map<OrganisationId, std::vector<std::size_t>> groups;
  for (std::size_t i = 0; i < ranks.size(); ++i)
    groups[ranks[i].Organisation].push_back(i);
  std::set<OrganisationId> waiting;
  for (const auto &[organisation, indices] : groups)
    waiting.insert(waiting.end(), organisation);
  auto &shares = sharesOf(now, queue);
  shares.setWaiting(now, waiting);
  std::vector<RankedStatement> ranked;
  ranked.reserve(ranks.size());
  for (const auto &[organisation, indices] : groups) {
    std::vector<WaitRank> own;
    own.reserve(indices.size());
    for (const auto i : indices)
      own.push_back(ranks[i]);
    const double weight = Weights.of(organisation);
    double startTag = shares.startTagOf(organisation);
    const bool isOrganisationOverShare = shares.isOverShare(startTag, weight);
    for (const auto i : order(now, own)) {
      ranked.push_back({own[i].isLate(now),
                        shares.isOverShare(startTag, weight),
                        isOrganisationOverShare, startTag, indices[i]});
      startTag += shares.startTagStep(weight);
    }
  }
  // NOTE: over the fair share the usage alone decides; otherwise the urgent
  // statements of the organisation that is furthest over would go before all
  // statements of one that is over by chance.
  const auto keyOf = [&](const RankedStatement &it) {
    const auto &rank = ranks[it.Index];
    return std::tuple(it.IsLate, it.IsOverShare,
                      it.IsOverShare ? 0 : rank.Priority, it.StartTag,
                      rank.ArrivedAt);
  };
  std::stable_sort(ranked.begin(), ranked.end(),
                   [&](const RankedStatement &a, const RankedStatement &b) {
                     return keyOf(a) < keyOf(b);
                   });
  if (shares.isOldestFirstTurn())
    moveOldestToFront(ranked, ranks);
  std::vector<std::size_t> indices;
  indices.reserve(ranked.size());
  for (const auto &it : ranked)
    indices.push_back(it.Index);
  return indices;
}

std::size_t QueueScheduler::deferredCount(TimePoint now) const {
  std::size_t n = 0;
  for (const auto &[id, shares] : SharesByQueue)
    n += shares.deferredCount(now);
  return n;
}

} // namespace stepledge::scheduling
