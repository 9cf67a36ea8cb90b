// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The judge of ends names a connection that a VM ended without an
/// answer, and only that.

#include "soak/EndJudge.h"

#include <doctest/doctest.h>

using namespace stepledge::soak;
using namespace std::chrono_literals;

namespace {

constexpr EndJudge::Clock::time_point Start{100s};

UnansweredEnd endAt(EndJudge::Clock::duration at,
                    EndJudge::Clock::duration outstanding) {
  return {"entry-3", "7", "c7x12", Start + at - outstanding, Start + at};
}

} // namespace

TEST_CASE("EndJudge_TellsVmClientTimeAndStatement") {
  EndJudge judge(Start);
  CHECK(judge.ended(endAt(9s, 201ms)) ==
        "entry-3 ended the connection of client 7 at 9000 ms, 201 ms after "
        "statement c7x12 that it didn't answer");
  CHECK(judge.found() == 1);
}

TEST_CASE("EndJudge_StatementThatCrossedTheEndIsNoFault") {
  EndJudge judge(Start);
  CHECK_FALSE(judge.ended(endAt(9s, 200ms)));
  CHECK(judge.seen() == 1);
  CHECK(judge.found() == 0);
}

TEST_CASE("EndJudge_DisturbanceExcusesForFiveSeconds") {
  EndJudge judge(Start);
  judge.disturbed("entry-3", Start + 2s);
  CHECK_FALSE(judge.ended(endAt(1s, 300ms)));
  CHECK_FALSE(judge.ended(endAt(6999ms, 4s)));
  CHECK(judge.ended(endAt(7s, 300ms)));
}

TEST_CASE("EndJudge_DisturbanceOfOthersExcusesNothing") {
  EndJudge judge(Start);
  judge.disturbed("entry-4", Start + 9s);
  judge.disturbed("controls", Start + 9s);
  CHECK(judge.ended(endAt(9s, 300ms)));
}
