// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Tests of the waits that lenders report to a borrower.

#include "overload/ToldWaits.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::overload;

namespace {

const InstanceId Primary("p");
constexpr Urgency Usual{false, 1};
constexpr TimePoint Start(std::chrono::seconds(1));

} // namespace

TEST_CASE("ToldWaits_WordExpiresWithTheWaitThatItTold") {
  ToldWaits told;
  CHECK(told.isEmpty(Start, Primary));
  told.note(Start, Primary, "a", Usual, milliseconds(100));
  CHECK(told.left(Start + milliseconds(40), Primary, "a", Usual) ==
        milliseconds(60));
  CHECK(!told.isEmpty(Start + milliseconds(40), Primary));
  CHECK(told.left(Start + milliseconds(100), Primary, "a", Usual) ==
        Duration{});
  CHECK(told.isEmpty(Start + milliseconds(100), Primary));
  CHECK(told.left(Start, Primary, "b", Usual) == Duration{});
  CHECK(told.left(Start, InstanceId("q"), "a", Usual) == Duration{});
}

TEST_CASE("ToldWaits_LostOrAbsurdWordIsNotBelievedForLong") {
  // The lender died while its queue was long, or its later reports were lost.
  ToldWaits told;
  told.note(Start, Primary, "a", Usual, std::chrono::hours(1));
  const Duration most = ToldOptions().MostBelieved;
  // A statement that can't wait that long isn't sent there meanwhile.
  CHECK(told.left(Start, Primary, "a", Usual) == std::chrono::hours(1));
  CHECK(told.left(Start + most, Primary, "a", Usual) == Duration{});
  CHECK(told.isEmpty(Start + most, Primary));
}

TEST_CASE("ToldWaits_WaitOfTheLessUrgentSaysNothingOfTheUrgent") {
  ToldWaits told;
  told.note(Start, Primary, "a", Usual, milliseconds(200));
  CHECK(told.left(Start, Primary, "a", {false, 0}) == Duration{});
  CHECK(told.left(Start, Primary, "a", {false, 2}) == milliseconds(200));
  CHECK(told.left(Start, Primary, "a", {true, 0}) == milliseconds(200));
}

TEST_CASE("ToldWaits_NewestWordHolds") {
  ToldWaits told;
  told.note(Start, Primary, "a", {false, 0}, milliseconds(200));
  told.note(Start, Primary, "a", Usual, milliseconds(300));
  told.note(Start, Primary, "a", Usual, milliseconds(50));
  CHECK(told.left(Start, Primary, "a", Usual) == milliseconds(50));
  CHECK(told.left(Start, Primary, "a", {false, 0}) == milliseconds(50));
}

TEST_CASE("ToldWaits_OneProbeInAWhile") {
  ToldWaits told;
  CHECK(told.takeProbe(Start, Primary));
  CHECK(!told.takeProbe(Start + milliseconds(50), Primary));
  CHECK(told.takeProbe(Start + ToldOptions().ProbeInterval, Primary));
}

TEST_CASE("ToldWaits_LenderThatServesHasRoomUntilItTellsOtherwise") {
  ToldWaits told;
  told.note(Start, Primary, "a", Usual, milliseconds(200));
  CHECK(!told.isServing(Start, Primary, "a"));
  told.noteServed(Start + milliseconds(10), Primary, "a");
  CHECK(told.isServing(Start + milliseconds(20), Primary, "a"));
  CHECK(!told.isServing(Start + std::chrono::seconds(1), Primary, "a"));
  told.note(Start + milliseconds(30), Primary, "a", Usual, milliseconds(200));
  CHECK(!told.isServing(Start + milliseconds(30), Primary, "a"));
  told.forget(Primary, "a");
  CHECK(told.isEmpty(Start + milliseconds(30), Primary));
}
