// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Deltas between configurations, and their encoding.

#include "distribution/DeltaCodec.h"

#include "control/tests/RouteListDocument.h"

#include <doctest/doctest.h>

#include <random>

using namespace stepledge;
using namespace stepledge::distribution;
using control::Configuration;
using control::tests::decodeRouteList;
using control::tests::routeListDocument;

namespace {

Configuration routes(std::uint64_t version, int count, int timeoutMs = 800) {
  return *decodeRouteList(routeListDocument(version, count, timeoutMs));
}

/// Returns random routes and services.
Configuration randomConfiguration(std::uint64_t version,
                                  std::mt19937_64 &random) {
  const auto pick = [&random](int n) {
    return std::uniform_int_distribution<int>(0, n - 1)(random);
  };
  Configuration configuration;
  configuration.Version = version;
  configuration.TransactionIdleLimit = milliseconds(pick(3));
  for (int i = 0; i < 4; ++i) {
    const std::string name = "s" + std::to_string(pick(5));
    configuration.Services[name] = {name, pick(3), pick(2)};
  }
  for (int i = pick(20); i > 0; --i) {
    control::Route route;
    route.Database = DatabaseId("d" + std::to_string(pick(30)));
    route.Service = "s" + std::to_string(pick(5));
    route.Policy = static_cast<control::ReadPolicy>(pick(3));
    route.StatementTimeout = milliseconds(pick(3));
    route.Priority = pick(2);
    route.IsPublic = pick(2) == 0;
    configuration.Routes[route.Database] = route;
  }
  configuration.HasOrganisations = pick(2) == 0;
  for (int i = pick(8); i > 0; --i) {
    control::Organisation organisation;
    organisation.Id = OrganisationId("o" + std::to_string(pick(9)));
    for (int n = pick(3); n > 0; --n)
      organisation.Keys.insert(KeyDigest::of(std::to_string(pick(1000))));
    organisation.Priority = pick(2);
    organisation.RatePerSecond = pick(3) / 2.0;
    organisation.Burst = pick(2);
    configuration.Organisations[organisation.Id] = organisation;
  }
  return configuration;
}

bool isEqual(const Configuration &a, const Configuration &b) {
  return a.Version == b.Version && a.Routes == b.Routes &&
         a.Services == b.Services && a.Organisations == b.Organisations &&
         a.HasOrganisations == b.HasOrganisations &&
         a.TransactionIdleLimit == b.TransactionIdleLimit;
}

} // namespace

TEST_CASE("ConfigurationDelta_JoinedDeltasYieldTheTarget") {
  std::mt19937_64 random(7);
  for (std::uint64_t i = 1; i <= 300; ++i) {
    const auto from = randomConfiguration(3 * i, random);
    const auto middle = randomConfiguration(3 * i + 1, random);
    const auto to = randomConfiguration(3 * i + 2, random);
    auto delta = deltaBetween(from, middle);
    extendDelta(delta, deltaBetween(middle, to));
    const auto decoded = decodeDelta(encodeDelta(delta));
    REQUIRE(decoded);
    auto result = from;
    REQUIRE(applyDelta(result, *decoded));
    CHECK(isEqual(result, to));
  }
}

TEST_CASE("ConfigurationDelta_AppliesOnlyToItsStartVersion") {
  auto held = routes(3, 10);
  const auto delta = deltaBetween(routes(4, 10), routes(5, 12));
  CHECK(!applyDelta(held, delta));
  // The digest shows that the same version has different content.
  auto other = routes(4, 10, 900);
  CHECK(!applyDelta(other, deltaBetween(routes(4, 11), routes(5, 12))));
}

TEST_CASE("ConfigurationDelta_FullOneReplacesAnyConfiguration") {
  auto held = routes(3, 10);
  CHECK(applyDelta(held, deltaBetween({}, routes(9, 4))));
  CHECK(isEqual(held, routes(9, 4)));
}

TEST_CASE("ConfigurationDelta_InvalidBytesAreRefused") {
  CHECK(!decodeDelta("no change"));
}

TEST_CASE("ConfigurationDelta_SizeBenchmark") {
  // In the operators' document, 1,400 routes take 260 KB, and each change once
  // sent as much to an entry VM. Encoded they take 17 KB, and one changed route
  // among them takes 28 bytes.
  const std::string document = routeListDocument(2, 1400);
  const auto full = encodeDelta(deltaBetween({}, routes(2, 1400)));
  CHECK(document.size() > 250'000);
  CHECK(full.size() < 20'000);
  const auto one = deltaBetween(routes(2, 1400), routes(3, 1400, 900));
  CHECK(encodeDelta(one).size() < 60);
}

TEST_CASE("ConfigurationDelta_OfOneKeySendsOneOrganisation") {
  Configuration from;
  from.Version = 1;
  from.HasOrganisations = true;
  for (int i = 0; i < 78; ++i) {
    auto &it = from.Organisations[OrganisationId("o" + std::to_string(i))];
    it.Id = OrganisationId("o" + std::to_string(i));
    it.Keys = {KeyDigest::of(std::to_string(i))};
  }
  Configuration to = from;
  to.Version = 2;
  to.Organisations[OrganisationId("o7")].Keys.clear();
  const auto delta = deltaBetween(from, to);
  CHECK(delta.Organisations.size() == 1);
  CHECK(encodeDelta(delta).size() < 64);
  REQUIRE(applyDelta(from, delta));
  CHECK(isEqual(from, to));
}

TEST_CASE("ConfigurationDelta_KeyOfAnotherLengthIsRefused") {
  ConfigurationDelta delta;
  control::Organisation organisation;
  organisation.Id = OrganisationId("o");
  organisation.Keys = {KeyDigest::of("k")};
  delta.Organisations[organisation.Id] = organisation;
  std::string bytes = encodeDelta(delta);
  const auto at = bytes.find(KeyDigest::of("k").toBytes());
  REQUIRE(at != std::string::npos);
  // Removes one byte from the key, and adjusts the lengths of the key and of
  // the organisation.
  bytes.erase(at, 1);
  --bytes[at - 1];
  --bytes[at - 6];
  CHECK_FALSE(decodeDelta(bytes));
}
