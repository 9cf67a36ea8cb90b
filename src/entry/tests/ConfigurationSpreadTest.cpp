// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Large configurations on their way to an entry VM whose link is narrow.
///
/// What users saw: within a second of a change that added 1,400 routes, a fleet
/// of 70 entry VMs went from full service to almost none for ten seconds; the
/// routes of the next change were unknown five seconds after it had been
/// acknowledged; requests ended without an answer; and after a loss of power
/// with 4,200 routes no VM came back.
///
/// The order of events: the change is acknowledged within 0.12 s. Each entry VM
/// asks for it, 280 KB on a link of 250 KB/s, and asks again each 300 ms until
/// it is whole. Control VMs send it each time. The copies fill the link, so
/// replies of primaries, of lenders and heartbeats come a second late. The VM
/// takes itself for cut off, and refuses and closes sessions. Connections
/// without a whole message for three seconds are dropped, and the document
/// begins anew on the next.
///
/// The evidence: entry VMs were sent 390 KB/s from the second of the change on,
/// 3.6 times the documents' size in all, with 2 % of their processors in use;
/// each asked four to six times for one version; the first one had the document
/// after 1.5 s, the median of the next one came after 6.8 s. With 4,200 routes
/// the connections ended 3.2 s after they were opened, before any document was
/// whole.

#include "control/tests/RouteListDocument.h"
#include "entry/tests/NarrowFleet.h"

#include <doctest/doctest.h>

using namespace stepledge;
using control::tests::routeListDatabase;
using control::tests::routeListDocument;
using entry::tests::NarrowFleet;

namespace {

/// The routes that operators add at once.
constexpr int ManyRoutes = 1400;
/// An acknowledged change is to be in force everywhere within three seconds.
constexpr Duration ApplyLimit = milliseconds(3000);
/// Beside a change, a request may lose this much on its way: a small part of
/// the tightest latency objectives, which are some 150 ms.
constexpr Duration RequestDelayLimit = milliseconds(60);

/// One entry VM that holds \p routes routes.
void begin(NarrowFleet &fleet, int routes) {
  fleet.put(1, routeListDocument(1, routes));
  fleet.startEntry();
  fleet.runUntilHeld(1, milliseconds(20000));
  fleet.run(milliseconds(2000));
  fleet.resetFigures();
}

} // namespace

TEST_CASE("ConfigurationSpread_ManyNewRoutesLeaveRoomOnTheLink") {
  NarrowFleet fleet;
  begin(fleet, 24);
  fleet.put(2, routeListDocument(2, 24 + ManyRoutes));
  fleet.put(3, routeListDocument(3, 24 + ManyRoutes, 900));
  CHECK(fleet.runUntilHeld(3, milliseconds(20000)) <= ApplyLimit);
  fleet.run(milliseconds(6000));
  CHECK(fleet.notReady() == Duration{});
  CHECK(fleet.connectionsLost() == 0);
  CHECK(fleet.slowestRequest() <= RequestDelayLimit);
  // Neither document goes over the link twice.
  CHECK(fleet.bytesReceived() <=
        2 * routeListDocument(3, 24 + ManyRoutes).size());
}

TEST_CASE("ConfigurationSpread_StartingVmGetsManyRoutes") {
  NarrowFleet fleet;
  fleet.put(1, routeListDocument(1, 3 * ManyRoutes));
  fleet.startEntry();
  CHECK(fleet.runUntilHeld(1, milliseconds(20000)) <= ApplyLimit);
  CHECK(fleet.heldVersion() == 1);
  CHECK(fleet.connectionsLost() == 0);
  CHECK(fleet.slowestRequest() <= RequestDelayLimit);
}

TEST_CASE("ConfigurationSpread_QuickChangesToManyRoutesKeepUp") {
  NarrowFleet fleet;
  begin(fleet, 2 * ManyRoutes);
  for (std::uint64_t version = 2; version < 22; ++version) {
    fleet.put(version, routeListDocument(version, 2 * ManyRoutes,
                                         800 + static_cast<int>(version)));
    fleet.run(milliseconds(60));
  }
  CHECK(fleet.runUntilHeld(21, milliseconds(20000)) <= ApplyLimit);
  CHECK(fleet.notReady() == Duration{});
  CHECK(fleet.connectionsLost() == 0);
  CHECK(fleet.slowestRequest() <= RequestDelayLimit);
}

TEST_CASE("ConfigurationSpread_VmHoldsExactlyWhatWasSent") {
  NarrowFleet fleet;
  begin(fleet, 40);
  fleet.put(2, routeListDocument(2, 30, 900));
  fleet.put(3, routeListDocument(3, 60, 950));
  fleet.runUntilHeld(3, ApplyLimit);
  const auto &held = fleet.proxy().configuration();
  CHECK(held.Version == 3);
  CHECK(held.Routes.size() == 60);
  CHECK(held.Routes.at(routeListDatabase(0)).StatementTimeout ==
        milliseconds(950));
  fleet.put(4, routeListDocument(4, 20));
  fleet.runUntilHeld(4, ApplyLimit);
  CHECK(held.Routes.size() == 20);
  CHECK(!held.Routes.contains(routeListDatabase(59)));
}
