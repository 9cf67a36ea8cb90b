// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Tests of the order of waiting statements.

#include "scheduling/QueueScheduler.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::scheduling;

namespace {

constexpr TimePoint Now = TimePoint(std::chrono::seconds(10));

WaitRank rankOf(int priority, Duration objective, Duration age) {
  return {priority, objective, Now - age, OrganisationId()};
}

} // namespace

TEST_CASE("QueueScheduler_FirstComeFirstServedWithinAPriority") {
  const QueueScheduler scheduler;
  const auto order =
      scheduler.order(Now, {rankOf(1, milliseconds(200), milliseconds(30)),
                            rankOf(1, milliseconds(200), milliseconds(20)),
                            rankOf(0, milliseconds(200), milliseconds(10))});
  CHECK(order == std::vector<std::size_t>{2, 0, 1});
}

TEST_CASE("QueueScheduler_LateStatementsGoLastInAnOverload") {
  const QueueScheduler scheduler;
  const auto order =
      scheduler.order(Now, {rankOf(0, milliseconds(200), milliseconds(250)),
                            rankOf(1, milliseconds(200), milliseconds(120)),
                            rankOf(1, milliseconds(200), milliseconds(10))});
  CHECK(order == std::vector<std::size_t>{2, 1, 0});
}

TEST_CASE("QueueScheduler_OwnQueriesAreNeverLate") {
  const QueueScheduler scheduler;
  const auto order =
      scheduler.order(Now, {rankOf(0, milliseconds(200), milliseconds(150)),
                            rankOf(0, Duration{}, milliseconds(10))});
  CHECK(order == std::vector<std::size_t>{1, 0});
}
