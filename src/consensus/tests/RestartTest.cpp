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
  timing.MinDelay = milliseconds(1);
  timing.MaxDelay = milliseconds(4);
  timing.MinSync = milliseconds(1);
  timing.MaxSync = milliseconds(5);
  timing.HasConnections = true;
  return timing;
}

/// Maximum time without a leader that callers tolerate once a majority runs.
constexpr Duration MaxLeaderWait = milliseconds(150);
/// Time over which the members of a group restart.
constexpr std::int64_t StartSpreadMs = 300;
/// Time limit of a measurement.
constexpr Duration MeasurementLimit = milliseconds(3000);

/// Times from the moment at which a majority runs.
struct RecoveryTimes {
  Duration ToLeader = MeasurementLimit;
  /// To a majority of members with an up-to-date state.
  Duration ToFresh = MeasurementLimit;
};

/// Kills all members of a group under load. Some had entries in flight, so
/// their logs differ.
void killAllUnderLoad(SimulatedGroup &group) {
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
RecoveryTimes measureRecovery(SimulatedGroup &group,
                              const std::vector<std::int64_t> &starts) {
  const std::size_t majority = group.size() / 2 + 1;
  auto sorted = starts;
  std::sort(sorted.begin(), sorted.end());
  const Duration from = milliseconds(sorted[majority - 1]);
  const TimePoint begin = group.now();
  RecoveryTimes times;
  while (group.now() - begin < from + MeasurementLimit) {
    for (std::size_t i = 0; i < starts.size(); ++i)
      if (group.now() - begin >= milliseconds(starts[i]) && starts[i] >= 0)
        group.start(i);
    group.run(milliseconds(1));
    const Duration elapsed = group.now() - begin - from;
    if (group.leader())
      times.ToLeader = std::min(times.ToLeader, elapsed);
    if (group.freshCount() >= majority)
      times.ToFresh = std::min(times.ToFresh, elapsed);
  }
  return times;
}

std::vector<std::int64_t> drawStarts(SimulatedGroup &group) {
  std::vector<std::int64_t> starts;
  for (std::size_t i = 0; i < group.size(); ++i)
    starts.push_back(static_cast<std::int64_t>(group.pick(StartSpreadMs)));
  return starts;
}

struct Percentiles {
  std::int64_t Median = 0;
  std::int64_t P95 = 0;
  std::int64_t Max = 0;
};

Percentiles percentilesOf(std::vector<Duration> times) {
  std::sort(times.begin(), times.end());
  const auto at = [&](std::size_t percent) {
    return static_cast<std::int64_t>(
        toMilliseconds(times[(times.size() - 1) * percent / 100]));
  };
  return {at(50), at(95), at(100)};
}

/// Restarts groups of \p size, modified by \p modify before they start.
template <typename Modify>
void checkRecovery(std::size_t size, std::uint64_t seeds, Modify modify) {
  std::vector<Duration> toLeader;
  std::vector<Duration> toFresh;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    CAPTURE(seed);
    SimulatedGroup group(size, size, static_cast<int>(size), seed,
                         regionTiming());
    killAllUnderLoad(group);
    auto starts = drawStarts(group);
    modify(group, starts);
    const auto times = measureRecovery(group, starts);
    CHECK(group.violation() == "");
    toLeader.push_back(times.ToLeader);
    toFresh.push_back(times.ToFresh);
  }
  const auto leader = percentilesOf(toLeader);
  const auto fresh = percentilesOf(toFresh);
  MESSAGE("members ", size, ": leads after ", leader.Median,
          " ms (95 %: ", leader.P95, ", max ", leader.Max,
          "), a majority is fresh after ", fresh.Median,
          " ms (95 %: ", fresh.P95, ", max ", fresh.Max, ")");
  CHECK(leader.Median < toMilliseconds(MaxLeaderWait) / 2);
  CHECK(leader.P95 <= toMilliseconds(MaxLeaderWait));
  CHECK(fresh.P95 <= toMilliseconds(MaxLeaderWait));
  CHECK(leader.Max < toMilliseconds(MeasurementLimit));
}

} // namespace

