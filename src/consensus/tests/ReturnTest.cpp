// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A group of which all members were killed leads again as soon as a
/// majority of them runs, whatever the order in which they come back.

#include "consensus/tests/SimulatedGroup.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <vector>

using namespace stepledge;
using consensus::tests::SimulatedGroup;
using consensus::tests::SimulatedTiming;

namespace {

/// Members of one region, with disks as VMs have.
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

/// What callers can bear without a leader once a majority could have one.
constexpr Duration LeadLimit = milliseconds(150);
/// Over which the members of a group come back.
constexpr std::int64_t StartSpreadMs = 300;
/// After that nothing is waited for any more.
constexpr Duration Hopeless = milliseconds(3000);

/// The times from when a majority runs.
struct Return {
  Duration ToLeader = Hopeless;
  /// To a majority that knows that its state is the newest.
  Duration ToFresh = Hopeless;
};

/// A group in the middle of its work, of which all members are then killed.
/// Some had entries on their way, so that logs differ.
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

/// \p starts holds the times of the members that come back.
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

/// Brings back groups of \p size, prepared by \p change before they start.
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
  // Its number is another one, and it is no voter before the group leads, so
  // the others are all that can.
  for (const std::size_t size : {3, 5})
    checkReturns(size, 100, [](auto &group, auto &starts) {
      const auto member = group.pick(starts.size());
      group.wipe(member);
      // The majority is counted by the others.
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
      // A majority that lacks one link may need a member that comes later.
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
  // It hears the others, and has them give way, but they never get its word.
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
  // Ten times slower than a region: a vote takes longer than the first pause
  // between elections, and is counted all the same.
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
