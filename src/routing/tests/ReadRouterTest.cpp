// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

// Which instance answers a read, and the result of the proof afterwards.

#include "routing/ReadRouter.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::routing;

namespace {

const InstanceId One("one");
const InstanceId Two("two");
const InstanceId Three("three");

TimePoint at(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

Mark mark(std::uint64_t position) { return {Term{1}, LogPosition{position}}; }

Observation makeObservation(InstanceRole role, std::uint64_t position) {
  Observation out;
  out.Role = role;
  out.Promised = out.LogTerm = Term{1};
  out.Durable = out.Applied = LogPosition{position};
  out.History = {{Term{1}, {0}}};
  return out;
}

struct Fixture {
  GroupView View{{One, Two, Three}};
  ReadRouter Router{RouterSettings{}};
  Loads Load;
  Random Seeded{7};

  Fixture() {
    for (const auto &it : {One, Two, Three})
      Load[it] = {true, 0, milliseconds(1), milliseconds(1)};
    observeAll(1000, 50, 50, 40);
  }

  void observeAll(std::int64_t ms, std::uint64_t primary, std::uint64_t second,
                  std::uint64_t third) {
    View.observe(Two, makeObservation(InstanceRole::Replica, second), at(ms),
                 at(ms));
    View.observe(Three, makeObservation(InstanceRole::Replica, third), at(ms),
                 at(ms));
    View.observe(One, makeObservation(InstanceRole::Primary, primary), at(ms),
                 at(ms));
  }

  RouteDecision choose(const ReadNeed &need, std::int64_t ms) {
    return Router.choose(need, View, Load, at(ms), Seeded);
  }

  static ReadNeed browse(session::DatabaseMarks marks = {}) {
    return {std::move(marks), milliseconds(500), at(9000), {}};
  }
};

std::string chosenBy(const RouteDecision &decision) {
  const auto *use = std::get_if<UseInstance>(&decision.Choice);
  return use == nullptr ? "" : use->Instance.str();
}

Verdict verdictOn(const RouteDecision &decision, const InstanceId &instance) {
  for (const auto &it : decision.Considered)
    if (it.Instance == instance)
      return it.InstanceVerdict;
  return Verdict::Silent;
}

} // namespace

TEST_CASE("ReadRouter_CurrentReadsGoToThePrimary") {
  Fixture fixture;
  const auto decision = fixture.choose({{}, Duration{0}, at(9000), {}}, 1010);
  CHECK(chosenBy(decision) == "one");
  CHECK(verdictOn(decision, Two) == Verdict::NotPrimary);
}

TEST_CASE("ReadRouter_BrowsingGoesToAReplica") {
  Fixture fixture;
  const auto decision = fixture.choose(Fixture::browse(), 1010);
  CHECK(chosenBy(decision) == "two");
  CHECK(verdictOn(decision, Three) == Verdict::TooOld);
  CHECK(verdictOn(decision, One) == Verdict::Eligible);
}

TEST_CASE("ReadRouter_ReadAfterOwnWriteSkipsALaggingReplica") {
  Fixture fixture;
  fixture.observeAll(1050, 60, 50, 60);
  const auto decision = fixture.choose(Fixture::browse({mark(55)}), 1055);
  CHECK(chosenBy(decision) == "three");
}

TEST_CASE("ReadRouter_WaitsBrieflyForAReplicaToCatchUp") {
  Fixture fixture;
  fixture.observeAll(1050, 60, 50, 40);
  const auto decision = fixture.choose(Fixture::browse({mark(60)}), 1051);
  CHECK(std::holds_alternative<WaitForCatchUp>(decision.Choice));
}

TEST_CASE("ReadRouter_FallsBackToThePrimaryWithoutAnEligibleReplica") {
  Fixture fixture;
  auto need = Fixture::browse();
  need.Tried = {Two, Three};
  CHECK(chosenBy(fixture.choose(need, 1010)) == "one");
}

TEST_CASE("ReadRouter_WaitsForCapacityIfAllAreBusy") {
  Fixture fixture;
  for (auto &[id, load] : fixture.Load)
    load.CanStart = false;
  const auto decision = fixture.choose(Fixture::browse(), 1010);
  CHECK(std::holds_alternative<WaitForCapacity>(decision.Choice));
}

TEST_CASE("ReadRouter_SilentInstancesAreNotChosen") {
  Fixture fixture;
  const auto decision = fixture.choose(Fixture::browse(), 3000);
  const auto *wait = std::get_if<WaitForChange>(&decision.Choice);
  REQUIRE(wait != nullptr);
  CHECK(wait->Why == ResultCode::NoInstanceFreshEnough);
}

TEST_CASE("ReadRouter_EjectsFailingInstancesButNeverAll") {
  Fixture fixture;
  fixture.observeAll(1050, 50, 50, 50);
  for (int n = 0; n < 4; ++n)
    fixture.View.noteFailure(Two);
  CHECK(chosenBy(fixture.choose(Fixture::browse(), 1055)) == "three");
  for (int n = 0; n < 4; ++n)
    fixture.View.noteFailure(Three);
  auto need = Fixture::browse();
  need.Tried = {One};
  CHECK_FALSE(chosenBy(fixture.choose(need, 1055)).empty());
}

TEST_CASE("ReadRouter_LeavingReplicaGetsNoNewWork") {
  Fixture fixture;
  auto leaving = makeObservation(InstanceRole::Replica, 50);
  leaving.Leaving = true;
  fixture.View.observe(Two, leaving, at(1005), at(1006));
  const auto decision = fixture.choose(Fixture::browse(), 1010);
  CHECK(verdictOn(decision, Two) == Verdict::Leaving);
}

TEST_CASE("ReadRouter_ProofChecksTheReturnedPosition") {
  Fixture fixture;
  const auto need = Fixture::browse({mark(50)});
  const auto prove = [&](std::uint64_t position) {
    return fixture.Router.prove(
        need, fixture.View, makeObservation(InstanceRole::Replica, position),
        at(1010));
  };
  CHECK(prove(50) == Proof::Holds);
  CHECK(prove(49) == Proof::Behind);
}

TEST_CASE("ReadRouter_UnconfirmedPrimaryServesNoCurrentRead") {
  Fixture fixture;
  fixture.View.observe(One, makeObservation(InstanceRole::Primary, 50),
                       at(2500), at(2500));
  const auto decision = fixture.choose({{}, Duration{0}, at(9000), {}}, 2510);
  const auto *wait = std::get_if<WaitForChange>(&decision.Choice);
  REQUIRE(wait != nullptr);
  CHECK(wait->Why == ResultCode::PrimaryUnconfirmed);
  CHECK(fixture.Router.prove({{}, Duration{0}, at(9000), {}}, fixture.View,
                             makeObservation(InstanceRole::Primary, 50),
                             at(2510)) == Proof::NotPrimary);
}
