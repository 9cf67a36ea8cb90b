// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Properties of the order between organisations for random waiting
/// statements, and the unchanged order without organisations.

#include "scheduling/QueueScheduler.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>
#include <random>
#include <string>
#include <tuple>

using namespace stepledge;
using namespace stepledge::scheduling;

namespace {

constexpr TimePoint Now = TimePoint(std::chrono::seconds(10));
const QueueId Queue{"db", InstanceId("i")};

std::vector<WaitRank> randomRanks(std::mt19937_64 &random) {
  std::vector<WaitRank> ranks(1 + random() % 40);
  const Duration most = milliseconds(random() % 2 == 0 ? 90 : 700);
  for (auto &it : ranks)
    it = {static_cast<int>(random() % 3),
          milliseconds(120 + 120 * static_cast<int>(random() % 4)),
          Now - Duration(random() % most.count()),
          OrganisationId(std::to_string(random() % 6))};
  std::stable_sort(
      ranks.begin(), ranks.end(),
      [](const auto &a, const auto &b) { return a.ArrivedAt < b.ArrivedAt; });
  return ranks;
}

/// The order from before statements were scheduled by organisation.
std::vector<std::size_t> earlierOrder(const std::vector<WaitRank> &ranks) {
  const bool isOverloaded =
      std::any_of(ranks.begin(), ranks.end(), [](const auto &it) {
        return Now - it.ArrivedAt > milliseconds(100);
      });
  std::vector<std::size_t> indices(ranks.size());
  std::iota(indices.begin(), indices.end(), 0);
  std::stable_sort(
      indices.begin(), indices.end(), [&](std::size_t i, std::size_t j) {
        const auto &a = ranks[i];
        const auto &b = ranks[j];
        if (!isOverloaded)
          return std::tie(a.Priority, a.ArrivedAt) <
                 std::tie(b.Priority, b.ArrivedAt);
        return std::tuple(a.isLate(Now), a.Priority, a.Objective, b.ArrivedAt) <
               std::tuple(b.isLate(Now), b.Priority, b.Objective, a.ArrivedAt);
      });
  return indices;
}

std::vector<std::pair<WaitRank, std::size_t>>
waitersOf(const std::vector<WaitRank> &ranks) {
  std::vector<std::pair<WaitRank, std::size_t>> waiters;
  waiters.reserve(ranks.size());
  for (const auto &it : ranks)
    waiters.emplace_back(it, waiters.size());
  return waiters;
}

void useAtRandom(QueueScheduler &scheduler, std::mt19937_64 &random) {
  for (auto n = random() % 30; n > 0; --n)
    scheduler.noteUse(Now, Queue, OrganisationId(std::to_string(random() % 6)),
                      Duration(1000 + random() % 9000));
}

std::map<OrganisationId, double> sixRates() {
  std::map<OrganisationId, double> rates;
  for (int i = 0; i < 6; ++i)
    rates[OrganisationId(std::to_string(i))] = i * 10;
  return rates;
}

} // namespace

TEST_CASE("FairServing_OrderIsUnchangedWithoutOrganisations") {
  std::mt19937_64 random(1);
  for (int n = 0; n < 2000; ++n) {
    QueueScheduler scheduler;
    scheduler.setRates({});
    useAtRandom(scheduler, random);
    const auto ranks = randomRanks(random);
    CHECK(scheduler.inOrder(Now, Queue, waitersOf(ranks)) ==
          earlierOrder(ranks));
    CHECK(scheduler.deferredCount(Now) == 0);
  }
}

TEST_CASE("FairServing_PriorityDecidesWithinAnOrganisation") {
  std::mt19937_64 random(2);
  for (int n = 0; n < 2000; ++n) {
    // One use more or less decides whether the oldest statement goes first.
    QueueSchedulerOptions options;
    options.Shares.OldestFirstInterval = 1 + random() % 4;
    QueueScheduler scheduler(options);
    scheduler.setRates(sixRates());
    useAtRandom(scheduler, random);
    const auto ranks = randomRanks(random);
    auto order = scheduler.fairOrder(Now, Queue, ranks);
    REQUIRE(order.size() == ranks.size());
    // The first statement may be there because the oldest goes first: then it
    // is the oldest of its organisation that isn't late.
    const auto &first = ranks[order.front()];
    const auto oldest =
        std::find_if(ranks.begin(), ranks.end(), [&](const auto &it) {
          return !it.isLate(Now) && it.Organisation == first.Organisation;
        });
    const bool mayBeOldestFirst =
        oldest != ranks.end() && first.ArrivedAt == oldest->ArrivedAt;
    for (std::size_t i = mayBeOldestFirst ? 1 : 0; i < order.size(); ++i)
      for (std::size_t j = i + 1; j < order.size(); ++j) {
        const auto &before = ranks[order[i]];
        const auto &behind = ranks[order[j]];
        if (before.Organisation == behind.Organisation)
          CHECK((before.Priority <= behind.Priority || behind.isLate(Now)));
        CHECK((!before.isLate(Now) || behind.isLate(Now)));
      }
    std::sort(order.begin(), order.end());
    for (std::size_t i = 0; i < order.size(); ++i)
      CHECK(order[i] == i);
  }
}

