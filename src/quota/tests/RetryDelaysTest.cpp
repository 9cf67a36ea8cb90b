// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Tests of the retry delays of many callers that are refused at once.

#include "quota/RetryDelays.h"

#include <doctest/doctest.h>

#include <set>

using namespace stepledge;
using namespace stepledge::quota;

namespace {

const TimePoint Start(std::chrono::seconds(10));

} // namespace

TEST_CASE("RetryDelays_CallersReturnAtTheRefillRate") {
  RetryDelays it;
  Duration last{};
  for (int n = 0; n < 40; ++n) {
    const auto delay = it.next(Start, 0, milliseconds(30), 50);
    CHECK(delay == milliseconds(30 + 20 * n));
    last = delay;
  }
  CHECK(last <= MaxRetryDelay);
}

TEST_CASE("RetryDelays_MoreUrgentCallersReturnFirst") {
  RetryDelays it;
  for (int n = 0; n < 5; ++n)
    it.next(Start, 2, MinRetryDelay, 20);
  CHECK(it.next(Start, 0, MinRetryDelay, 20) == MinRetryDelay);
  CHECK(it.next(Start, 1, MinRetryDelay, 20) ==
        MinRetryDelay + milliseconds(50));
}

TEST_CASE("RetryDelays_CallersBeyondTheMaximumAreSpreadOverTheLastHalfSecond") {
  RetryDelays it;
  std::set<Duration> delays;
  for (int n = 0; n < 64; ++n) {
    const auto delay = it.next(Start, 0, MaxRetryDelay, 0);
    CHECK(delay > MaxRetryDelay / 2);
    CHECK(delay <= MaxRetryDelay);
    delays.insert(delay);
  }
  CHECK(delays.size() >= 63);
}

TEST_CASE("RetryDelays_FirstCallerGetsTheMinimum") {
  RetryDelays it;
  CHECK(it.next(Start, 0, Duration{}, 1000) == MinRetryDelay);
  CHECK(it.next(Start + milliseconds(5000), 0, Duration{}, 1000) ==
        MinRetryDelay);
}
