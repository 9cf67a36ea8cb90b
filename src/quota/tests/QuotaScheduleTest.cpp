// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Seeded fault schedules: if VMs are partitioned, paused, restarted or
/// have different VM lists, no more operations run in any window than the
/// operator tolerates.

#include "quota/tests/SimulatedQuotas.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::quota::tests;

namespace {

constexpr Duration Window = milliseconds(5000);

/// The operations that the operator tolerates in one window: a tenth and 20
/// operations more than the limit.
double allowed(double rate, double burst) {
  const std::chrono::duration<double> window = Window;
  return (rate * window.count() + burst) * 1.1 + 20;
}

/// A random time of at least \p leastMs, and less than \p spreadMs more.
Duration randomTime(SimulatedQuotas &it, std::int64_t leastMs,
                    std::uint64_t spreadMs) {
  return milliseconds(leastMs +
                      static_cast<std::int64_t>(it.random()() % spreadMs));
}

void injectFault(SimulatedQuotas &it, bool &isPartitioned) {
  const std::size_t vm = it.random()() % it.size();
  switch (it.random()() % 6) {
  case 0:
    isPartitioned = !isPartitioned;
    return it.partitionFirstHall(isPartitioned);
  case 1:
    return it.restart(vm);
  case 2:
    return it.pause(vm, randomTime(it, 200, 4000));
  case 3:
    return it.setListed(vm, false);
  case 4:
    return it.setListed(vm, true);
  default:
    return it.restartAll();
  }
}

} // namespace

TEST_CASE("QuotaSchedule_FloodNeverExceedsTheLimit") {
  for (std::uint64_t seed = 1; seed <= 24; ++seed) {
    const double rate = seed % 3 == 0 ? 6 : seed % 3 == 1 ? 30 : 150;
    CAPTURE(seed);
    CAPTURE(rate);
    SimulatedQuotas it(seed, 3, 5, rate, rate);
    bool isPartitioned = false;
    it.run(milliseconds(4000), 0);
    for (int i = 0; i < 12; ++i) {
      it.run(randomTime(it, 300, 1500), 3 * rate);
      injectFault(it, isPartitioned);
    }
    CHECK(it.maxIn(Window) <= allowed(rate, rate));
  }
}

TEST_CASE("QuotaSchedule_AllVmsRestartDuringAFlood") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    CAPTURE(seed);
    SimulatedQuotas it(seed, 3, 5, 100, 100);
    it.run(milliseconds(4000), 0);
    for (int i = 0; i < 5; ++i) {
      it.run(milliseconds(900), 300);
      it.restartAll();
    }
    it.run(milliseconds(3000), 300);
    CHECK(it.maxIn(Window) <= allowed(100, 100));
  }
}

TEST_CASE("QuotaSchedule_FloodOfSeveralPrioritiesNeverExceedsTheLimit") {
  for (std::uint64_t seed = 101; seed <= 124; ++seed) {
    const double rate = seed % 3 == 0 ? 6 : seed % 3 == 1 ? 30 : 150;
    CAPTURE(seed);
    CAPTURE(rate);
    SimulatedQuotas it(seed, 3, 5, rate, rate);
    it.setMaxReturns(3);
    bool isPartitioned = false;
    it.run(milliseconds(4000), 0);
    for (int i = 0; i < 12; ++i) {
      // The requests and the VMs that get them change with each fault.
      const double urgent = static_cast<double>(it.random()() % 20) / 10;
      const double firstVmFraction = static_cast<double>(it.random()() % 3) / 2;
      it.runAll(randomTime(it, 300, 1500),
                {{0, urgent * rate}, {1, rate}, {3, 2 * rate}},
                firstVmFraction);
      injectFault(it, isPartitioned);
    }
    CHECK(it.maxIn(Window) <= allowed(rate, rate));
  }
}

TEST_CASE("QuotaSchedule_HomesRestartInSeriesDuringAFlood") {
  for (std::uint64_t seed = 201; seed <= 212; ++seed) {
    const double rate = seed % 2 == 0 ? 30 : 150;
    CAPTURE(seed);
    CAPTURE(rate);
    SimulatedQuotas it(seed, 3, 5, rate, rate);
    it.run(milliseconds(4000), 0);
    // Every VM restarts once within about a window; some are paused before, so
    // that answers reach them late.
    for (std::size_t vm = 0; vm < it.size(); ++vm) {
      it.runAll(randomTime(it, 100, 500), {{0, rate}, {2, 3 * rate}});
      it.pause(it.random()() % it.size(), randomTime(it, 100, 2000));
      it.restart(vm);
    }
    it.runAll(milliseconds(3000), {{0, rate}, {2, 3 * rate}});
    CHECK(it.maxIn(Window) <= allowed(rate, rate));
  }
}

namespace {

/// The rates that the seeds of the partitions take in turn.
double rateOf(std::uint64_t seed) {
  return seed % 3 == 0 ? 30 : seed % 3 == 1 ? 150 : 330;
}

void runUsualUse(SimulatedQuotas &it, Duration time, double rate) {
  it.runAll(time, {{0, 0.1 * rate}, {1, 0.5 * rate}});
}

/// Longer than a window.
void runFlood(SimulatedQuotas &it, double rate) {
  it.runAll(milliseconds(6500), {{0, rate}, {1, 4 * rate}});
}

} // namespace

TEST_CASE("QuotaSchedule_VmsWithDifferentListsKeepOnePartOnce") {
  for (std::uint64_t seed = 301; seed <= 312; ++seed) {
    const double rate = rateOf(seed);
    CAPTURE(seed);
    CAPTURE(rate);
    SimulatedQuotas it(seed, 4, 15, rate, rate);
    it.setMaxReturns(2);
    runUsualUse(it, milliseconds(6000), rate);
    it.cutHalfOffFromLists();
    runUsualUse(it, milliseconds(1500), rate);
    runFlood(it, rate);
    it.endCutOffFromLists();
    runFlood(it, rate);
    CHECK(it.maxIn(Window) <= allowed(rate, rate));
  }
}

TEST_CASE("QuotaSchedule_HalvesOfAllHallsShareOnePart") {
  for (std::uint64_t seed = 401; seed <= 412; ++seed) {
    const double rate = rateOf(seed);
    CAPTURE(seed);
    CAPTURE(rate);
    SimulatedQuotas it(seed, 4, 15, rate, rate);
    it.setMaxReturns(2);
    runUsualUse(it, milliseconds(6000), rate);
    it.partitionHalves(true);
    runUsualUse(it, milliseconds(2000), rate);
    // Control VMs reach one half and take the other out of its list.
    it.cutHalfOffFromLists();
    runUsualUse(it, milliseconds(500), rate);
    runFlood(it, rate);
    it.partitionHalves(false);
    it.endCutOffFromLists();
    runFlood(it, rate);
    CHECK(it.maxIn(Window) <= allowed(rate, rate));
  }
}
