// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

// Ages, majorities and terms in the view of one process.

#include "routing/GroupView.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::routing;

namespace {

const InstanceId One("one");
const InstanceId Two("two");
const InstanceId Three("three");

TimePoint at(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

Mark mark(std::uint64_t term, std::uint64_t position) {
  return {Term{term}, LogPosition{position}};
}

Observation makeObservation(InstanceRole role, std::uint64_t term,
                            std::uint64_t position,
                            std::vector<TermStart> history = {{Term{1}, {0}}}) {
  Observation out;
  out.Role = role;
  out.Promised = Term{term};
  out.LogTerm = history.back().Began;
  out.Durable = out.Applied = LogPosition{position};
  out.History = std::move(history);
  return out;
}

const std::vector<TermStart> TwoTerms = {{Term{1}, {0}}, {Term{2}, {10}}};

GroupView threeInstances() { return GroupView({One, Two, Three}); }

} // namespace

TEST_CASE("GroupView_AgeCountsFromTheQueryNotTheAnswer") {
  auto view = threeInstances();
  view.observe(Two, makeObservation(InstanceRole::Replica, 1, 5), at(100),
               at(110));
  view.observe(One, makeObservation(InstanceRole::Primary, 1, 5), at(100),
               at(150));
  CHECK(view.ageOf(mark(1, 5), at(160)) == milliseconds(60));
}

TEST_CASE("GroupView_AgeOfALaggingReplica") {
  auto view = threeInstances();
  view.observe(One, makeObservation(InstanceRole::Primary, 1, 5), at(100),
               at(101));
  view.observe(One, makeObservation(InstanceRole::Primary, 1, 9), at(200),
               at(201));
  view.observe(Two, makeObservation(InstanceRole::Replica, 1, 6), at(200),
               at(201));
  CHECK(view.ageOf(mark(1, 6), at(210)) == milliseconds(110));
  CHECK(view.ageOf(mark(1, 9), at(210)) == milliseconds(10));
  CHECK_FALSE(view.ageOf(mark(1, 4), at(210)).has_value());
}

TEST_CASE("GroupView_AgeGrowsForAReplacedPrimaryInAPartitionedHall") {
  // Only the old primary answers; no majority confirms that it still is one.
  auto view = threeInstances();
  view.observe(Two, makeObservation(InstanceRole::Replica, 1, 5), at(100),
               at(101));
  view.observe(One, makeObservation(InstanceRole::Primary, 1, 5), at(100),
               at(101));
  view.observe(One, makeObservation(InstanceRole::Primary, 1, 5), at(5000),
               at(5001));
  CHECK(view.ageOf(mark(1, 5), at(5000)) == milliseconds(4900));
}

TEST_CASE("GroupView_LostBranchHasNoAge") {
  auto view = threeInstances();
  view.observe(One, makeObservation(InstanceRole::Primary, 1, 12), at(100),
               at(101));
  view.observe(Two, makeObservation(InstanceRole::Primary, 2, 11, TwoTerms),
               at(200), at(201));
  view.observe(Three, makeObservation(InstanceRole::Replica, 2, 11, TwoTerms),
               at(200), at(201));
  CHECK_FALSE(view.ageOf(mark(1, 12), at(210)).has_value());
  CHECK(view.ageOf(mark(2, 11), at(210)) == milliseconds(10));
}

TEST_CASE("GroupView_PrimaryIsOfTheHighestTerm") {
  auto view = threeInstances();
  view.observe(One, makeObservation(InstanceRole::Primary, 1, 12), at(100),
               at(101));
  CHECK(view.primary() == One);
  view.observe(Two, makeObservation(InstanceRole::Primary, 2, 11, TwoTerms),
               at(90), at(102));
  CHECK(view.primary() == Two);
}

TEST_CASE("GroupView_NoPrimaryOnceAMajorityPromisedAHigherTerm") {
  auto view = threeInstances();
  view.observe(One, makeObservation(InstanceRole::Primary, 1, 12), at(100),
               at(101));
  view.observe(Two, makeObservation(InstanceRole::Fenced, 2, 12), at(100),
               at(101));
  CHECK(view.primary() == One);
  view.observe(Three, makeObservation(InstanceRole::Fenced, 2, 11), at(100),
               at(101));
  CHECK_FALSE(view.primary().has_value());
}

TEST_CASE("GroupView_MajorityCountsOnlyInstancesOfOneTerm") {
  auto view = threeInstances();
  view.observe(One, makeObservation(InstanceRole::Primary, 1, 12), at(100),
               at(101));
  CHECK_FALSE(view.isHeldByMajority(mark(1, 12)));
  view.observe(Two, makeObservation(InstanceRole::Fenced, 2, 12), at(100),
               at(101));
  CHECK_FALSE(view.isHeldByMajority(mark(1, 12)));
  view.observe(Three, makeObservation(InstanceRole::Replica, 1, 12), at(100),
               at(101));
  CHECK(view.isHeldByMajority(mark(1, 12)));
  CHECK_FALSE(view.isHeldByMajority(mark(1, 13)));
}

TEST_CASE("GroupView_LogOfAnOlderTermDoesNotCount") {
  // The log of a replica that promised term 2 but still ends in term 1 may be
  // truncated later.
  auto view = threeInstances();
  view.observe(One, makeObservation(InstanceRole::Primary, 2, 11, TwoTerms),
               at(100), at(101));
  auto old = makeObservation(InstanceRole::Replica, 2, 99);
  view.observe(Two, old, at(100), at(101));
  CHECK_FALSE(view.isHeldByMajority(mark(2, 11)));
}

TEST_CASE("GroupView_OutOfOrderAnswersAreIgnored") {
  auto view = threeInstances();
  view.observe(Two, makeObservation(InstanceRole::Replica, 1, 9), at(200),
               at(210));
  view.observe(Two, makeObservation(InstanceRole::Replica, 1, 5), at(100),
               at(220));
  CHECK(view.of(Two).Last.Applied == LogPosition{9});
}

TEST_CASE("GroupView_OrphanedTermIsRemoved") {
  // Term 2 began at 10 on instance One alone and was lost with it; term 3 began
  // at 12 on a log without term 2.
  auto view = threeInstances();
  view.observe(One, makeObservation(InstanceRole::Primary, 2, 11, TwoTerms),
               at(100), at(101));
  CHECK(view.history().includes(mark(2, 11), mark(1, 12)) ==
        session::Inclusion::Lost);
  CHECK_FALSE(view.isDiscarded(mark(1, 12)));
  const std::vector<TermStart> third = {{Term{1}, {0}}, {Term{3}, {12}}};
  view.observe(Two, makeObservation(InstanceRole::Primary, 3, 13, third),
               at(200), at(201));
  view.observe(Three, makeObservation(InstanceRole::Replica, 3, 13, third),
               at(200), at(201));
  CHECK(view.history().includes(mark(3, 13), mark(1, 12)) ==
        session::Inclusion::Included);
  CHECK(view.isHeldByMajority(mark(1, 12)));
}

TEST_CASE("GroupView_DiscardedOnlyOnceAMajorityHoldsTheNewTerm") {
  auto view = threeInstances();
  view.observe(Two, makeObservation(InstanceRole::Primary, 2, 11, TwoTerms),
               at(100), at(101));
  CHECK_FALSE(view.isDiscarded(mark(1, 12)));
  view.observe(Three, makeObservation(InstanceRole::Replica, 2, 11, TwoTerms),
               at(110), at(111));
  CHECK(view.isDiscarded(mark(1, 12)));
  CHECK_FALSE(view.isDiscarded(mark(1, 10)));
}
