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

/// A waiting statement among those of all organisations.
struct Place {
  bool IsLate = false;
  bool IsAhead = false;
  /// The same for its organisation's usage alone, without the organisation's
  /// other waiting statements.
  bool IsOwnerAhead = false;
  double Start = 0;
  std::size_t Index = 0;
};

/// Moves to the front the statement that has waited longest and isn't late, of
/// an organisation within its fair share if there is one. Otherwise this turn
/// would go to the backlog of an organisation that floods.
void raiseOldest(std::vector<Place> &places,
                 const std::vector<WaitRank> &ranks) {
  const auto keyOf = [&](const Place &it) {
    return std::tuple(it.IsLate, it.IsOwnerAhead, ranks[it.Index].ArrivedAt);
  };
  const auto oldest = std::min_element(
      places.begin(), places.end(),
      [&](const Place &a, const Place &b) { return keyOf(a) < keyOf(b); });
  if (oldest != places.end() && !oldest->IsLate)
    std::rotate(places.begin(), oldest, oldest + 1);
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

void ServingLine::setRates(const std::map<OrganisationId, double> &rates) {
  IsFair = !rates.empty();
  Weights = ShareWeights(rates);
  if (!IsFair)
    Lines.clear();
}

FairShares &ServingLine::sharesOf(TimePoint now, const LineId &line) {
  const auto found = Lines.find(line);
  if (found != Lines.end())
    return found->second;
  // NOTE: instances come and go, so queues that no longer matter are dropped.
  std::erase_if(Lines, [&](const auto &it) { return it.second.isOver(now); });
  return Lines.emplace(line, FairShares(Options.Shares)).first->second;
}

void ServingLine::noteUse(TimePoint now, const LineId &line,
                          const OrganisationId &organisation,
                          Duration slotTime) {
  if (IsFair)
    sharesOf(now, line).noteUse(now, organisation, slotTime,
                                Weights.of(organisation));
}

std::vector<std::size_t>
ServingLine::fairOrder(TimePoint now, const LineId &line,
                       const std::vector<WaitRank> &ranks) {
  std::map<OrganisationId, std::vector<std::size_t>> groups;
  for (std::size_t i = 0; i < ranks.size(); ++i)
    groups[ranks[i].Organisation].push_back(i);
  std::set<OrganisationId> waiting;
  for (const auto &[organisation, indices] : groups)
    waiting.insert(waiting.end(), organisation);
  auto &shares = sharesOf(now, line);
  shares.noteWaiting(now, waiting);
  std::vector<Place> places;
  places.reserve(ranks.size());
  for (const auto &[organisation, indices] : groups) {
    std::vector<WaitRank> own;
    own.reserve(indices.size());
    for (const auto i : indices)
      own.push_back(ranks[i]);
    const double weight = Weights.of(organisation);
    double start = shares.startOf(organisation);
    const bool isOwnerAhead = shares.isAhead(start, weight);
    for (const auto i : order(now, own)) {
      places.push_back({own[i].isLate(now), shares.isAhead(start, weight),
                        isOwnerAhead, start, indices[i]});
      start += shares.step(weight);
    }
  }
  // NOTE: over the fair share the usage alone decides; otherwise the urgent
  // statements of the organisation that is furthest over would go before all
  // statements of one that is over by chance.
  const auto keyOf = [&](const Place &it) {
    const auto &rank = ranks[it.Index];
    return std::tuple(it.IsLate, it.IsAhead, it.IsAhead ? 0 : rank.Priority,
                      it.Start, rank.ArrivedAt);
  };
  std::stable_sort(
      places.begin(), places.end(),
      [&](const Place &a, const Place &b) { return keyOf(a) < keyOf(b); });
  if (shares.isFloorsTurn())
    raiseOldest(places, ranks);
  std::vector<std::size_t> indices;
  indices.reserve(places.size());
  for (const auto &it : places)
    indices.push_back(it.Index);
  return indices;
}

std::size_t ServingLine::heldBack(TimePoint now) const {
  std::size_t n = 0;
  for (const auto &[id, shares] : Lines)
    n += shares.heldBack(now);
  return n;
}

} // namespace stepledge::scheduling