TEST_CASE("FairServing_OldestFirstTurnServesTheLongestWait") {
  QueueSchedulerOptions options;
  QueueScheduler scheduler(options);
  scheduler.setRates(sixRates());
  const OrganisationId busy("1");
  std::vector<WaitRank> ranks(5, {0, milliseconds(150), Now, busy});
  ranks.insert(ranks.begin(),
               {2, milliseconds(600), Now - milliseconds(90), busy});
  std::uint64_t oldestFirst = 0;
  for (std::uint64_t n = 0; n < options.Shares.OldestFirstInterval; ++n) {
    scheduler.noteUse(Now, Queue, busy, milliseconds(4));
    oldestFirst += scheduler.fairOrder(Now, Queue, ranks).front() == 0 ? 1 : 0;
  }
  CHECK(oldestFirst == 1);
}

TEST_CASE("FairServing_UncontestedUsageDoesNotCountAgainstAnOrganisation") {
  FairShares shares;
  const OrganisationId alone("a");
  const OrganisationId other("b");
  for (int i = 0; i < 1000; ++i)
    shares.noteUse(Now + i * milliseconds(4), alone, milliseconds(4), 1);
  const TimePoint later = Now + milliseconds(4000);
  shares.setWaiting(later, {alone, other});
  CHECK(shares.startTagOf(alone) - shares.startTagOf(other) <= 4000);
}

TEST_CASE("FairServing_UsageExpiresAndTheStateStaysSmall") {
  FairShares shares;
  shares.setWaiting(Now, {OrganisationId("waits")});
  for (int i = 0; i < 5000; ++i) {
    const TimePoint at = Now + i * milliseconds(10);
    shares.setWaiting(at, {OrganisationId("waits")});
    shares.noteUse(at, OrganisationId(std::to_string(i)), milliseconds(4), 1);
  }
  // The accounts of five seconds, and of the second until expired ones are
  // removed.
  CHECK(shares.size() <= 601);
  CHECK(!shares.isExpired(Now + milliseconds(50000)));
  CHECK(shares.isExpired(Now + milliseconds(60000)));
}

TEST_CASE("FairServing_OrganisationWithoutARateHasAverageWeight") {
  const ShareWeights weights({{OrganisationId("a"), 30},
                              {OrganisationId("b"), 10},
                              {OrganisationId("c"), 0}});
  CHECK(weights.of(OrganisationId("a")) == 1.5);
  CHECK(weights.of(OrganisationId("b")) == 0.5);
  CHECK(weights.of(OrganisationId("c")) == 1);
  CHECK(ShareWeights({{OrganisationId("a"), 0}}).of(OrganisationId("a")) == 1);
}

TEST_CASE("FairServing_EqualUsageIsServedInOrderOfArrival") {
  QueueScheduler scheduler;
  scheduler.setRates(sixRates());
  const auto order = scheduler.fairOrder(
      Now, Queue,
      {{1, milliseconds(150), Now - milliseconds(9), OrganisationId("5")},
       {1, milliseconds(150), Now - milliseconds(8), OrganisationId("2")},
       {0, milliseconds(150), Now - milliseconds(7), OrganisationId("3")}});
  CHECK(order == std::vector<std::size_t>{2, 0, 1});
}

TEST_CASE("FairServing_CountsDeferredOrganisations") {
  QueueScheduler scheduler;
  scheduler.setRates(sixRates());
  scheduler.noteUse(Now, Queue, OrganisationId("1"), milliseconds(40));
  scheduler.fairOrder(Now, Queue,
                      {{0, milliseconds(150), Now, OrganisationId("1")},
                       {0, milliseconds(150), Now, OrganisationId("2")}});
  CHECK(scheduler.deferredCount(Now) == 1);
  CHECK(scheduler.deferredCount(Now + milliseconds(200)) == 0);
}
