// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What clients get where more of them come than the instance can serve
/// by connections that homes lend.

#include "entry/tests/TightFleet.h"

#include <doctest/doctest.h>

using namespace stepledge;
using entry::tests::FleetSize;
using entry::tests::Served;
using entry::tests::TightFleet;

namespace {

constexpr Duration Settling = std::chrono::seconds(2);
constexpr Duration Measured = std::chrono::seconds(5);
/// Six homes and seven guests, so that most borrow.
constexpr FleetSize FortyVms{40, 53};

Served played(std::uint64_t seed, double load, double transactions = 0) {
  TightFleet it(seed, FortyVms, transactions);
  constexpr double BeforeLoad = 0.5;
  it.run(Settling, BeforeLoad);
  it.run(Settling, load);
  it.run(Measured, load);
  return it.all();
}

} // namespace

TEST_CASE("RefusingEarly_AsManyAreServedInTimeUnderOverload") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    const auto full = played(seed, 1.0);
    const auto over = played(seed, 1.5);
    INFO("in time ", full.OnTime, " and ", over.OnTime, ", refused ",
         full.Refused, " and ", over.Refused);
    CHECK(over.OnTime >= 0.9 * full.OnTime);
    // What never began is told as not run, not as in doubt.
    CHECK(full.Other == 0);
    CHECK(over.Other == 0);
  }
}

TEST_CASE("RefusingEarly_ClientsThatRestInTransactionsDontMakeOthersLate") {
  // They hold the connections, and the slots are idle.
  constexpr double Transactions = 0.2;
  const auto full = played(1, 1.0, Transactions);
  const auto over = played(1, 1.5, Transactions);
  INFO("in time ", full.OnTime, " and ", over.OnTime, ", refused ",
       full.Refused, " and ", over.Refused);
  CHECK(over.OnTime >= 0.9 * full.OnTime);
  CHECK(full.Other == 0);
  CHECK(over.Other == 0);
}

TEST_CASE("RefusingEarly_NobodyIsRefusedWhereThereIsRoom") {
  const auto it = played(1, 0.5);
  CHECK(it.Refused == 0);
  CHECK(it.Late == 0);
  CHECK(it.Other == 0);
}

// Clients between two statements of their transactions hold the few connections
// of a fleet at rest; a home that took that for a full line refused the others.
TEST_CASE("RefusingEarly_FleetAtRestServesBesideShortTransactions") {
  constexpr FleetSize FewConnections{20, 20};
  constexpr double Transactions = 0.5;
  constexpr double Load = 0.2;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    CAPTURE(seed);
    TightFleet it(seed, FewConnections, Transactions);
    it.run(Settling, Load);
    it.run(Measured, Load);
    const auto served = it.all();
    INFO("asked ", served.Asked, ", in time ", served.OnTime, ", refused ",
         served.Refused, ", at once ", served.RefusedAtOnce);
    CHECK(served.RefusedAtOnce == 0);
    CHECK(served.OnTime >= 0.98 * served.Asked);
    CHECK(served.Other == 0);
  }
}

TEST_CASE("RefusingEarly_ToldWaitsSpareTheLenders") {
  // The other way: each lender refuses by its own expected wait alone, and
  // borrowers hear no more than that it has no room, as from older VMs.
  TightFleet told(1, FortyVms);
  TightFleet untold(1, FortyVms);
  untold.setTells(false);
  for (auto *it : {&told, &untold}) {
    it->run(Settling, 1.5);
    it->run(Measured, 1.5);
  }
  INFO("in time ", told.all().OnTime, " and ", untold.all().OnTime,
       ", lenders' refusals ", told.lendRefusals(), " and ",
       untold.lendRefusals());
  CHECK(told.lendRefusals() < untold.lendRefusals());
  CHECK(untold.all().Other == 0);
}

TEST_CASE("RefusingEarly_OverloadThatIsOverLeavesNoTrace") {
  TightFleet it(1, FortyVms);
  it.run(Settling, 3.0);
  // What waits is served, and what was told runs out.
  it.run(std::chrono::seconds(1), 0.5);
  it.run(Measured, 0.5);
  CHECK(it.all().Refused == 0);
  CHECK(it.all().Other == 0);
}

TEST_CASE("RefusingEarly_HomeThatDiesAtAHighLevelIsNotWaitedFor") {
  TightFleet it(1, FortyVms);
  it.run(Settling, 1.5);
  // One of the six homes.
  it.cut(0);
  it.run(std::chrono::seconds(2), 0.5);
  it.run(Measured, 0.5);
  CHECK(it.all().OnTime >= 0.99 * it.all().Asked);
}

TEST_CASE("RefusingEarly_LevelsDontSwing") {
  TightFleet it(1, FortyVms);
  it.run(Settling, 1.5);
  // Borrowers that all left and all came back would leave the slots idle in
  // between: no quarter of a second is lost for more than a tenth.
  constexpr Duration Window = milliseconds(250);
  const auto room = TightFleet::Slots * Window / TightFleet::ServiceTime;
  for (int i = 0; i < 20; ++i) {
    it.run(Window, 1.5);
    const auto served = it.all().OnTime + it.all().Late;
    CHECK(static_cast<double>(served) >= 0.9 * static_cast<double>(room));
  }
}
