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
  CHECK(!schedule.isHung(start + milliseconds(100)));
  // The system repeats a lost opening packet after 1,000 ms: three tries of
  // our own fit in before that.
  CHECK(schedule.isHung(start + milliseconds(300)));
  CHECK(schedule.mayStart(start + milliseconds(300)));
}

TEST_CASE("ConnectSchedule_RefusedTryIsRepeatedAfterAPause") {
  ConnectSchedule schedule;
  const TimePoint start(milliseconds(5000));
  CHECK(schedule.mayStart(start));
  schedule.started(start);
  CHECK(!schedule.mayStart(start + milliseconds(50)));
  CHECK(schedule.mayStart(start + milliseconds(150)));
}
