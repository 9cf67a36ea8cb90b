// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A second loss at each step of a change of voters: the group commits
/// again, as long as no more machines are lost than it may lose.

#include "consensus/tests/VoterChanges.h"

using namespace stepledge;
using namespace stepledge::consensus::tests;

namespace {

/// Wipes \p lost while \p leaving may still be a voter, and ends \p leaving
/// once it may end.
void endOnceReplaced(SimulatedGroup &group, std::size_t leaving,
                     std::size_t lost) {
  group.wipe(lost);
  bool isOver = false;
  for (int i = 0; i < ChangeSteps; ++i) {
    if (i * StepTime >= DownTime)
      group.start(lost);
    isOver = isOver || group.canEnd(leaving);
    if (isOver)
      group.kill(leaving);
    group.run(StepTime);
  }
  group.kill(leaving);
}

} // namespace

TEST_CASE("VoterChange_MachineWipedAgainAtAnyStepLeavesAMajority") {
  // Until the old number was removed, two of four voters were this machine.
  for (std::uint64_t seed = 1; seed <= 3; ++seed)
    CHECK(countStuckSteps(
              3, seed, [](auto &group) { loseDisk(group, 2); },
              [](auto &group) { loseDisk(group, 2); }) == 0);
}

TEST_CASE("VoterChange_WipedLeaderWipedAgainAtAnyStepLeavesAMajority") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    std::size_t lost = 0;
    CHECK(countStuckSteps(
              3, seed,
              [&](auto &group) {
                lost = *group.leader();
                loseDisk(group, lost);
              },
              [&](auto &group) { loseDisk(group, lost); }) == 0);
  }
}

TEST_CASE("VoterChange_PlannedReplacementAndALossAtAnyStepLeaveAMajority") {
  // The successor of a stopped machine waited until that one was silent.
  for (std::uint64_t seed = 1; seed <= 3; ++seed)
    for (const bool leaderLeaves : {false, true}) {
      CAPTURE(leaderLeaves);
      std::size_t leaving = 0;
      std::size_t other = 0;
      CHECK(countStuckSteps(
                4, seed,
                [&](auto &group) {
                  leaving =
                      leaderLeaves ? *group.leader() : followers(group).front();
                  other = followers(group).back();
                  group.leave(leaving);
                },
                [&](auto &group) { endOnceReplaced(group, leaving, other); }) ==
            0);
    }
}

TEST_CASE("VoterChange_LossRightAfterTheReplacedVoterEndedLeavesAMajority") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed)
    for (const std::size_t pick : {0, 1, 2}) {
      auto group = stableGroup(4, seed);
      const auto leaving = followers(group).front();
      const auto leader = *group.leader();
      const std::size_t lost[] = {followers(group).back(), leader, 3};
      group.leave(leaving);
      for (int i = 0; i < ChangeSteps && !group.canEnd(leaving); ++i)
        group.run(StepTime);
      REQUIRE(group.canEnd(leaving));
      group.kill(leaving);
      loseDisk(group, lost[pick]);
      CHECK(commitsAgain(group));
    }
}

TEST_CASE("VoterChange_WithoutASpareALeavingVoterIsToldAtOnce") {
  for (const bool leaderLeaves : {false, true}) {
    auto group = stableGroup(3, 1);
    const auto leaving =
        leaderLeaves ? *group.leader() : followers(group).front();
    group.leave(leaving);
    group.run(milliseconds(200));
    CHECK(group.canEnd(leaving));
    CHECK(group.voters(leaving).voters_size() == 3);
  }
}

TEST_CASE("VoterChange_LeaderCutOffAtAnyStepLeavesAMajority") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed)
    CHECK(countStuckSteps(
              3, seed, [](auto &group) { loseDisk(group, 2); },
              [](auto &group) {
                const auto leader = group.leader().value_or(0);
                for (std::size_t i = 0; i < group.size(); ++i) {
                  group.blockLink(leader, i);
                  group.blockLink(i, leader);
                }
                group.run(milliseconds(3000));
                group.heal();
              }) == 0);
}

TEST_CASE("VoterChange_PowerLossOfAllAtAnyStepLeavesAMajority") {
  // Each disk may hold another part of the change.
  for (std::uint64_t seed = 1; seed <= 3; ++seed)
    CHECK(countStuckSteps(
              3, seed, [](auto &group) { loseDisk(group, 2); },
              [](auto &group) {
                for (std::size_t i = 0; i < group.size(); ++i)
                  group.kill(i);
                group.run(DownTime);
                for (std::size_t i = 0; i < group.size(); ++i)
                  group.start(i);
              }) == 0);
}

TEST_CASE("VoterChange_DiskLostWhileTheRestLosesPowerLeavesAMajority") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed)
    CHECK(countStuckSteps(
              3, seed, [](auto &group) { loseDisk(group, 2); },
              [](auto &group) {
                group.wipe(2);
                group.kill(0);
                group.kill(1);
                group.run(DownTime);
                for (std::size_t i = 0; i < group.size(); ++i)
                  group.start(i);
              }) == 0);
}

TEST_CASE("VoterChange_TwoMachinesOfFiveWipedInTurnLeaveAMajority") {
  // Each is lost before the other's change has ended.
  for (std::uint64_t seed = 1; seed <= 2; ++seed)
    for (int step = 0; step < ChangeSteps; step += 3) {
      SimulatedGroup group(5, 3, 5, seed);
      group.run(milliseconds(5000));
      REQUIRE(group.leader());
      REQUIRE(group.voters(*group.leader()).voters_size() == 5);
      for (int i = 0; i < 6; ++i) {
        group.wipe(static_cast<std::size_t>(3 + i % 2));
        group.run(StepTime * step);
        group.start(static_cast<std::size_t>(3 + i % 2));
      }
      CHECK(commitsAgain(group));
    }
}

TEST_CASE("VoterChange_HealthTellsALostMajority") {
  auto group = stableGroup(3, 1);
  CHECK(group.health(0).HasMajority);
  loseDisk(group, 1);
  loseDisk(group, 2);
  group.run(milliseconds(3000));
  CHECK_FALSE(group.health(0).HasMajority);
  CHECK(group.health(0).wipedCount() == 2);
}
