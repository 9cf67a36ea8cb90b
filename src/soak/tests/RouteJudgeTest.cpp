// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The judge of routes names a VM that is late, and only that.

#include "soak/RouteJudge.h"

#include <doctest/doctest.h>

using namespace stepledge::soak;
using namespace std::chrono_literals;

namespace {

constexpr RouteJudge::Clock::time_point Start{100s};

/// Looks without success, every \p step; how many faults.
int faultsOf(RouteJudge &judge, RouteJudge::Clock::time_point &now, int looks,
             std::chrono::milliseconds step) {
  int n = 0;
  for (int i = 0; i < looks; ++i) {
    now += step;
    n += judge.looked(now, false).has_value();
  }
  return n;
}

} // namespace

TEST_CASE("RouteJudge_MissingRouteIsAFaultAfterFourSeconds") {
  RouteJudge judge("entry-3");
  auto now = Start;
  CHECK(judge.wanted(400) == 400);
  CHECK(faultsOf(judge, now, 81, 50ms) == 0);
  CHECK(faultsOf(judge, now, 1, 50ms) == 1);
}

TEST_CASE("RouteJudge_LaterChangesDontHideALateOne") {
  RouteJudge judge("entry-3");
  auto now = Start;
  CHECK(judge.wanted(400) == 400);
  CHECK(faultsOf(judge, now, 60, 50ms) == 0);
  CHECK(judge.wanted(900) == 400);
  CHECK(faultsOf(judge, now, 60, 50ms) == 1);
  CHECK_FALSE(judge.looked(now, true));
  CHECK(judge.served() == 400);
  CHECK(judge.wanted(900) == 900);
}

TEST_CASE("RouteJudge_HarmBeginsTheBoundAnew") {
  RouteJudge judge("entry-3");
  auto now = Start;
  judge.wanted(400);
  CHECK(faultsOf(judge, now, 60, 50ms) == 0);
  judge.harmed(now);
  CHECK(judge.wanted(900) == 900);
  CHECK(faultsOf(judge, now, 60, 50ms) == 0);
}

TEST_CASE("RouteJudge_MachineThatIsHeldUpIsNoFault") {
  RouteJudge judge("entry-3");
  auto now = Start;
  judge.wanted(400);
  CHECK(faultsOf(judge, now, 3, 10s) == 0);
}

TEST_CASE("RouteJudge_ExistingRouteRefusedForASecondIsAFault") {
  RouteJudge judge("entry-3");
  int n = judge.usedExisting(Start, true, "").has_value();
  for (int i = 1; i <= 20; ++i)
    n += judge.usedExisting(Start + i * 50ms, false, "ERROR BUSY").has_value();
  CHECK(n == 0);
  CHECK(judge.usedExisting(Start + 1050ms, false, "ERROR BUSY"));
}

TEST_CASE("RouteJudge_ExistingRouteIsUsedBeforeItsRefusalsCount") {
  RouteJudge judge("entry-3");
  CHECK_FALSE(judge.usedExisting(Start, true, ""));
  judge.othersHarmed(Start);
  int n = 0;
  for (int i = 1; i < 100; ++i)
    n += judge.usedExisting(Start + i * 50ms, false, "ERROR BUSY").has_value();
  CHECK(n == 0);
}

TEST_CASE("RouteJudge_ExistingRouteRefusedNowAndThenIsNone") {
  RouteJudge judge("entry-3");
  int n = 0;
  for (int i = 0; i < 100; ++i)
    n += judge.usedExisting(Start + i * 50ms, i % 5 == 0, "ERROR BUSY")
             .has_value();
  CHECK(n == 0);
}
