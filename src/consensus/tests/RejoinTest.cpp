// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Members that return to a group whose log or voters changed without
/// them.

#include "consensus/tests/SimulatedGroup.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace stepledge;
using namespace stepledge::consensus;
using consensus::tests::SimulatedGroup;

namespace {

constexpr std::size_t Members = 5;

/// Isolates the member until it has been replaced, and reconnects it.
void replaceIsolated(SimulatedGroup &group, std::size_t member) {
  for (std::size_t i = 0; i < Members; ++i) {
    if (i == member)
      continue;
    group.blockLink(member, i);
    group.blockLink(i, member);
  }
  group.propose();
  group.run(milliseconds(6000));
  group.heal();
}

/// Returns a voter that isn't the leader.
std::size_t follower(SimulatedGroup &group) {
  const auto voters = group.voters(*group.leader());
  const auto it = std::find_if(
      voters.voters().begin(), voters.voters().end(), [&](const auto &voter) {
        return voter.ip() != "10.0.0." + std::to_string(*group.leader() + 1);
      });
  return static_cast<std::size_t>(it->ip().back() - '1');
}

wire::Member memberOf(std::uint64_t number) {
  wire::Member member;
  member.set_number(number);
  member.set_ip("10.0.0." + std::to_string(number));
  return member;
}

} // namespace

TEST_CASE("Consensus_VoterReplacedWhileUnreachableRejoinsAsSpare") {
  // A voter that had been isolated for six seconds, and replaced by a spare
  // meanwhile, never received an entry again, even after a restart: its own log
  // still listed it as a voter, so it didn't ask to join, and its pre-votes
  // were ignored. After two such isolations the group had no spare left, and
  // two more losses left it without a leader.
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    CAPTURE(seed);
    SimulatedGroup group(Members, 3, 3, seed);
    group.run(milliseconds(4000));
    for (int round = 0; round < 3; ++round) {
      REQUIRE(group.leader());
      const std::size_t member = follower(group);
      replaceIsolated(group, member);
      group.run(milliseconds(5000));
      group.propose();
      group.run(milliseconds(1000));
      CHECK(group.appliedIndex(member) == group.appliedIndex(*group.leader()));
    }
    CHECK(group.violation() == "");
  }
}

TEST_CASE("Consensus_SnapshotDropsATailOfAnotherTerm") {
  DurableState state;
  state.Term = 2;
  for (std::uint64_t i = 1; i <= 3; ++i)
    *state.Snapshot.mutable_membership()->add_voters() = memberOf(i);
  for (std::uint64_t i = 1; i <= 10; ++i) {
    wire::Entry entry;
    entry.set_index(i);
    entry.set_term(2);
    state.Entries.push_back(entry);
  }
  const TimePoint now(std::chrono::seconds(1));
  wire::Message message;
  message.set_from(2);
  message.set_to(1);
  message.set_term(3);
  auto &snapshot = *message.mutable_snapshot_request()->mutable_snapshot();
  *snapshot.mutable_membership() = state.Snapshot.membership();
  snapshot.set_index(5);
  // The same entry as in the member's log, and another one.
  for (const auto &[term, kept] : {std::pair(2, 5), std::pair(3, 0)}) {
    ConsensusNode node(memberOf(1), {}, state, 1, now);
    snapshot.set_term(static_cast<std::uint64_t>(term));
    node.receive(now, message);
    const auto records = node.allRecords();
    CHECK(std::count_if(records.begin(), records.end(),
                        [](const auto &it) { return it.has_entry(); }) == kept);
  }
}
