// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Tests for resends: an unanswered message is more often delayed than
/// lost, so a slow link carries few copies, and heartbeats continue beside
/// them.

#include "consensus/tests/SimulatedGroup.h"

#include <doctest/doctest.h>

using namespace stepledge;
using consensus::tests::SimulatedGroup;

namespace {

/// Bytes per second of the narrowest links between VMs.
constexpr double NarrowRate = 250e3;
constexpr std::size_t EntryBytes = 200 << 10;
constexpr std::size_t StateBytes = 800 << 10;
/// Upper bound for all messages without entries or state during a test.
constexpr std::size_t SmallMessageBytes = 20 << 10;

struct LeaderLink {
  std::size_t Leader = 0;
  std::size_t Follower = 0;
};

/// Waits for a leader, and returns it with one follower.
LeaderLink awaitLeader(SimulatedGroup &group) {
  group.run(milliseconds(2500));
  group.propose();
  group.run(milliseconds(500));
  REQUIRE(group.leader());
  return {*group.leader(), (*group.leader() + 1) % group.size()};
}

/// Replicates three large entries over a narrow link, and returns the bytes
/// sent.
std::size_t bytesOfThreeEntries(bool hasSmallBypass) {
  SimulatedGroup group(3, 3, 3, 5);
  const auto [leader, follower] = awaitLeader(group);
  group.limitBandwidth(leader, follower, NarrowRate, hasSmallBypass);
  const auto before = group.sentBytes(leader, follower);
  const auto applied = group.appliedIndex(follower);
  for (int i = 0; i < 3; ++i)
    group.propose(EntryBytes);
  group.run(milliseconds(10000));
  CHECK(group.appliedIndex(follower) == applied + 3);
  CHECK(group.leader() == leader);
  CHECK(group.violation() == "");
  return group.sentBytes(leader, follower) - before;
}

} // namespace

TEST_CASE("Resend_SlowLinkCarriesLargeEntriesOnce") {
  CHECK(bytesOfThreeEntries(false) < 3 * EntryBytes + SmallMessageBytes);
  // Replies to heartbeats that overtake an entry don't acknowledge it.
  CHECK(bytesOfThreeEntries(true) < 3 * EntryBytes + SmallMessageBytes);
}

TEST_CASE("Resend_MemberReceivesHeartbeatsDuringALargeSnapshot") {
  SimulatedGroup group(3, 3, 3, 6);
  const auto [leader, follower] = awaitLeader(group);
  group.kill(follower);
  group.setStateBytes(StateBytes);
  for (int i = 0; i < 20; ++i) {
    group.propose();
    group.run(milliseconds(50));
  }
  group.limitBandwidth(leader, follower, NarrowRate, true);
  const auto before = group.sentBytes(leader, follower);
  group.start(follower);
  group.run(milliseconds(400));
  const auto votes = group.votesAsked(follower);
  group.run(milliseconds(8000));
  CHECK(group.votesAsked(follower) == votes);
  CHECK(group.appliedIndex(follower) == group.appliedIndex(leader));
  CHECK(group.sentBytes(leader, follower) - before <
        StateBytes + SmallMessageBytes);
  CHECK(group.violation() == "");
}

TEST_CASE("Resend_IntervalGrowsForASilentMember") {
  SimulatedGroup group(3, 3, 3, 7);
  const auto [leader, follower] = awaitLeader(group);
  group.blockLink(leader, follower);
  // By then the replies to earlier heartbeats have arrived.
  group.run(milliseconds(100));
  const auto before = group.sentBytes(leader, follower);
  group.propose(EntryBytes);
  group.run(milliseconds(12000));
  const auto sent = group.sentBytes(leader, follower) - before;
  // The leader still sends one occasionally, since the member may be reachable
  // again.
  CHECK(sent < 8 * EntryBytes);
  CHECK(sent > 3 * EntryBytes);
  group.heal();
  group.run(milliseconds(4500));
  CHECK(group.appliedIndex(follower) == group.appliedIndex(leader));
  CHECK(group.violation() == "");
}

TEST_CASE("Resend_LostConnectionCausesAnImmediateResend") {
  SimulatedGroup group(3, 3, 3, 8);
  const auto [leader, follower] = awaitLeader(group);
  group.limitBandwidth(leader, follower, NarrowRate, true);
  const auto before = group.sentBytes(leader, follower);
  group.propose(EntryBytes);
  group.run(milliseconds(300));
  group.breakConnection(follower, leader);
  const auto sent = group.sentBytes(leader, follower) - before;
  CHECK(sent > 2 * EntryBytes);
  // The resend takes 0.8 s on the link, and no other follows it.
  group.run(milliseconds(1000));
  CHECK(group.appliedIndex(follower) == group.appliedIndex(leader));
  CHECK(group.sentBytes(leader, follower) - before <
        2 * EntryBytes + SmallMessageBytes);
  group.breakConnection(follower, leader);
  group.run(milliseconds(100));
  CHECK(group.sentBytes(leader, follower) - before <
        2 * EntryBytes + SmallMessageBytes);
  CHECK(group.violation() == "");
}

TEST_CASE("Resend_ReplyResetsTheInterval") {
  SimulatedGroup group(3, 3, 3, 9);
  const LeaderLink link = awaitLeader(group);
  const auto copiesIn = [&](Duration time) {
    const auto before = group.sentBytes(link.Leader, link.Follower);
    group.propose(EntryBytes);
    group.run(time);
    return (group.sentBytes(link.Leader, link.Follower) - before) / EntryBytes;
  };
  for (int round = 0; round < 2; ++round) {
    group.blockLink(link.Leader, link.Follower);
    group.run(milliseconds(100));
    // The first send, the resend 2.0 s later, and the next one 2.4 s after
    // that.
    CHECK(copiesIn(milliseconds(1900)) == 1);
    group.run(milliseconds(300));
    CHECK(copiesIn(milliseconds(1900)) == 0);
    group.heal();
    group.run(milliseconds(5000));
    CHECK(group.appliedIndex(link.Follower) == group.appliedIndex(link.Leader));
  }
  CHECK(group.violation() == "");
}
