// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The limit on concurrent statements at an instance that other VMs use
/// too, adapted to answer times.

#include "proxy/internal/InstanceConcurrencyLimit.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::proxy;

namespace {

constexpr int Max = 4;

} // namespace

TEST_CASE("InstanceConcurrencyLimit_FallsIfOtherVmsFillTheQueue") {
  // Six times the usual time: a queue that this VM's own statements don't
  // cause.
  InstanceConcurrencyLimit limit(Max);
  for (int i = 0; i < 60; ++i)
    limit.noteAnswer(6.0, 1);
  CHECK(limit.limit() == 1);
  CHECK(limit.congestion() > 4.0);
}

TEST_CASE("InstanceConcurrencyLimit_RisesAgainOnceTheQueueIsGone") {
  InstanceConcurrencyLimit limit(Max);
  for (int i = 0; i < 60; ++i)
    limit.noteAnswer(6.0, 1);
  for (int i = 0; i < 80; ++i)
    limit.noteAnswer(1.0, limit.limit());
  CHECK(limit.limit() == Max);
}

TEST_CASE("InstanceConcurrencyLimit_OrdinaryVariationDoesNotLowerTheLimit") {
  InstanceConcurrencyLimit limit(Max);
  for (int i = 0; i < 200; ++i)
    limit.noteAnswer(i % 2 == 0 ? 0.3 : 2.2, 2);
  CHECK(limit.limit() == Max);
}

TEST_CASE("InstanceConcurrencyLimit_LastingSlownessBecomesUsual") {
  // A permanently slower instance must not stay limited to one statement.
  InstanceConcurrencyLimit limit(Max);
  for (int i = 0; i < 3000; ++i)
    limit.noteAnswer(6.0, 1);
  CHECK(limit.congestion() < 3.0);
}
