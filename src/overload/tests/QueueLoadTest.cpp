// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Tests of the estimated wait in a queue for connections.

#include "overload/QueueLoad.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace stepledge;
using namespace stepledge::overload;

namespace {

constexpr Urgency Urgent{false, 0};
constexpr Urgency Usual{false, 1};
constexpr Urgency Late{true, 0};

/// Simulates borrows of \p urgency that keep \p connections busy with 10 ms
/// each.
TimePoint run(QueueLoad &load, TimePoint now, const Urgency &urgency,
              int connections, Duration time) {
  const TimePoint end = now + time;
  for (; now < end; now += milliseconds(10))
    for (int i = 0; i < connections; ++i) {
      load.noteBorrowStart(now, urgency);
      load.noteHoldTime(milliseconds(10));
    }
  return now;
}

} // namespace

TEST_CASE("QueueLoad_WaitIsZeroBeforeTheFirstBorrow") {
  const QueueLoad load;
  CHECK(load.wait(TimePoint(std::chrono::seconds(1)), Usual, 20, 4) ==
        Duration{});
}

TEST_CASE("QueueLoad_WaitGrowsWithTheQueueAndFallsWithTheConnections") {
  QueueLoad load;
  load.noteHoldTime(milliseconds(20));
  const TimePoint now(std::chrono::seconds(1));
  CHECK(load.wait(now, Usual, 0, 1) == milliseconds(10));
  CHECK(load.wait(now, Usual, 4, 1) == milliseconds(90));
  CHECK(load.wait(now, Usual, 8, 4) == milliseconds(44));
  // An instance without an open connection counts as one connection.
  CHECK(load.wait(now, Usual, 4, 0) == milliseconds(90));
}

TEST_CASE("QueueLoad_FloodLengthensOnlyTheWaitOfLessUrgentBorrows") {
  QueueLoad load;
  const TimePoint now = run(load, TimePoint(std::chrono::seconds(1)), Usual, 4,
                            milliseconds(2000));
  const Duration urgent = load.wait(now, Urgent, 1, 4);
  CHECK(urgent < milliseconds(10));
  CHECK(load.wait(now, Usual, 1, 4) == urgent);
  CHECK(load.wait(now, {false, 2}, 1, 4) >= 10 * urgent);
  CHECK(load.wait(now, Late, 1, 4) >= 10 * urgent);
}

TEST_CASE("QueueLoad_PastFloodDecaysWithinAnObjective") {
  QueueLoad load;
  const TimePoint now = run(load, TimePoint(std::chrono::seconds(1)), Urgent, 4,
                            milliseconds(2000));
  CHECK(load.wait(now + milliseconds(600), Usual, 1, 4) < milliseconds(10));
}

TEST_CASE("QueueLoad_IdleTransactionsDontMakeTheHoldTimeOscillate") {
  // Every tenth borrow is idle in transaction for 300 ms; the others take 10.
  QueueLoad load;
  Duration least = milliseconds(1000);
  Duration most{};
  for (int i = 0; i < 400; ++i) {
    load.noteHoldTime(milliseconds(i % 10 == 0 ? 300 : 10));
    if (i < 200)
      continue;
    least = std::min(least, load.holdTime());
    most = std::max(most, load.holdTime());
  }
  CHECK(most < 2 * least);
  CHECK(most < milliseconds(20));
}
