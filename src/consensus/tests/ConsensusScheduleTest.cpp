// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Seeded schedules of kills, network partitions, wiped and stalled
/// disks: no entry is lost or applied twice, no read is stale, and the group
/// recovers.

#include "consensus/tests/SimulatedGroup.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <string>

using namespace stepledge;
using consensus::tests::SimulatedGroup;
using consensus::tests::SimulatedTiming;

namespace {

/// Bytes per second of the narrowest links between VMs.
constexpr double NarrowRate = 250e3;

/// Returns the value of the environment \p variable: STEPLEDGE_SEEDS is the
/// number of seeds, STEPLEDGE_FIRST_SEED the first one.
std::uint64_t numberFrom(const char *variable, std::uint64_t fallback) {
  const char *text = std::getenv(variable);
  return text ? std::strtoull(text, nullptr, 10) : fallback;
}

struct Shape {
  std::size_t Members;
  std::size_t Bootstrapped;
  int Target;
  /// Number of disks that may be lost at once.
  std::size_t MaxLosses;
};

/// Injects or repairs one random fault.
void injectFault(SimulatedGroup &group, const Shape &shape) {
  const std::size_t member = group.pick(group.size());
  const std::size_t other = group.pick(group.size());
  std::size_t down = 0;
  for (std::size_t i = 0; i < group.size(); ++i)
    down += !group.isRunning(i);
  switch (group.pick(9)) {
  case 0:
    if (down < shape.MaxLosses)
      group.kill(member);
    break;
  case 1:
    group.blockLink(member, other);
    break;
  case 2:
    group.blockLink(member, other);
    group.blockLink(other, member);
    break;
  case 3:
    group.heal();
    break;
  case 4:
    group.stallDisk(member, milliseconds(900));
    break;
  case 5:
    group.setLoss(0.1);
    break;
  case 6:
    group.setLoss(0.0);
    break;
  default:
    for (std::size_t i = 0; i < group.size(); ++i)
      group.start(i);
    break;
  }
}

/// Starts and connects all members, and checks that a new entry commits in
/// time.
void recoverAndCheck(SimulatedGroup &group, Duration limit) {
  group.heal();
  group.setLoss(0.0);
  for (std::size_t i = 0; i < group.size(); ++i)
    group.start(i);
  group.run(limit);
  const auto before = group.committed();
  group.propose();
  group.run(milliseconds(500));
  CHECK_MESSAGE(group.committed() > before,
                "no entry commits after the recovery");
}

/// Limits the bandwidth of half of the links; small messages bypass them.
void limitSomeLinks(SimulatedGroup &group) {
  for (std::size_t from = 0; from < group.size(); ++from)
    for (std::size_t to = 0; to < group.size(); ++to)
      if (group.pick(2) == 0)
        group.limitBandwidth(from, to, NarrowRate, true);
}

/// Runs one seeded schedule. Entries and snapshots have up to \p maxBytes;
/// large ones are delayed on narrow links.
void runSchedule(std::uint64_t seed, const Shape &shape,
                 std::size_t maxBytes = 0, const SimulatedTiming &timing = {}) {
  CAPTURE(seed);
  CAPTURE(shape.Members);
  SimulatedGroup group(shape.Members, shape.Bootstrapped, shape.Target, seed,
                       timing);
  if (maxBytes > 0) {
    limitSomeLinks(group);
    group.setStateBytes(maxBytes);
  }
  group.run(milliseconds(2500));
  for (int round = 0; round < 25; ++round) {
    injectFault(group, shape);
    for (int i = 0; i < 3; ++i) {
      group.propose(maxBytes > 0 ? group.pick(maxBytes) : 0);
      group.read();
      group.run(milliseconds(150));
    }
    // A disk is lost while all other members are healthy, which the group must
    // survive.
    if (round % 8 == 7) {
      recoverAndCheck(group, milliseconds(6000));
      group.wipe(group.pick(group.size()));
      group.run(milliseconds(300));
      recoverAndCheck(group, milliseconds(6000));
    }
  }
  recoverAndCheck(group, milliseconds(5000));
  CHECK(group.violation() == "");
}

/// All members lose power and restart after a second. No member reaches another
/// one before \p unreachable has passed; then the group has \p time to elect a
/// leader.
bool electsLeaderAfterPowerLoss(std::uint64_t seed, Duration unreachable,
                                Duration time) {
  SimulatedGroup group(3, 3, 3, seed);
  group.run(milliseconds(2500));
  group.propose();
  group.run(milliseconds(300));
  for (std::size_t i = 0; i < 3; ++i)
    group.kill(i);
  group.run(milliseconds(1000));
  for (std::size_t i = 0; i < 9; ++i)
    group.blockLink(i / 3, i % 3);
  for (std::size_t i = 0; i < 3; ++i)
    group.start(i);
  group.run(unreachable);
  group.heal();
  group.run(time);
  CHECK(group.violation() == "");
  return group.leader().has_value();
}

} // namespace

