// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A call is new to a leader's log once per term, until it is committed.

#include "control/internal/UncommittedCalls.h"

#include <doctest/doctest.h>

using stepledge::control::UncommittedCalls;

TEST_CASE("UncommittedCalls_RetryIsNoNewCall") {
  UncommittedCalls calls;
  CHECK(calls.add(3, 100, 1));
  CHECK(!calls.add(3, 100, 1));
  CHECK(calls.add(3, 100, 2));
  CHECK(calls.add(3, 101, 1));
}

TEST_CASE("UncommittedCalls_CommittedCallIsNewAgain") {
  UncommittedCalls calls;
  CHECK(calls.add(3, 100, 1));
  calls.remove(100, 1);
  CHECK(calls.add(3, 100, 1));
}

TEST_CASE("UncommittedCalls_NewTermHasNoCallsOfTheLastOne") {
  UncommittedCalls calls;
  CHECK(calls.add(3, 100, 1));
  CHECK(calls.add(5, 100, 1));
  CHECK(!calls.add(5, 100, 1));
}
