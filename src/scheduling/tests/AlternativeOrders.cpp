// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "scheduling/tests/AlternativeOrders.h"

#include <algorithm>
#include <tuple>

namespace stepledge::scheduling::tests {

namespace {

std::set<OrganisationId> namesOf(const std::vector<WaitRank> &ranks) {
  std::set<OrganisationId> names;
  for (const auto &it : ranks)
    names.insert(it.Organisation);
  return names;
}

} // namespace

std::size_t ProductOrder::pick(TimePoint now,
                               const std::vector<WaitRank> &ranks) {
  std::vector<std::pair<WaitRank, std::size_t>> waiters;
  waiters.reserve(ranks.size());
  for (const auto &it : ranks)
    waiters.emplace_back(it, waiters.size());
  return Scheduler.inOrder(now, {"db", InstanceId("i")}, std::move(waiters))
      .front();
}

void ProductOrder::noteUse(TimePoint now, const OrganisationId &organisation,
                           Duration took) {
  Scheduler.noteUse(now, {"db", InstanceId("i")}, organisation, took);
}

std::size_t PriorityFirst::pick(TimePoint now,
                                const std::vector<WaitRank> &ranks) {
  Shares.setWaiting(now, namesOf(ranks));
  std::vector<std::size_t> indices(ranks.size());
  for (std::size_t i = 0; i < ranks.size(); ++i)
    indices[i] = i;
  const auto oldest = std::find_if(indices.begin(), indices.end(), [&](auto i) {
    return !ranks[i].isLate(now);
  });
  if (Shares.isOldestFirstTurn() && oldest != indices.end())
    return *oldest;
  return *std::min_element(
      indices.begin(), indices.end(), [&](std::size_t i, std::size_t j) {
        const auto &a = ranks[i];
        const auto &b = ranks[j];
        return std::tuple(a.isLate(now), a.Priority,
                          Shares.startTagOf(a.Organisation), b.ArrivedAt) <
               std::tuple(b.isLate(now), b.Priority,
                          Shares.startTagOf(b.Organisation), a.ArrivedAt);
      });
}

void PriorityFirst::noteUse(TimePoint now, const OrganisationId &organisation,
                            Duration took) {
  Shares.noteUse(now, organisation, took, Weights.of(organisation));
}

std::size_t DeficitRoundRobin::pick(TimePoint now,
                                    const std::vector<WaitRank> &ranks) {
  std::vector<WaitRank> timely;
  for (const auto &it : ranks)
    if (!it.isLate(now))
      timely.push_back(it);
  const auto &choice = timely.empty() ? ranks : timely;
  const auto names = namesOf(choice);
  std::erase_if(Turns, [&](const auto &it) { return !names.contains(it); });
  for (const auto &it : names)
    if (std::find(Turns.begin(), Turns.end(), it) == Turns.end()) {
      Turns.push_back(it);
      Credit[it] = std::min(Credit[it], 0.0);
    }
  // The slot time, in microseconds, of one usual statement of an average
  // organisation.
  constexpr double Quantum = 4000;
  while (Credit[Turns.front()] <= 0) {
    Credit[Turns.front()] += Quantum * Weights.of(Turns.front());
    Turns.push_back(Turns.front());
    Turns.pop_front();
  }
  std::vector<std::size_t> own;
  std::vector<WaitRank> ownRanks;
  for (std::size_t i = 0; i < ranks.size(); ++i)
    if (ranks[i].Organisation == Turns.front()) {
      own.push_back(i);
      ownRanks.push_back(ranks[i]);
    }
  return own[Inner.order(now, ownRanks).front()];
}

void DeficitRoundRobin::noteUse(TimePoint now,
                                const OrganisationId &organisation,
                                Duration took) {
  (void)now;
  Credit[organisation] -= static_cast<double>(took.count());
}

} // namespace stepledge::scheduling::tests
