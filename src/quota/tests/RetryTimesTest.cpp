// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Tests of the retry delays of many callers that are refused at once.

#include "quota/RetryTimes.h"

#include <doctest/doctest.h>

#include <set>

using namespace stepledge;
using namespace stepledge::quota;

namespace {

const TimePoint Start(std::chrono::seconds(10));

} // namespace

TEST_CASE("RetryTimes_CallersArriveAtTheRateOfTheRefill") {
  RetryTimes it;
  Duration last{};
  for (int n = 0; n < 40; ++n) {
    const auto pause = it.next(Start, 0, milliseconds(30), 50);
    CHECK(pause == milliseconds(30 + 20 * n));
    last = pause;
  }
  CHECK(last <= MostRetry);
}

TEST_CASE("RetryTimes_TheMoreUrgentComeFirst") {
  RetryTimes it;
  for (int n = 0; n < 5; ++n)
    it.next(Start, 2, LeastRetry, 20);
  CHECK(it.next(Start, 0, LeastRetry, 20) == LeastRetry);
  CHECK(it.next(Start, 1, LeastRetry, 20) == LeastRetry + milliseconds(50));
}

TEST_CASE("RetryTimes_TheRestIsSpreadOverTheLastHalfSecond") {
  RetryTimes it;
  std::set<Duration> pauses;
  for (int n = 0; n < 64; ++n) {
    const auto pause = it.next(Start, 0, MostRetry, 0);
    CHECK(pause > MostRetry / 2);
    CHECK(pause <= MostRetry);
    pauses.insert(pause);
  }
  CHECK(pauses.size() >= 63);
}

TEST_CASE("RetryTimes_NobodyBeforeMeansTheLeast") {
  RetryTimes it;
  CHECK(it.next(Start, 0, Duration{}, 1000) == LeastRetry);
  CHECK(it.next(Start + milliseconds(5000), 0, Duration{}, 1000) == LeastRetry);
}