TEST_CASE("Consensus_SchedulesLoseNothing") {
  const Shape shapes[] = {{3, 3, 3, 1}, {4, 3, 3, 1}, {6, 3, 5, 2}};
  const std::uint64_t first = numberFrom("STEPLEDGE_FIRST_SEED", 1);
  const std::uint64_t count = numberFrom("STEPLEDGE_SEEDS", 60);
  for (std::uint64_t seed = first; seed < first + count; ++seed)
    for (const auto &it : shapes)
      runSchedule(seed, it);
}

TEST_CASE("Consensus_SchedulesWithConnectionsLoseNothing") {
  const Shape shapes[] = {{3, 3, 3, 1}, {4, 3, 3, 1}, {6, 3, 5, 2}};
  SimulatedTiming timing;
  timing.HasConnections = true;
  const std::uint64_t first = numberFrom("STEPLEDGE_FIRST_SEED", 1);
  const std::uint64_t count = numberFrom("STEPLEDGE_SEEDS", 60);
  for (std::uint64_t seed = first; seed < first + count; ++seed)
    for (const auto &it : shapes)
      runSchedule(seed, it, 0, timing);
}

TEST_CASE("Consensus_OvertakenLargeEntriesLoseNothing") {
  const Shape shapes[] = {{3, 3, 3, 1}, {4, 3, 3, 1}, {6, 3, 5, 2}};
  constexpr std::size_t MaxBytes = 40 << 10;
  const std::uint64_t first = numberFrom("STEPLEDGE_FIRST_SEED", 1);
  const std::uint64_t count = numberFrom("STEPLEDGE_SEEDS", 20);
  for (std::uint64_t seed = first; seed < first + count; ++seed)
    for (const auto &it : shapes)
      runSchedule(seed, it, MaxBytes);
}

TEST_CASE("Consensus_SeedsThatFailed") {
  // 2214: the member with the newer term had the shorter log; neither member
  // could win a pre-vote, since a refused pre-vote didn't report the newer
  // term.
  runSchedule(2214, {3, 3, 3, 1});
}

TEST_CASE("Consensus_WipedMemberIsReplacedByItself") {
  SimulatedGroup group(3, 3, 3, 7);
  group.run(milliseconds(2500));
  group.propose();
  group.run(milliseconds(500));
  group.wipe(2);
  group.run(milliseconds(500));
  group.start(2);
  group.run(milliseconds(2500));
  REQUIRE(group.leader());
  const auto &voters = group.voters(*group.leader());
  CHECK(voters.voters_size() == 3);
  for (const auto &it : voters.voters())
    CHECK(it.number() != 1002);
}

TEST_CASE("Consensus_WipedMemberAndPowerLossOfAll") {
  SimulatedGroup group(3, 3, 3, 11);
  group.run(milliseconds(2500));
  for (int i = 0; i < 30; ++i) {
    group.propose();
    group.run(milliseconds(60));
  }
  group.wipe(2);
  group.run(milliseconds(1000));
  group.start(2);
  group.run(milliseconds(5000));
  for (std::size_t i = 0; i < 3; ++i)
    group.kill(i);
  recoverAndCheck(group, milliseconds(4000));
  CHECK(group.violation() == "");
}

TEST_CASE("Consensus_GroupElectsALeaderSoonAfterPowerLoss") {
  int leaderCount = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed)
    leaderCount += electsLeaderAfterPowerLoss(seed, {}, milliseconds(300));
  INFO("of 40: ", leaderCount);
  CHECK(leaderCount >= 34);
}

TEST_CASE("Consensus_PreVoteThatReachedNoVoterIsRetriedSoon") {
  int leaderCount = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed)
    leaderCount +=
        electsLeaderAfterPowerLoss(seed, milliseconds(250), milliseconds(300));
  INFO("of 40: ", leaderCount);
  CHECK(leaderCount >= 34);
}
