// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Tests of when refused clients retry.

#include "overload/RetryDelay.h"

#include <doctest/doctest.h>

#include <array>
#include <string>

using namespace stepledge;
using namespace stepledge::overload;

TEST_CASE("RetryDelay_ClientsRefusedTogetherReturnOneByOne") {
  constexpr Duration Wait = milliseconds(200);
  constexpr int Clients = 1000;
  constexpr std::size_t Parts = 10;
  std::array<int, Parts> returned{};
  for (int i = 0; i < Clients; ++i) {
    const Duration time = retryDelay(Wait, "s" + std::to_string(i));
    REQUIRE(time >= Wait);
    REQUIRE(time < 2 * Wait);
    ++returned[static_cast<std::size_t>((time - Wait) * Parts / Wait)];
  }
  // About a tenth of the clients retry in each tenth of the time.
  for (const int it : returned) {
    CHECK(it > 60);
    CHECK(it < 140);
  }
}

TEST_CASE("RetryDelay_IsTheSameForTheSameStatement") {
  CHECK(retryDelay(milliseconds(100), "a") ==
        retryDelay(milliseconds(100), "a"));
  CHECK(retryDelay(Duration{}, "a") > Duration{});
}
