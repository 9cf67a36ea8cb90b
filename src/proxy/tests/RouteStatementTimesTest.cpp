// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Slowness of an answer relative to the usual time of the route's
/// statements.

#include "proxy/internal/RouteStatementTimes.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::proxy;

namespace {

/// An instance that answers as fast as usual.
constexpr double NoCongestion = 1.0;

control::Route routeOf(const char *name) {
  control::Route route;
  route.Database = DatabaseId(name);
  route.Service = "db";
  return route;
}

} // namespace

TEST_CASE("RouteStatementTimes_UnknownRouteIsNeitherSlowNorFast") {
  const RouteStatementTimes work;
  CHECK(work.slowness(routeOf("long"), milliseconds(80)) == 1.0);
}

TEST_CASE("RouteStatementTimes_LongerStatementsDoNotLookLikeAQueue") {
  RouteStatementTimes work;
  for (int i = 0; i < 100; ++i) {
    work.note(routeOf("short"), milliseconds(5), NoCongestion);
    work.note(routeOf("long"), milliseconds(20), NoCongestion);
  }
  CHECK(work.slowness(routeOf("long"), milliseconds(20)) ==
        doctest::Approx(1.0));
  CHECK(work.slowness(routeOf("short"), milliseconds(20)) ==
        doctest::Approx(4.0));
}

TEST_CASE("RouteStatementTimes_AnswersOfAnInstanceWithAQueueDontBecomeUsual") {
  RouteStatementTimes work;
  for (int i = 0; i < 100; ++i)
    work.note(routeOf("short"), milliseconds(10), NoCongestion);
  // Half a minute of overload during which each statement takes 1.5 times as
  // long.
  for (int i = 0; i < 600; ++i)
    work.note(routeOf("short"), milliseconds(15), 1.5);
  CHECK(work.slowness(routeOf("short"), milliseconds(15)) ==
        doctest::Approx(1.5));
}
