// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A voter that goes for good without a word while its successor has
/// caught up, and the loss of another disk after it.

#include "consensus/tests/VoterChanges.h"

#include <string>

using namespace stepledge;
using namespace stepledge::consensus::tests;

namespace {

/// From here on a lost disk must be borne: what a follower is suspected after,
/// a heartbeat, and two commits.
constexpr int FollowerWindowMs = 1250;
/// The longest election timeout, two rounds of votes, and two commits.
constexpr int LeaderWindowMs = 1500;
/// As long as the change took when it waited for long silence alone.
constexpr int WatchedMs = 5000;

/// Whether the group never commits again if a voter goes and \p ms later the
/// disk of another one is lost.
bool isStuckAfter(std::uint64_t seed, bool leaderGoes, int ms) {
  auto group = stableGroup(4, seed);
  const auto other = followers(group).back();
  group.setStep(milliseconds(1));
  group.kill(leaderGoes ? *group.leader() : followers(group).front());
  group.run(milliseconds(ms));
  group.setStep(StepTime);
  loseDisk(group, other);
  return !commitsAgain(group);
}

/// The ms from \p from to \p to, \p step apart, at which it is stuck.
std::string stuckAt(bool leaderGoes, int from, int to, int step) {
  std::string found;
  for (std::uint64_t seed = 1; seed <= 3; ++seed)
    for (int ms = from; ms < to; ms += step)
      if (isStuckAfter(seed, leaderGoes, ms))
        found += std::to_string(ms) + " ";
  return found;
}

} // namespace

TEST_CASE("RemovedVoter_FollowerThenAnotherDiskLeavesAMajority") {
  CHECK(stuckAt(false, FollowerWindowMs, FollowerWindowMs + 100, 1) == "");
  CHECK(stuckAt(false, FollowerWindowMs, WatchedMs, 50) == "");
}

TEST_CASE("RemovedVoter_LeaderThenAnotherDiskLeavesAMajority") {
  CHECK(stuckAt(true, LeaderWindowMs, LeaderWindowMs + 100, 1) == "");
  CHECK(stuckAt(true, LeaderWindowMs, WatchedMs, 50) == "");
}
