// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A statement by a dropped route is a fault after the users' bounds, at
/// VMs in touch.

#include "soak/DroppedRouteJudge.h"

#include <doctest/doctest.h>

using namespace stepledge::soak;
using std::chrono::milliseconds;

namespace {

using Clock = RouteLedger::Clock;

const Clock::time_point Start(std::chrono::hours(1));

Clock::time_point at(int ms) { return Start + milliseconds(ms); }

/// Version 3 drops "a" and adds "c"; it is acknowledged at Start.
struct Dropped {
  Dropped() {
    Ledger.willSend(1, {"a", "b"});
    Ledger.willSend(3, {"b", "c"});
    Ledger.acknowledged(at(-500), 1);
    Ledger.acknowledged(Start, 3);
  }
  RouteLedger Ledger;
  DroppedRouteJudge Judge{"entry", Ledger};
};

} // namespace

TEST_CASE_FIXTURE(Dropped, "DroppedRoute_IsKnownSinceTheAcknowledgement") {
  CHECK(Ledger.droppedAt("a") == Start);
  CHECK_FALSE(Ledger.droppedAt("b"));
  CHECK(Ledger.kept() == std::vector<std::string>{"b", "c"});
  CHECK(Ledger.droppedSince(at(-1)) == std::vector<std::string>{"a"});
  CHECK(Ledger.droppedSince(at(1)).empty());
}

TEST_CASE_FIXTURE(Dropped, "DroppedRoute_MayBeRunUntilTheBound") {
  CHECK_FALSE(Judge.ran({"a", at(3000), 1, false}, {}));
  CHECK(Judge.ran({"a", at(3001), 1, false}, {}));
  CHECK_FALSE(Judge.ran({"b", at(9000), 1, false}, {}));
  CHECK(Judge.latestInTouch() == milliseconds(3001));
}

TEST_CASE_FIXTURE(Dropped, "DroppedRoute_HarmedVmHasFourSecondsMore") {
  CHECK_FALSE(Judge.ran({"a", at(9000), 1, false}, {at(5001), {}, {}}));
  CHECK(Judge.ran({"a", at(9001), 1, false}, {at(5001), {}, {}}));
}

TEST_CASE_FIXTURE(Dropped, "DroppedRoute_ReplacedControlVmExtendsTheBound") {
  const Touch touch{{}, at(14000), {}};
  CHECK_FALSE(Judge.ran({"a", at(15000), 1, false}, touch));
  CHECK(Judge.ran({"a", at(15001), 1, false}, touch));
  const Touch lost{{}, at(14000), at(1)};
  CHECK_FALSE(Judge.ran({"a", at(17999), 1, false}, lost));
}

TEST_CASE_FIXTURE(Dropped, "DroppedRoute_VmGoesBackWithinOneLife") {
  CHECK_FALSE(Judge.ran({"c", at(0), 1, false}, {}));
  CHECK_FALSE(Judge.ran({"a", at(250), 1, false}, {}));
  CHECK_FALSE(Judge.ran({"a", at(260), 1, true}, {}));
  CHECK(Judge.ran({"a", at(251), 1, false}, {}));
  CHECK_FALSE(Judge.ran({"a", at(600), 2, false}, {}));
}
