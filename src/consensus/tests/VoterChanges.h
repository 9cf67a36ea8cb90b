// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Parts of tests that lose machines during a change of voters.

#ifndef STEPLEDGE_CONSENSUS_TESTS_VOTERCHANGES_H
#define STEPLEDGE_CONSENSUS_TESTS_VOTERCHANGES_H

#include "consensus/tests/SimulatedGroup.h"

#include <doctest/doctest.h>

#include <functional>
#include <vector>

namespace stepledge::consensus::tests {

/// Covers a join, the catch-up and the whole change of voters.
inline constexpr int ChangeSteps = 120;
inline constexpr Duration StepTime = milliseconds(10);
/// Time from the loss of a disk to the start with an empty one.
inline constexpr Duration DownTime = milliseconds(300);
/// Time in which the group commits again after the last loss.
inline constexpr Duration RecoveryTime = milliseconds(12000);

/// A running group of \p size members, three of them voters, that has
/// committed an entry.
inline SimulatedGroup stableGroup(std::size_t size, std::uint64_t seed) {
  SimulatedGroup group(size, 3, 3, seed);
  group.run(milliseconds(4000));
  group.propose();
  group.run(milliseconds(500));
  REQUIRE(group.leader());
  return group;
}

inline void loseDisk(SimulatedGroup &group, std::size_t member) {
  group.wipe(member);
  group.run(DownTime);
  group.start(member);
}

/// Returns the voters that don't lead.
inline std::vector<std::size_t> followers(const SimulatedGroup &group) {
  std::vector<std::size_t> members;
  for (const auto &it : group.voters(*group.leader()).voters()) {
    const auto member = static_cast<std::size_t>(it.ip().back() - '1');
    if (member != *group.leader())
      members.push_back(member);
  }
  return members;
}

inline bool commitsAgain(SimulatedGroup &group) {
  group.run(RecoveryTime);
  const auto before = group.committed();
  group.propose();
  group.run(milliseconds(1000));
  return group.committed() > before && group.violation().empty();
}

/// Counts the steps after \p begin at which \p disturb leaves the group without
/// a majority for good.
inline int
countStuckSteps(std::size_t size, std::uint64_t seed,
                const std::function<void(SimulatedGroup &)> &begin,
                const std::function<void(SimulatedGroup &)> &disturb) {
  int stuck = 0;
  for (int step = 0; step < ChangeSteps; ++step) {
    auto group = stableGroup(size, seed);
    begin(group);
    group.run(StepTime * step);
    disturb(group);
    stuck += !commitsAgain(group);
  }
  return stuck;
}

} // namespace stepledge::consensus::tests

#endif // STEPLEDGE_CONSENSUS_TESTS_VOTERCHANGES_H
