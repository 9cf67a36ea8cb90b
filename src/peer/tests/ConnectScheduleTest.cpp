// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A try to connect to a VM that is still dark doesn't hold up the next.

#include "peer/internal/ConnectSchedule.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::peer;

TEST_CASE("ConnectSchedule_HungTryIsGivenUpBeforeItsPacketIsSentAgain") {
  ConnectSchedule schedule;
  const TimePoint start(milliseconds(5000));
  schedule.started(start);
  CHECK(!ConnectSchedule::isHung(start, start + milliseconds(100)));
  // The system repeats a lost opening packet after 1,000 ms: three tries of
  // our own fit in before that.
  CHECK(ConnectSchedule::isHung(start, start + milliseconds(300)));
  CHECK(schedule.mayStart(start + milliseconds(300)));
}

TEST_CASE("ConnectSchedule_RefusedTryIsRepeatedAfterAPause") {
  ConnectSchedule schedule;
  const TimePoint start(milliseconds(5000));
  CHECK(schedule.mayStart(start));
  schedule.started(start);
  CHECK(!schedule.mayStart(start + milliseconds(10)));
  CHECK(schedule.mayStart(start + milliseconds(20)));
}

TEST_CASE("ConnectSchedule_PausesGrowToATenthOfASecond") {
  ConnectSchedule schedule;
  const TimePoint start(milliseconds(5000));
  int tries = 0;
  for (Duration at{}; at < milliseconds(2000); at += milliseconds(1))
    if (schedule.mayStart(start + at)) {
      schedule.started(start + at);
      ++tries;
    }
  // Three in the first tenth of a second, then ten a second.
  CHECK(tries >= 20);
  CHECK(tries <= 23);
  CHECK(!schedule.mayStart(start + milliseconds(2000)));
}

TEST_CASE("ConnectSchedule_LinkThatLastedBeginsWithShortPausesAgain") {
  ConnectSchedule schedule;
  TimePoint now(milliseconds(5000));
  for (int i = 0; i < 10; ++i, now += milliseconds(101))
    schedule.started(now);
  CHECK(!schedule.mayStart(now - milliseconds(51)));
  now += milliseconds(2000);
  schedule.started(now);
  CHECK(schedule.mayStart(now + milliseconds(20)));
}
