// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file After a loss of power of all VMs an entry VM serves as soon as the
/// control group could lead.

#include "control/tests/RouteListDocument.h"
#include "entry/tests/NarrowFleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace stepledge;
using control::tests::routeListDocument;
using entry::tests::NarrowFleet;

namespace {

/// What callers can bear with no VM that serves, once all could.
constexpr Duration ReadyLimit = milliseconds(150);
constexpr std::size_t Restarts = 40;
constexpr std::uint64_t NewestVersion = 3;

} // namespace

TEST_CASE("EntryReturn_VmServesOnceTheGroupCouldLead") {
  NarrowFleet fleet;
  for (std::uint64_t version = 1; version <= NewestVersion; ++version)
    fleet.put(version, routeListDocument(version, 24));
  std::vector<Duration> times;
  for (std::size_t i = 0; i < Restarts; ++i) {
    fleet.restartAll();
    times.push_back(fleet.runUntilReady(milliseconds(4000)));
    CHECK(fleet.heldVersion() == NewestVersion);
    fleet.run(milliseconds(500));
  }
  std::sort(times.begin(), times.end());
  INFO("ms to serve, median and most: ", toMilliseconds(times[Restarts / 2]),
       " ", toMilliseconds(times.back()));
  CHECK(times[Restarts * 95 / 100] <= ReadyLimit);
  CHECK(times[Restarts / 2] <= ReadyLimit / 2);
}
