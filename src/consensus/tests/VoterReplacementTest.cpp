// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Machines that are replaced without a word, during a partition, or
/// beside an older program.

#include "consensus/tests/VoterChanges.h"

#include <string>

using namespace stepledge;
using namespace stepledge::consensus::tests;

namespace {

/// Replaces a follower as planned, and cuts the group in two at \p step: the
/// leader and the successor on one side. Returns the violation, if any.
std::string violationAfterCut(std::uint64_t seed, int step, bool hasOlder) {
  auto group = stableGroup(4, seed);
  const auto leader = *group.leader();
  const auto leaving = followers(group).front();
  const auto other = followers(group).back();
  constexpr std::size_t Successor = 3;
  if (hasOlder)
    group.setOlderProgram(other);
  // The leader hears of it before the change.
  group.run(milliseconds(300));
  group.leave(leaving);
  group.run(milliseconds(1) * step);
  for (const std::size_t one : {leader, Successor})
    for (const std::size_t two : {leaving, other}) {
      group.blockLink(one, two);
      group.blockLink(two, one);
    }
  for (int i = 0; i < 10; ++i) {
    group.propose();
    group.run(milliseconds(300));
  }
  group.heal();
  group.run(milliseconds(3000));
  return group.violation();
}

/// Empty machines at addresses of their own.
constexpr std::size_t Successors[] = {3, 4};

/// \p lost goes for good; orders come all the time.
void replace(SimulatedGroup &group, std::size_t lost, std::size_t successor) {
  group.wipe(lost);
  group.run(milliseconds(1500));
  group.start(successor);
  for (int i = 0; i < 80; ++i) {
    group.propose();
    group.run(milliseconds(100));
  }
}

/// A voter from the beginning other than \p gone, the leader if it is one.
std::size_t originalVoter(const SimulatedGroup &group, std::size_t gone) {
  const std::size_t leader = *group.leader();
  if (leader < Successors[0])
    return leader;
  return gone == 0 ? 1 : 0;
}

} // namespace

TEST_CASE("VoterChange_SilentMachineIsReplacedOnceItsTimeIsOver") {
  // It went without a word; until it is replaced no other disk may be lost.
  constexpr Duration ReplacementTime = milliseconds(3500);
  for (std::uint64_t seed = 1; seed <= 3; ++seed)
    for (const bool leaderGoes : {false, true}) {
      CAPTURE(leaderGoes);
      CHECK(countStuckSteps(
                4, seed,
                [&](auto &group) {
                  group.kill(leaderGoes ? *group.leader()
                                        : followers(group).front());
                  group.run(ReplacementTime + milliseconds(1500) * leaderGoes);
                },
                [](auto &group) {
                  REQUIRE(group.leader());
                  loseDisk(group, followers(group).back());
                }) == 0);
    }
}

TEST_CASE("VoterChange_CutInTwoAtAnyStepLosesNothing") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed)
    for (int step = 0; step < 300; step += 10) {
      CAPTURE(seed);
      CAPTURE(step);
      CHECK(violationAfterCut(seed, step, false) == "");
    }
}

TEST_CASE("VoterChange_CutInTwoBesideAnOlderProgramLosesNothing") {
  // The old voters alone elected it while the new ones had another leader.
  for (std::uint64_t seed = 1; seed <= 20; ++seed)
    for (int step = 0; step < 300; step += 10) {
      CAPTURE(seed);
      CAPTURE(step);
      CHECK(violationAfterCut(seed, step, true) == "");
    }
}

TEST_CASE("VoterChange_BesideAnOlderProgramLosesNothing") {
  // An older program reads a joint entry as the old voters alone.
  for (std::uint64_t seed = 1; seed <= 3; ++seed)
    for (const std::size_t older : {0, 1, 2}) {
      CAPTURE(seed);
      CAPTURE(older);
      for (int step = 0; step < ChangeSteps; ++step) {
        CAPTURE(step);
        auto group = stableGroup(4, seed);
        group.setOlderProgram(older);
        loseDisk(group, 2);
        group.run(StepTime * step);
        const auto leader = group.leader().value_or(0);
        for (std::size_t i = 0; i < group.size(); ++i) {
          group.blockLink(leader, i);
          group.blockLink(i, leader);
        }
        for (int i = 0; i < 10; ++i) {
          group.propose();
          group.run(milliseconds(300));
        }
        group.heal();
        CHECK(commitsAgain(group));
        CHECK(group.violation() == "");
      }
    }
}

TEST_CASE("VoterChange_TwoReplacedThenADiskLostWithAllPowerLosesNothing") {
  for (std::uint64_t seed = 1; seed <= 2; ++seed)
    for (const bool leaderFirst : {false, true})
      for (int step = 0; step < ChangeSteps; ++step) {
        CAPTURE(seed);
        CAPTURE(leaderFirst);
        CAPTURE(step);
        SimulatedGroup group(5, 3, 3, seed);
        for (const auto it : Successors)
          group.wipe(it);
        group.run(milliseconds(4000));
        const auto first =
            leaderFirst ? *group.leader() : followers(group).front();
        replace(group, first, Successors[0]);
        const auto second = originalVoter(group, first);
        replace(group, second, Successors[1]);
        // An order is under way.
        group.propose();
        group.run(StepTime * step);
        const std::size_t lasting = 0 + 1 + 2 - first - second;
        group.wipe(lasting);
        for (const auto it : Successors)
          group.kill(it);
        group.run(milliseconds(800));
        for (const auto it : {lasting, Successors[0], Successors[1]}) {
          group.start(it);
          group.run(StepTime * static_cast<int>(group.pick(30)));
        }
        CHECK(commitsAgain(group));
        CHECK(group.violation() == "");
      }
}
