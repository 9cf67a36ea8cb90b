// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What one VM answers, and what quotas refuse and cost when nothing is
/// wrong.

#include "quota/tests/SimulatedQuotas.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::quota;
using namespace stepledge::quota::tests;

TEST_CASE("QuotaLedger_WithoutALimitEverythingIsGranted") {
  SimulatedQuotas it(1, 3, 4, 0, 0);
  it.play(milliseconds(2000), 500);
  CHECK(it.granted() == it.asked());
  CHECK(it.messages() == 0);
}

TEST_CASE("QuotaLedger_BelowTheLimitHardlyAnythingIsRefused") {
  // The use is 1 / 1.6 of the rate, as operators set it.
  for (const double rate : {2.0, 10.0, 60.0, 300.0}) {
    CAPTURE(rate);
    SimulatedQuotas it(2, 3, 8, rate, rate);
    it.play(milliseconds(3000), 0);
    it.play(milliseconds(20000), rate / 1.6);
    CHECK(it.refused() <= it.asked() / 100);
  }
}

TEST_CASE("QuotaLedger_OneVmWithAThirdOfTheUseIsHardlyRefused") {
  for (const double rate : {10.0, 60.0, 300.0}) {
    CAPTURE(rate);
    SimulatedQuotas it(3, 3, 8, rate, rate);
    it.play(milliseconds(3000), 0);
    it.play(milliseconds(20000), rate / 1.6, 1.0 / 3);
    CHECK(it.refused() <= it.asked() / 50);
  }
}

TEST_CASE("QuotaLedger_AllUseInOneHallBorrowsFromTheOthers") {
  SimulatedQuotas it(4, 3, 4, 120, 120);
  it.play(milliseconds(3000), 0);
  it.play(milliseconds(20000), 75, 1.0);
  CHECK(it.refused() <= it.asked() / 20);
}

TEST_CASE("QuotaLedger_CutHallGoesOnWithItsPart") {
  SimulatedQuotas it(5, 3, 8, 60, 60);
  it.play(milliseconds(5000), 37);
  const int refused = it.refused();
  const int asked = it.asked();
  it.cutFirstHall(true);
  it.play(milliseconds(6000), 37);
  CHECK(it.refused() - refused <= (it.asked() - asked) / 25);
}

TEST_CASE("QuotaLedger_LowerLimitBindsAtOnce") {
  SimulatedQuotas it(6, 3, 8, 300, 300);
  it.play(milliseconds(5000), 190);
  it.setLimit(20, 20);
  // What was lent before is used up or void after a second.
  it.play(milliseconds(1000), 190);
  const int granted = it.granted();
  it.play(milliseconds(10000), 190);
  CHECK(it.granted() - granted <= 10 * 20 + 20 + 20);
  CHECK(it.granted() - granted >= 10 * 20 * 8 / 10);
}
