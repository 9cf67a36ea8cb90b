// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A control VM becomes a voter whichever living control VM its settings
/// name.

#include "control/tests/JoiningControls.h"

#include <doctest/doctest.h>

#include <optional>

using namespace stepledge;
using namespace stepledge::control;
using control::tests::JoiningControls;

namespace {

/// The users' time for a successor to catch up.
constexpr Duration CatchUpTime = milliseconds(4000);

struct Joining {
  Joining() { Group.run(milliseconds(2000)); }

  std::size_t follower(std::size_t n = 0) const {
    for (std::size_t i = 0; i < JoiningControls::FirstVms; ++i)
      if (i != Group.leader() && Group.isVoter(i) && n-- == 0)
        return i;
    return Group.leader();
  }

  /// Until a new VM, whose settings name \p seed, has taken the place of the
  /// lost one; its index.
  std::size_t replace(std::size_t lost, std::size_t seed) {
    constexpr Duration Step = milliseconds(10);
    Group.remove(lost);
    const auto next = Group.add({seed});
    for (Duration took{}; took < CatchUpTime && !Group.isVoter(next);
         took += Step)
      Group.run(Step);
    REQUIRE(Group.isVoter(next));
    return next;
  }

  JoiningControls Group;
};

} // namespace

TEST_CASE_FIXTURE(Joining, "Join_ByAFollowerAlone") {
  const auto lost = follower(0);
  const auto seed = follower(1);
  Group.remove(lost);
  const auto next = Group.add({lost, seed});
  Group.run(CatchUpTime);
  CHECK(Group.isVoter(next));
  CHECK(Group.change(next, 1));
}

TEST_CASE_FIXTURE(Joining, "Join_ByASpareAlone") {
  const auto spare = Group.add({0, 1, 2});
  Group.run(milliseconds(1000));
  REQUIRE_FALSE(Group.isVoter(spare));
  const auto lost = follower();
  const auto next = Group.add({lost, spare});
  Group.run(milliseconds(1000));
  Group.remove(lost);
  Group.run(CatchUpTime);
  Group.remove(follower());
  Group.run(CatchUpTime);
  CHECK(Group.isVoter(spare));
  CHECK(Group.isVoter(next));
}

TEST_CASE_FIXTURE(Joining,
                  "Join_TwoInSeriesThenTheOldestDiskLostWithAllPower") {
  // The second successor's settings name the first three, of which a follower
  // is left.
  const auto lost = follower();
  Group.remove(lost);
  const auto first = Group.add({0, 1, 2});
  Group.run(CatchUpTime);
  Group.remove(Group.leader());
  Group.run(CatchUpTime);
  const auto second = Group.add({0, 1, 2});
  Group.run(CatchUpTime);
  CHECK(Group.isVoter(first));
  CHECK(Group.isVoter(second));
  std::size_t oldest = 0;
  while (oldest == lost || !Group.isVoter(oldest))
    ++oldest;
  REQUIRE(oldest < JoiningControls::FirstVms);
  CHECK(Group.change(first, 1));
  Group.restartAll(oldest);
  Group.run(CatchUpTime);
  CHECK(Group.change(second, 2));
  CHECK(Group.isVoter(oldest));
}

TEST_CASE_FIXTURE(Joining, "Join_WipedVmThatOnlyOthersCall") {
  const auto lost = follower(0);
  const auto wiped = follower(1);
  Group.remove(lost);
  const auto first = Group.add({0, 1, 2});
  Group.run(CatchUpTime);
  REQUIRE(Group.isVoter(first));
  // Its settings name the one that is gone, and itself.
  Group.setSeeds(wiped, {lost, wiped});
  Group.restartAll(wiped);
  Group.run(CatchUpTime);
  CHECK(Group.isVoter(wiped));
}

TEST_CASE_FIXTURE(Joining, "Join_VmWhoseSeedsAreGoneTakesThoseOfNewSettings") {
  const auto lost = follower();
  Group.remove(lost);
  const auto next = Group.add({lost});
  Group.run(CatchUpTime);
  CHECK(Group.node(next).needsSeeds());
  CHECK_FALSE(Group.isVoter(next));
  Group.node(next).setSeeds(Group.now(),
                            {JoiningControls::ipOf(Group.leader())});
  Group.run(CatchUpTime);
  CHECK(Group.isVoter(next));
  CHECK_FALSE(Group.node(next).needsSeeds());
}

TEST_CASE_FIXTURE(Joining, "Join_EntryVmsHearOfANewMemberAtOnce") {
  const auto other = follower(1);
  Group.connectEntry("10.5.0.1", other);
  const auto next = replace(follower(0), other);
  Group.run(milliseconds(100));
  bool isTold = false;
  for (const auto &it : Group.toldMembers(other))
    isTold |= it.contains(JoiningControls::ipOf(next));
  CHECK(isTold);
}

TEST_CASE_FIXTURE(Joining,
                  "Join_NewMemberGivesEntryVmsTimeBeforeItAcknowledges") {
  const auto next = replace(follower(0), follower(1));
  std::optional<bool> answer;
  const auto change = [&](std::uint64_t version) {
    answer.reset();
    Group.node(next).putConfiguration(Group.now(), version, "document",
                                      [&](bool done) { answer = done; });
  };
  change(1);
  Group.run(milliseconds(200));
  CHECK_FALSE(answer);
  Group.run(milliseconds(200));
  CHECK(answer == true);
  Group.run(milliseconds(1000));
  // By now they would have connected to it.
  change(2);
  Group.run(milliseconds(200));
  CHECK(answer == true);
}
