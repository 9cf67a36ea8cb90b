// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file How long statements wait.

#include "overload/WaitPolicy.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::overload;

TEST_CASE("WaitPolicy_ShedOrHopelessStatementsWaitLess") {
  const WaitPolicy policy;
  WaitFacts facts;
  facts.Objective = milliseconds(240);
  CHECK(policy.limit(facts) == WaitOptions().Longest);
  facts.IsShed = true;
  CHECK(policy.limit(facts) == milliseconds(30));
  facts.IsHopeless = true;
  CHECK(policy.limit(facts) == milliseconds(30));
  facts.IsShed = false;
  CHECK(policy.limit(facts) == WaitOptions().LongestHopeless);
}
