// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Deltas to the newest configuration from earlier ones.

#include "distribution/ConfigurationHistory.h"

#include "control/tests/RouteListDocument.h"
#include "distribution/DeltaCodec.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::distribution;
using control::tests::decodeRouteList;
using control::tests::routeListDocument;

namespace {

control::Configuration routes(std::uint64_t version, int count,
                              int timeoutMs = 800) {
  return *decodeRouteList(routeListDocument(version, count, timeoutMs));
}

ConfigurationDelta deltaFrom(ConfigurationHistory &history,
                             std::uint64_t version) {
  const auto delta = decodeDelta(*history.deltaFrom(version));
  REQUIRE(delta);
  return *delta;
}

} // namespace

TEST_CASE("ConfigurationHistory_JoinsTheDeltasSinceAVersion") {
  ConfigurationHistory history;
  history.take(routes(3, 100));
  history.take(routes(5, 100, 810));
  history.take(routes(8, 101, 820));
  const auto delta = deltaFrom(history, 3);
  CHECK(delta.From == 3);
  CHECK(delta.To == 8);
  CHECK(delta.size() == 2);
  CHECK(deltaFrom(history, 5).From == 5);
}

TEST_CASE("ConfigurationHistory_UnknownVersionGetsTheFullConfiguration") {
  ConfigurationHistory history;
  history.take(routes(3, 100));
  history.take(routes(5, 100, 810));
  for (const std::uint64_t version : {0, 2, 4}) {
    const auto delta = deltaFrom(history, version);
    CHECK(delta.From == 0);
    CHECK(delta.Routes.size() == 100);
  }
}

TEST_CASE("ConfigurationHistory_AllUnknownVersionsShareOneEncoding") {
  ConfigurationHistory history;
  history.take(routes(300, 100));
  const auto full = history.deltaFrom(0);
  for (std::uint64_t version = 1; version < 300; ++version)
    CHECK(history.deltaFrom(version) == full);
}

TEST_CASE("ConfigurationHistory_KeepsNoMoreRoutesThanTheFullConfiguration") {
  ConfigurationHistory history;
  history.take(routes(1, 100));
  // Each configuration removes or adds all routes outside the shared ones.
  history.take(routes(2, 20));
  history.take(routes(3, 100));
  CHECK(deltaFrom(history, 1).From == 0);
  CHECK(deltaFrom(history, 2).From == 2);
}

TEST_CASE("ConfigurationHistory_DropsTheOldestDeltas") {
  ConfigurationHistory history;
  for (std::uint64_t version = 1; version <= 100; ++version)
    history.take(routes(version, 200, static_cast<int>(version)));
  CHECK(deltaFrom(history, 2).From == 0);
  CHECK(deltaFrom(history, 50).From == 50);
  CHECK(deltaFrom(history, 50).size() == 1);
}
