// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A group whose members were all killed has a leader again as soon as a
/// majority of them runs, in whatever order they restart.

#include "consensus/tests/SimulatedGroup.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <vector>

using namespace stepledge;
using consensus::tests::SimulatedGroup;
using consensus::tests::SimulatedTiming;

namespace {

/// Timing of members in one region, with the disks of VMs.
SimulatedTiming regionTiming() {
  SimulatedTiming timing;
  timing.Step = milliseconds(1);
  timing.TickInterval = milliseconds(20);
  timing.LeastDelay = milliseconds(1);
  timing.MostDelay = milliseconds(4);
  timing.LeastSync = milliseconds(1);
  timing.MostSync = milliseconds(5);
  timing.HasConnections = true;
  return timing;
}

/// Maximum time without a leader that callers tolerate once a majority runs.
constexpr Duration LeadLimit = milliseconds(150);
/// Time over which the members of a group restart.
constexpr std::int64_t StartSpreadMs = 300;
/// Time limit of a measurement.
constexpr Duration Hopeless = milliseconds(3000);

/// Times from the moment at which a majority runs.
struct Return {
  Duration ToLeader = Hopeless;
  /// To a majority of members with an up-to-date state.
  Duration ToFresh = Hopeless;
};

/// Kills all members of a group under load. Some had entries in flight, so
/// their logs differ.
void killAllAtWork(SimulatedGroup &group) {
  group.run(milliseconds(2500));
  REQUIRE(group.leader());
  for (int i = 0; i < 20; ++i) {
    group.propose();
    group.run(milliseconds(static_cast<std::int64_t>(group.pick(8))));
  }
  for (std::size_t i = 0; i < group.size(); ++i)
    group.kill(i);
  group.run(milliseconds(1200));
}

/// Restarts the members at the times in \p starts, and measures the recovery; a
/// negative time means never.
Return awaitReturn(SimulatedGroup &group,
                   const std::vector<std::int64_t> &starts) {
  const std::size_t majority = group.size() / 2 + 1;
  auto sorted = starts;
  std::sort(sorted.begin(), sorted.end());
  const Duration from = milliseconds(sorted[majority - 1]);
  const TimePoint begin = group.now();
  Return times;
  while (group.now() - begin < from + Hopeless) {
    for (std::size_t i = 0; i < starts.size(); ++i)
      if (group.now() - begin >= milliseconds(starts[i]) && starts[i] >= 0)
        group.start(i);
    group.run(milliseconds(1));
    const Duration past = group.now() - begin - from;
    if (group.leader())
      times.ToLeader = std::min(times.ToLeader, past);
    if (group.freshCount() >= majority)
      times.ToFresh = std::min(times.ToFresh, past);
  }
  return times;
}

std::vector<std::int64_t> drawStarts(SimulatedGroup &group) {
  std::vector<std::int64_t> starts;
  for (std::size_t i = 0; i < group.size(); ++i)
    starts.push_back(static_cast<std::int64_t>(group.pick(StartSpreadMs)));
  return starts;
}

struct Spread {
  std::int64_t Median = 0;
  std::int64_t P95 = 0;
  std::int64_t Most = 0;
};

Spread spreadOf(std::vector<Duration> times) {
  std::sort(times.begin(), times.end());
  const auto at = [&](std::size_t percent) {
    return static_cast<std::int64_t>(
        toMilliseconds(times[(times.size() - 1) * percent / 100]));
  };
  return {at(50), at(95), at(100)};
}

/// Restarts groups of \p size, modified by \p change before they start.
template <typename Change>
void checkReturns(std::size_t size, std::uint64_t seeds, Change change) {
  std::vector<Duration> toLeader;
  std::vector<Duration> toFresh;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    CAPTURE(seed);
    SimulatedGroup group(size, size, static_cast<int>(size), seed,
                         regionTiming());
    killAllAtWork(group);
    auto starts = drawStarts(group);
    change(group, starts);
    const auto times = awaitReturn(group, starts);
    CHECK(group.fault() == "");
    toLeader.push_back(times.ToLeader);
    toFresh.push_back(times.ToFresh);
  }
  const auto leader = spreadOf(toLeader);
  const auto fresh = spreadOf(toFresh);
  MESSAGE("members ", size, ": leads after ", leader.Median,
          " ms (95 %: ", leader.P95, ", most ", leader.Most,
          "), a majority is fresh after ", fresh.Median,
          " ms (95 %: ", fresh.P95, ", most ", fresh.Most, ")");
  CHECK(leader.Median < toMilliseconds(LeadLimit) / 2);
  CHECK(leader.P95 <= toMilliseconds(LeadLimit));
  CHECK(fresh.P95 <= toMilliseconds(LeadLimit));
  CHECK(leader.Most < toMilliseconds(Hopeless));
}

} // namespace

