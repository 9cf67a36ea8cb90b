// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A VM that serves what may not be the newest says so when it lasts.

#include "entry/OutdatedReport.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::entry;

namespace {

const TimePoint Start(milliseconds(10000));

} // namespace

TEST_CASE("OutdatedReport_OrdinaryChangeOfTheConfigurationIsNotTold") {
  OutdatedReport report;
  CHECK_FALSE(report.line(Start, true));
  CHECK_FALSE(report.line(Start + milliseconds(999), true));
  CHECK_FALSE(report.line(Start + milliseconds(1000), false));
}

TEST_CASE("OutdatedReport_StateThatLastsIsToldOnceAndItsEndWithItsLength") {
  OutdatedReport report;
  CHECK_FALSE(report.line(Start, true));
  CHECK(report.line(Start + milliseconds(1000), true) ==
        "event=configuration_may_be_outdated");
  CHECK_FALSE(report.line(Start + milliseconds(5000), true));
  CHECK(report.line(Start + milliseconds(9000), false) ==
        "event=configuration_known after_ms=9000");
  CHECK_FALSE(report.line(Start + milliseconds(9010), true));
}

TEST_CASE("OutdatedReport_StateThatGoesOnIsToldAgain") {
  OutdatedReport report;
  CHECK_FALSE(report.line(Start, true));
  CHECK(report.line(Start + milliseconds(1000), true));
  CHECK_FALSE(report.line(Start + milliseconds(5999), true));
  CHECK(report.line(Start + milliseconds(6000), true));
  CHECK(report.lastedFor(Start + milliseconds(6000)) == milliseconds(6000));
}
