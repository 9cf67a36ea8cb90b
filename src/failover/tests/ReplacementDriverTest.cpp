// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

// When a primary is replaced, by which VM, and by which instance.

#include "failover/ReplacementDriver.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::failover;
using routing::InstanceRole;

namespace {

const InstanceId One("one");
const InstanceId Two("two");
const InstanceId Three("three");
const VmId Peer("peer");

TimePoint at(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

struct Fixture {
  routing::GroupView View{{One, Two, Three}};
  DriverSettings Settings;
  ReplacementDriver Driver{Settings, TermAllotment(7)};

  Fixture() {
    observe(One, InstanceRole::Primary, 1, 50, 0);
    observe(Two, InstanceRole::Replica, 1, 50, 0);
    observe(Three, InstanceRole::Replica, 1, 49, 0);
  }

  void observe(const InstanceId &instance, InstanceRole role,
               std::uint64_t term, std::uint64_t position, std::int64_t ms,
               std::vector<routing::TermStart> history = {{Term{1}, {0}}}) {
    routing::Observation out;
    out.Role = role;
    out.Promised = Term{term};
    out.LogTerm = history.back().Began;
    out.Durable = out.Applied = LogPosition{position};
    out.History = std::move(history);
    View.observe(instance, out, at(ms), at(ms));
  }

  void observeReplicas(std::int64_t ms) {
    observe(Two, InstanceRole::Replica, 1, 50, ms);
    observe(Three, InstanceRole::Replica, 1, 49, ms);
  }

  std::vector<ReplacementOrder> tick(std::int64_t ms) {
    return Driver.tick(View, at(ms));
  }

  /// Runs the driver until the other halls have agreed.
  void suspectPrimary() {
    observeReplicas(400);
    tick(400);
    Driver.receivePeerReport(Peer, Term{1}, true);
  }
};

using Orders = std::vector<ReplacementOrder>;

} // namespace

TEST_CASE("TermAllotment_NoTwoVmsShareATerm") {
  const TermAllotment seven(7);
  const TermAllotment eight(8);
  CHECK(seven.after(Term{1}) == Term{7});
  CHECK(eight.after(Term{1}) == Term{8});
  CHECK(seven.after(Term{7}) == Term{4096 + 7});
  CHECK(seven.after(Term{8}) == Term{4096 + 7});
  CHECK(seven.owns(seven.after(eight.after(Term{99999}))));
  CHECK_FALSE(TermAllotment(0).canIssue());
}

TEST_CASE("ReplacementDriver_KeepsAnAnsweringPrimary") {
  Fixture fixture;
  CHECK(fixture.tick(200).empty());
  CHECK(fixture.Driver.stage() == ReplacementStage::Watching);
}

TEST_CASE("ReplacementDriver_AsksOtherHallsFirst") {
  Fixture fixture;
  fixture.observeReplicas(400);
  CHECK(fixture.tick(400) == Orders{AskPeers{Term{1}}});
  CHECK(fixture.tick(410).empty());
  fixture.Driver.receivePeerReport(Peer, Term{1}, true);
  fixture.tick(420);
  CHECK(fixture.Driver.stage() == ReplacementStage::Fencing);
}

TEST_CASE("ReplacementDriver_WaitsIfOneHallReachesThePrimary") {
  Fixture fixture;
  fixture.observeReplicas(400);
  fixture.tick(400);
  fixture.Driver.receivePeerReport(Peer, Term{1}, true);
  fixture.Driver.receivePeerReport(VmId("other"), Term{1}, false);
  CHECK(fixture.tick(420).empty());
  CHECK(fixture.Driver.stage() == ReplacementStage::Asking);
}

TEST_CASE("ReplacementDriver_DoesNothingWithoutAReachableMajority") {
  Fixture fixture;
  fixture.observe(Two, InstanceRole::Replica, 1, 50, 400);
  CHECK(fixture.tick(400).empty());
}

TEST_CASE("ReplacementDriver_VmWithoutNumberNeverReplaces") {
  Fixture fixture;
  ReplacementDriver driver(DriverSettings{}, TermAllotment(0));
  fixture.observeReplicas(400);
  CHECK(driver.tick(fixture.View, at(400)).empty());
}

TEST_CASE("ReplacementDriver_FencesAMajorityThenPromotesTheFurthest") {
  Fixture fixture;
  fixture.suspectPrimary();
  fixture.tick(410);
  CHECK(fixture.tick(411) == Orders{FenceInstance{One, Term{7}},
                                    FenceInstance{Three, Term{7}},
                                    FenceInstance{Two, Term{7}}});
  fixture.observe(Three, InstanceRole::Fenced, 7, 49, 415);
  fixture.tick(416);
  CHECK(fixture.Driver.stage() == ReplacementStage::Fencing);
  fixture.observe(Two, InstanceRole::Fenced, 7, 50, 417);
  CHECK(fixture.tick(418) == Orders{PromoteInstance{Two, Term{7}}});
  fixture.observe(Two, InstanceRole::Primary, 7, 51, 420,
                  {{Term{1}, {0}}, {Term{7}, {50}}});
  CHECK(fixture.tick(421) == Orders{FollowPrimary{One, Two, Term{7}},
                                    FollowPrimary{Three, Two, Term{7}}});
  CHECK(fixture.Driver.stage() == ReplacementStage::Watching);
}

TEST_CASE("ReplacementDriver_PrefersHigherTermOverPosition") {
  // A longer log of an older term is a lost branch.
  Fixture fixture;
  fixture.observe(One, InstanceRole::Primary, 3, 30, 100,
                  {{Term{1}, {0}}, {Term{3}, {20}}});
  fixture.observe(Two, InstanceRole::Replica, 3, 30, 400,
                  {{Term{1}, {0}}, {Term{3}, {20}}});
  fixture.observe(Three, InstanceRole::Replica, 3, 99, 400);
  fixture.tick(400);
  fixture.Driver.receivePeerReport(Peer, Term{3}, true);
  fixture.tick(401);
  fixture.observe(Three, InstanceRole::Fenced, 7, 99, 410);
  fixture.observe(Two, InstanceRole::Fenced, 7, 30, 410,
                  {{Term{1}, {0}}, {Term{3}, {20}}});
  CHECK(fixture.tick(411) == Orders{PromoteInstance{Two, Term{7}}});
}

TEST_CASE("ReplacementDriver_YieldsToAHigherTerm") {
  Fixture fixture;
  fixture.suspectPrimary();
  fixture.tick(410);
  fixture.observe(Two, InstanceRole::Fenced, 8, 50, 415);
  CHECK(fixture.tick(416).empty());
  CHECK(fixture.Driver.stage() == ReplacementStage::Watching);
}

TEST_CASE("ReplacementDriver_ContinuesAfterAFailedVm") {
  // VM 9 fenced a majority and failed before it promoted an instance.
  Fixture fixture;
  fixture.observe(Two, InstanceRole::Fenced, 9, 50, 400);
  fixture.observe(Three, InstanceRole::Fenced, 9, 49, 400);
  fixture.tick(400);
  fixture.Driver.receivePeerReport(Peer, Term{1}, true);
  fixture.tick(401);
  const auto orders = fixture.tick(402);
  REQUIRE_FALSE(orders.empty());
  CHECK(std::get<FenceInstance>(orders.back()).Next == Term{4096 + 7});
}

TEST_CASE("ReplacementDriver_OldPrimaryIsOrderedToFollow") {
  Fixture fixture;
  const std::vector<routing::TermStart> history = {{Term{1}, {0}},
                                                   {Term{7}, {50}}};
  fixture.observe(Two, InstanceRole::Primary, 7, 51, 900, history);
  fixture.observe(Three, InstanceRole::Replica, 7, 51, 900, history);
  fixture.observe(One, InstanceRole::Primary, 1, 55, 900);
  CHECK(fixture.tick(910) == Orders{FollowPrimary{One, Two, Term{7}}});
}

TEST_CASE("ReplacementDriver_StrandedInstanceIsBroughtBack") {
  Fixture fixture;
  for (std::int64_t ms = 100; ms <= 4000; ms += 100) {
    fixture.observe(One, InstanceRole::Primary, 1, 50, ms);
    fixture.observe(Two, InstanceRole::Replica, 1, 50, ms);
    fixture.observe(Three, InstanceRole::Fenced, 9, 50, ms);
    fixture.tick(ms);
  }
  CHECK(fixture.Driver.stage() == ReplacementStage::Fencing);
}

TEST_CASE("ReplacementDriver_LeavingPrimaryIsReplacedByAStayingInstance") {
  Fixture fixture;
  fixture.View.setLeaving(One, true, at(0));
  const auto observe = [&](std::int64_t ms) {
    fixture.observe(One, InstanceRole::Primary, 1, 50, ms);
    fixture.observeReplicas(ms);
  };
  observe(1600);
  fixture.tick(1600);
  CHECK(fixture.Driver.stage() == ReplacementStage::Watching);
  observe(1700);
  fixture.tick(1700);
  // The leaving instance is not fenced: the others are a majority.
  CHECK(fixture.tick(1701) ==
        Orders{FenceInstance{Three, Term{7}}, FenceInstance{Two, Term{7}}});
  fixture.observe(Two, InstanceRole::Fenced, 7, 50, 1705);
  fixture.observe(Three, InstanceRole::Fenced, 7, 49, 1705);
  CHECK(fixture.tick(1706) == Orders{PromoteInstance{Two, Term{7}}});
}

TEST_CASE("ReplacementDriver_LeavingPrimaryIsKeptWithoutACandidate") {
  Fixture fixture;
  fixture.View.setLeaving(One, true, at(0));
  fixture.View.setLeaving(Two, true, at(0));
  fixture.observe(One, InstanceRole::Primary, 1, 50, 1700);
  fixture.observeReplicas(1700);
  CHECK(fixture.tick(1700).empty());
}