TEST_CASE("Restart_GroupElectsALeaderOnceAMajorityRuns") {
  for (const std::size_t size : {3, 5})
    checkRecovery(size, 250, [](auto &, auto &) {});
}

TEST_CASE("Restart_MembersThatStartTogetherDoNotCollide") {
  for (const std::size_t size : {3, 5})
    checkRecovery(size, 250, [](auto &, auto &starts) {
      for (auto &it : starts)
        it %= 4;
    });
}

TEST_CASE("Restart_OneMemberStartsMuchLater") {
  for (const std::size_t size : {3, 5})
    checkRecovery(size, 100, [](auto &group, auto &starts) {
      starts[group.pick(starts.size())] = 2500;
    });
}

TEST_CASE("Restart_OneMemberWasWiped") {
  // It gets a new number and is no voter before the group has a leader, so only
  // the other members can vote.
  for (const std::size_t size : {3, 5})
    checkRecovery(size, 100, [](auto &group, auto &starts) {
      const auto member = group.pick(starts.size());
      group.wipe(member);
      // The other members form the majority.
      starts[member] = StartSpreadMs + 100;
    });
}

TEST_CASE("Restart_OneLinkIsDown") {
  for (const std::size_t size : {3, 5})
    checkRecovery(size, 200, [](auto &group, auto &starts) {
      const auto one = group.pick(starts.size());
      const auto other = (one + 1) % starts.size();
      group.blockLink(one, other);
      group.blockLink(other, one);
      // If one link of the majority is down, it may need a member that starts
      // later.
      for (auto &it : starts)
        it %= 4;
    });
}

TEST_CASE("Restart_OneMemberIsIsolated") {
  for (const std::size_t size : {3, 5})
    checkRecovery(size, 100, [](auto &group, auto &starts) {
      const auto one = group.pick(starts.size());
      for (std::size_t i = 0; i < starts.size(); ++i) {
        group.blockLink(one, i);
        group.blockLink(i, one);
      }
      starts[one] = 0;
      for (std::size_t i = 0; i < starts.size(); ++i)
        starts[i] %= 4;
    });
}

TEST_CASE("Restart_MessagesFromOneMemberAreLost") {
  // The other members defer to it, since it receives their messages, but they
  // never receive its messages.
  for (const std::size_t size : {3, 5})
    checkRecovery(size, 200, [](auto &group, auto &starts) {
      const auto one = group.pick(starts.size());
      for (std::size_t i = 0; i < starts.size(); ++i)
        group.dropMessages(one, i);
      for (auto &it : starts)
        it %= 4;
    });
}

TEST_CASE("Restart_MessagesToOneMemberAreLost") {
  for (const std::size_t size : {3, 5})
    checkRecovery(size, 200, [](auto &group, auto &starts) {
      const auto one = group.pick(starts.size());
      for (std::size_t i = 0; i < starts.size(); ++i)
        group.dropMessages(i, one);
      for (auto &it : starts)
        it %= 4;
    });
}

TEST_CASE("Restart_SlowDisksAndFarHallsStillElect") {
  // Ten times slower than one region: a vote takes longer than the first pause
  // between elections, and still counts.
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    auto timing = regionTiming();
    timing.MinDelay = milliseconds(10);
    timing.MaxDelay = milliseconds(40);
    timing.MinSync = milliseconds(10);
    timing.MaxSync = milliseconds(150);
    SimulatedGroup group(3, 3, 3, seed, timing);
    group.run(milliseconds(2500));
    killAllUnderLoad(group);
    const auto times = measureRecovery(group, drawStarts(group));
    CHECK(group.violation() == "");
    CHECK(times.ToLeader <= milliseconds(2000));
  }
}
