// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A group elects a leader although its disks take longer than an
/// election timeout to store a vote.

#include "consensus/tests/SimulatedGroup.h"

#include <doctest/doctest.h>

using namespace stepledge;
using consensus::tests::SimulatedGroup;
using consensus::tests::SimulatedTiming;

namespace {

/// The soak's time limit for service after a start.
constexpr Duration ServiceLimit = milliseconds(30000);
constexpr std::uint64_t Seeds = 20;

SimulatedTiming slowDisks() {
  SimulatedTiming timing;
  timing.MinSync = milliseconds(500);
  timing.MaxSync = milliseconds(1000);
  timing.HasConnections = true;
  return timing;
}

} // namespace

TEST_CASE("SlowDisk_GroupCommitsAfterAStart") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    SimulatedGroup group(3, 3, 3, seed, slowDisks());
    const TimePoint end = group.now() + ServiceLimit;
    while (group.committed() == 0 && group.now() < end) {
      group.propose();
      group.run(milliseconds(1000));
    }
    INFO("seed ", seed);
    CHECK(group.committed() > 0);
    CHECK(group.violation() == "");
  }
}
