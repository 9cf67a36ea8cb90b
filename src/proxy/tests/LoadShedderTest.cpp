// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Shedding of reads at an overloaded primary, and its limits.

#include "proxy/internal/LoadShedder.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::proxy;

namespace {

constexpr TimePoint Start(std::chrono::seconds(10));
constexpr double Overload = 3.0;

/// A shedder whose probe at \p Start is used up.
LoadShedder shedderWithUsedProbe() {
  LoadShedder shedder;
  shedder.notePrimaryNeeded(Start, "db");
  CHECK(!shedder.shouldShed(Start, "db", Overload, false));
  return shedder;
}

} // namespace

TEST_CASE("LoadShedder_ShedsWhileThePrimaryIsNeededAndOverloaded") {
  auto shedder = shedderWithUsedProbe();
  CHECK(shedder.shouldShed(Start, "db", Overload, false));
  CHECK(!shedder.shouldShed(Start, "db", 1.0, false));
  CHECK(!shedder.shouldShed(Start, "other", Overload, false));
}

TEST_CASE("LoadShedder_QueueLowersTheLimit") {
  auto shedder = shedderWithUsedProbe();
  CHECK(!shedder.shouldShed(Start, "db", 1.5, false));
  CHECK(shedder.shouldShed(Start, "db", 1.5, true));
}

TEST_CASE("LoadShedder_DoesNotShedWithoutRecentNeedOfThePrimary") {
  auto shedder = shedderWithUsedProbe();
  CHECK(!shedder.shouldShed(Start + milliseconds(1100), "db", Overload, true));
}

TEST_CASE("LoadShedder_LetsOneProbeThroughInEachInterval") {
  auto shedder = shedderWithUsedProbe();
  int shed = 0;
  for (int i = 1; i <= 100; ++i) {
    const TimePoint now = Start + milliseconds(50) * i;
    shedder.notePrimaryNeeded(now, "db");
    shed += shedder.shouldShed(now, "db", Overload, false);
  }
  // In five seconds with a read every 50 ms, five go through.
  CHECK(shed == 95);
}
