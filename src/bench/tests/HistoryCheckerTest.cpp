// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

// The checker catches each kind of breach when it is planted.

#include "bench/HistoryChecker.h"
#include "bench/internal/Quantiles.h"

#include <doctest/doctest.h>

using namespace stepledge::bench;

TEST_CASE("HistoryChecker_CatchesALostRow") {
  WriteHistory history;
  history.told("a", Told::Ran);
  CHECK(history.check({"a"}).none());
  CHECK(history.check({}).Lost == 1);
}

TEST_CASE("HistoryChecker_CatchesADoubledRow") {
  WriteHistory history;
  history.told("a", Told::Unknown);
  CHECK(history.check({}).none());
  CHECK(history.check({"a"}).none());
  CHECK(history.check({"a", "a"}).Doubled == 1);
}

TEST_CASE("HistoryChecker_CatchesADishonestRefusal") {
  WriteHistory history;
  history.told("a", Told::NotRun);
  CHECK(history.check({}).none());
  CHECK(history.check({"a"}).Dishonest == 1);
}

TEST_CASE("HistoryChecker_CatchesDataThatIsTooOld") {
  CounterHistory history;
  history.acknowledged(1, 10.0);
  history.acknowledged(2, 11.0);
  CHECK_FALSE(history.isTooOld(1, 11.5, 1.0));
  CHECK(history.isTooOld(1, 12.5, 1.0));
  CHECK(history.isTooOld(0, 11.5, 1.0));
  CHECK_FALSE(history.isTooOld(0, 10.5, 1.0));
}

TEST_CASE("Quantiles_OfAFew") {
  CHECK(quantile({}, 0.5) == 0);
  CHECK(quantile({3, 1, 2}, 0.5) == 2);
  CHECK(quantile({3, 1, 2}, 1.0) == 3);
}
