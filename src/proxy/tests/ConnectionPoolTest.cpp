// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Which connection a home closes when another organisation needs one,
/// and how many it opens under a load of organisations of unequal size.

#include "proxy/internal/ConnectionPool.h"
#include "proxy/tests/FakeIo.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <random>
#include <string>
#include <vector>

using namespace stepledge;
using namespace stepledge::proxy;
using namespace stepledge::proxy::tests;

namespace {

constexpr int HomeConnections = 4;

/// One home of one instance, whose connections are free between uses.
struct Home {
  Home() {
    Instance.Id = InstanceId("i");
    Instance.Service = "db";
  }

  /// Uses a connection for \p organisation; true if one had to be opened.
  bool use(const OrganisationId &organisation) {
    auto *it = Pool.findFree(Instance.Id, organisation, {}, true);
    const bool isMissing = !it;
    if (isMissing) {
      REQUIRE(Pool.openOne(Now, Instance, {HomeConnections, HomeConnections},
                           "", organisation));
      for (auto &[id, opened] : Pool.all())
        opened.IsReady = true;
      it = Pool.findFree(Instance.Id, organisation, {}, true);
    }
    REQUIRE(it);
    Pool.noteUse(Now, *it);
    it->LastServed = Now;
    return isMissing;
  }

  bool holds(const OrganisationId &organisation) const {
    return Pool.ownCount(Instance.Id, organisation) > 0;
  }

  FakeIo Io;
  ConnectionPool Pool{Io};
  membership::InstanceRecord Instance;
  TimePoint Now{std::chrono::seconds(100)};
};

OrganisationId organisation(std::size_t number) {
  return OrganisationId("o" + std::to_string(number));
}

/// Connections opened for 100 uses, eight a second, by 20 organisations the
/// n-th of which has 1/n of the load of the first.
double openingsPerHundred(unsigned seed) {
  constexpr int Uses = 10000;
  std::vector<double> shares;
  for (int i = 1; i <= 20; ++i)
    shares.push_back(1.0 / i);
  std::mt19937 random(seed);
  std::discrete_distribution<std::size_t> pickNumber(shares.begin(),
                                                     shares.end());
  Home home;
  int openings = 0;
  for (int i = 0; i < Uses; ++i) {
    home.Now += milliseconds(125);
    openings += home.use(organisation(pickNumber(random)));
  }
  return 100.0 * openings / Uses;
}

} // namespace

TEST_CASE("ConnectionPool_SkewedLoadOpensFewConnections") {
  // 59 to 60 if the connection idle longest is closed, 45 to 47 by the rate of
  // use.
  for (const unsigned seed : {1U, 2U, 3U}) {
    CAPTURE(seed);
    CHECK(openingsPerHundred(seed) < 52);
  }
}

TEST_CASE("ConnectionPool_RarelyUsedConnectionIsEvicted") {
  Home home;
  for (int i = 0; i < 10; ++i)
    for (std::size_t n = 0; n < HomeConnections; ++n)
      home.use(organisation(n));
  // Two further organisations use a connection once each.
  home.Now += milliseconds(200);
  CHECK(home.use(organisation(10)));
  home.Now += milliseconds(200);
  CHECK(home.use(organisation(11)));
  CHECK_FALSE(home.holds(organisation(10)));
  int kept = 0;
  for (std::size_t n = 0; n < HomeConnections; ++n)
    kept += home.holds(organisation(n));
  CHECK(kept == HomeConnections - 1);
}

TEST_CASE("ConnectionPool_FormerlyFrequentUsersAreEvictedEventually") {
  Home home;
  // Four organisations each use a connection twice a second for 30 s.
  for (int i = 0; i < 240; ++i) {
    home.Now += milliseconds(125);
    home.use(organisation(static_cast<std::size_t>(i % 4)));
  }
  // They stop, and four others use connections half as often for 15 s.
  for (int i = 0; i < 60; ++i) {
    home.Now += milliseconds(250);
    home.use(organisation(10 + static_cast<std::size_t>(i % 4)));
  }
  home.Now += milliseconds(250);
  for (std::size_t n = 10; n < 13; ++n)
    CHECK(home.holds(organisation(n)));
}

TEST_CASE("ConnectionPool_ProbeConnectionIsEvictedFirst") {
  Home home;
  REQUIRE(home.Pool.openOne(home.Now, home.Instance,
                            {HomeConnections, HomeConnections}, "",
                            std::nullopt));
  for (std::size_t n = 0; n < HomeConnections; ++n)
    home.use(organisation(n));
  for (std::size_t n = 0; n < HomeConnections; ++n)
    CHECK(home.holds(organisation(n)));
}

TEST_CASE("ConnectionPool_HomeOfAFullInstanceServesAnyOrganisation") {
  Home home;
  home.use(organisation(1));
  home.use(organisation(2));
  // After a power loss the instance has no free connection for some seconds.
  home.Pool.pauseOpeningUntil(home.Instance.Id, home.Now + milliseconds(1000));
  CHECK(home.use(organisation(3)));
  CHECK(home.Pool.ownCount(home.Instance.Id) == 2);
  CHECK(home.holds(organisation(3)));
}

TEST_CASE("ConnectionPool_VmWithoutConnectionsOpensNoneAtAFullInstance") {
  Home home;
  home.Pool.pauseOpeningUntil(home.Instance.Id, home.Now + milliseconds(1000));
  CHECK_FALSE(home.Pool.openOne(home.Now, home.Instance,
                                {HomeConnections, HomeConnections}, "",
                                organisation(1)));
  CHECK(home.Io.Opened.empty());
}

TEST_CASE("UsageRates_InactiveOrganisationsAreRemoved") {
  UsageRates rates;
  TimePoint now(std::chrono::seconds(1));
  for (std::size_t i = 0; i < 1000; ++i) {
    now += milliseconds(500);
    rates.note(now, organisation(i));
  }
  CHECK(rates.size() <= 100);
  CHECK(rates.weightOf(now, organisation(999)) >
        rates.weightOf(now, organisation(990)));
}
