// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Tests of how long statements may wait.

#include "overload/WaitPolicy.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::overload;

TEST_CASE("WaitPolicy_ShedOrUnsendableStatementsWaitLess") {
  const WaitPolicy policy;
  WaitFacts facts;
  facts.Objective = milliseconds(240);
  CHECK(policy.maxWait(facts) == WaitOptions().MaxWait);
  facts.IsShed = true;
  CHECK(policy.maxWait(facts) == milliseconds(30));
  facts.IsUnsendable = true;
  CHECK(policy.maxWait(facts) == milliseconds(30));
  facts.IsShed = false;
  CHECK(policy.maxWait(facts) == WaitOptions().MaxWaitUnsendable);
}

TEST_CASE("WaitPolicy_LimitFollowsTheRoute") {
  const WaitPolicy policy;
  WaitFacts facts;
  facts.Objective = milliseconds(120);
  facts.StatementTimeout = milliseconds(400);
  CHECK(policy.maxWait(facts) == milliseconds(200));
  facts.Objective = milliseconds(1200);
  facts.StatementTimeout = milliseconds(3000);
  CHECK(policy.maxWait(facts) == milliseconds(1500));
  // A statement isn't refused while it could be on time, and never waits beyond
  // its timeout.
  facts.StatementTimeout = milliseconds(1500);
  CHECK(policy.maxWait(facts) == milliseconds(1200));
  facts.StatementTimeout = milliseconds(1000);
  CHECK(policy.maxWait(facts) == milliseconds(1000));
}

TEST_CASE("WaitPolicy_WaitsNotForCapacityKeepTheDefaultMaximum") {
  const WaitPolicy policy;
  WaitFacts facts;
  facts.Objective = milliseconds(120);
  facts.StatementTimeout = milliseconds(400);
  facts.IsUnderWay = true;
  CHECK(policy.maxWait(facts) == WaitOptions().MaxWait);
  facts.IsUnderWay = false;
  facts.IsAwaitingPrimary = true;
  CHECK(policy.maxWait(facts) == WaitOptions().MaxWait);
  facts.IsUnsendable = true;
  CHECK(policy.maxWait(facts) == WaitOptions().MaxWaitUnsendable);
}

TEST_CASE("WaitPolicy_UsefulWaitShrinksWithAge") {
  const WaitPolicy policy;
  WaitFacts facts;
  facts.Objective = milliseconds(240);
  facts.StatementTimeout = milliseconds(800);
  CHECK(policy.maxOnTimeWait(facts, {}) == milliseconds(180));
  CHECK(policy.maxOnTimeWait(facts, milliseconds(100), milliseconds(40)) ==
        milliseconds(75));
  CHECK(policy.maxOnTimeWait(facts, milliseconds(300)) == Duration{});
  CHECK(policy.maxLateWait(facts, milliseconds(300)) == milliseconds(100));
  CHECK(policy.maxLateWait(facts, milliseconds(500)) == Duration{});
  // A lender doesn't receive the timeout.
  facts.StatementTimeout = Duration{};
  CHECK(policy.maxLateWait(facts, milliseconds(300)) == milliseconds(180));
}