TEST_CASE("Return_GroupLeadsOnceAMajorityRuns") {
  for (const std::size_t size : {3, 5})
    checkReturns(size, 250, [](auto &, auto &) {});
}

TEST_CASE("Return_MembersThatStartTogetherDoNotCollide") {
  for (const std::size_t size : {3, 5})
    checkReturns(size, 250, [](auto &, auto &starts) {
      for (auto &it : starts)
        it %= 4;
    });
}

TEST_CASE("Return_OneMemberComesMuchLater") {
  for (const std::size_t size : {3, 5})
    checkReturns(size, 100, [](auto &group, auto &starts) {
      starts[group.pick(starts.size())] = 2500;
    });
}

TEST_CASE("Return_OneMemberWasWiped") {
  // It gets a new number and is no voter before the group has a leader, so only
  // the other members can vote.
  for (const std::size_t size : {3, 5})
    checkReturns(size, 100, [](auto &group, auto &starts) {
      const auto member = group.pick(starts.size());
      group.wipe(member);
      // The other members form the majority.
      starts[member] = StartSpreadMs + 100;
    });
}

TEST_CASE("Return_OneLinkIsDown") {
  for (const std::size_t size : {3, 5})
    checkReturns(size, 200, [](auto &group, auto &starts) {
      const auto one = group.pick(starts.size());
      const auto other = (one + 1) % starts.size();
      group.cut(one, other);
      group.cut(other, one);
      // If one link of the majority is down, it may need a member that starts
      // later.
      for (auto &it : starts)
        it %= 4;
    });
}

TEST_CASE("Return_OneMemberReachesNobody") {
  for (const std::size_t size : {3, 5})
    checkReturns(size, 100, [](auto &group, auto &starts) {
      const auto one = group.pick(starts.size());
      for (std::size_t i = 0; i < starts.size(); ++i) {
        group.cut(one, i);
        group.cut(i, one);
      }
      starts[one] = 0;
      for (std::size_t i = 0; i < starts.size(); ++i)
        starts[i] %= 4;
    });
}

TEST_CASE("Return_OneMemberIsNotHeard") {
  // The other members defer to it, since it receives their messages, but they
  // never receive its messages.
  for (const std::size_t size : {3, 5})
    checkReturns(size, 200, [](auto &group, auto &starts) {
      const auto one = group.pick(starts.size());
      for (std::size_t i = 0; i < starts.size(); ++i)
        group.mute(one, i);
      for (auto &it : starts)
        it %= 4;
    });
}

TEST_CASE("Return_OneMemberHearsNobody") {
  for (const std::size_t size : {3, 5})
    checkReturns(size, 200, [](auto &group, auto &starts) {
      const auto one = group.pick(starts.size());
      for (std::size_t i = 0; i < starts.size(); ++i)
        group.mute(i, one);
      for (auto &it : starts)
        it %= 4;
    });
}

TEST_CASE("Return_SlowDisksAndFarHallsStillElect") {
  // Ten times slower than one region: a vote takes longer than the first pause
  // between elections, and still counts.
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    auto timing = regionTiming();
    timing.LeastDelay = milliseconds(10);
    timing.MostDelay = milliseconds(40);
    timing.LeastSync = milliseconds(10);
    timing.MostSync = milliseconds(150);
    SimulatedGroup group(3, 3, 3, seed, timing);
    group.run(milliseconds(2500));
    killAllAtWork(group);
    const auto times = awaitReturn(group, drawStarts(group));
    CHECK(group.fault() == "");
    CHECK(times.ToLeader <= milliseconds(2000));
  }
}
