// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Tests of the waits that lenders report to a borrower.

#include "overload/ReportedWaits.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::overload;

namespace {

const InstanceId Primary("p");
constexpr Urgency Usual{false, 1};
constexpr TimePoint Start(std::chrono::seconds(1));

} // namespace

TEST_CASE("ReportedWaits_ReportExpiresWithItsWait") {
  ReportedWaits waits;
  CHECK(waits.isEmpty(Start, Primary));
  waits.note(Start, Primary, "a", Usual, milliseconds(100));
  CHECK(waits.remaining(Start + milliseconds(40), Primary, "a", Usual) ==
        milliseconds(60));
  CHECK(!waits.isEmpty(Start + milliseconds(40), Primary));
  CHECK(waits.remaining(Start + milliseconds(100), Primary, "a", Usual) ==
        Duration{});
  CHECK(waits.isEmpty(Start + milliseconds(100), Primary));
  CHECK(waits.remaining(Start, Primary, "b", Usual) == Duration{});
  CHECK(waits.remaining(Start, InstanceId("q"), "a", Usual) == Duration{});
}

TEST_CASE("ReportedWaits_LostOrAbsurdReportExpiresSoon") {
  // The lender died while its queue was long, or its later reports were lost.
  ReportedWaits waits;
  waits.note(Start, Primary, "a", Usual, std::chrono::hours(1));
  const Duration maxAge = ReportedWaitOptions().MaxValidity;
  // A statement that can't wait that long isn't sent there meanwhile.
  CHECK(waits.remaining(Start, Primary, "a", Usual) == std::chrono::hours(1));
  CHECK(waits.remaining(Start + maxAge, Primary, "a", Usual) == Duration{});
  CHECK(waits.isEmpty(Start + maxAge, Primary));
}

TEST_CASE("ReportedWaits_WaitOfLessUrgentBorrowsDoesNotApplyToUrgentOnes") {
  ReportedWaits waits;
  waits.note(Start, Primary, "a", Usual, milliseconds(200));
  CHECK(waits.remaining(Start, Primary, "a", {false, 0}) == Duration{});
  CHECK(waits.remaining(Start, Primary, "a", {false, 2}) == milliseconds(200));
  CHECK(waits.remaining(Start, Primary, "a", {true, 0}) == milliseconds(200));
}

TEST_CASE("ReportedWaits_NewestReportApplies") {
  ReportedWaits waits;
  waits.note(Start, Primary, "a", {false, 0}, milliseconds(200));
  waits.note(Start, Primary, "a", Usual, milliseconds(300));
  waits.note(Start, Primary, "a", Usual, milliseconds(50));
  CHECK(waits.remaining(Start, Primary, "a", Usual) == milliseconds(50));
  CHECK(waits.remaining(Start, Primary, "a", {false, 0}) == milliseconds(50));
}

TEST_CASE("ReportedWaits_OneProbePerInterval") {
  ReportedWaits waits;
  CHECK(waits.takeProbe(Start, Primary));
  CHECK(!waits.takeProbe(Start + milliseconds(50), Primary));
  CHECK(waits.takeProbe(Start + ReportedWaitOptions().ProbeInterval, Primary));
}

TEST_CASE("ReportedWaits_LenderThatServesHasCapacityUntilItReportsAWait") {
  ReportedWaits waits;
  waits.note(Start, Primary, "a", Usual, milliseconds(200));
  CHECK(!waits.isServing(Start, Primary, "a"));
  waits.noteServed(Start + milliseconds(10), Primary, "a");
  CHECK(waits.isServing(Start + milliseconds(20), Primary, "a"));
  CHECK(!waits.isServing(Start + std::chrono::seconds(1), Primary, "a"));
  waits.note(Start + milliseconds(30), Primary, "a", Usual, milliseconds(200));
  CHECK(!waits.isServing(Start + milliseconds(30), Primary, "a"));
  waits.forget(Primary, "a");
  CHECK(waits.isEmpty(Start + milliseconds(30), Primary));
}
