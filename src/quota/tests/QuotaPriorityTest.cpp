// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Tests of what callers of each priority get when an organisation asks
/// for more than its quota, and of what the organisation gets in total.

#include "quota/tests/SimulatedQuotas.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::quota::tests;

namespace {

constexpr int Orders = 0;
constexpr int Browsing = 2;

/// Operators set a rate at 1.6 times the usual use, of which 0.42 are orders.
constexpr double OrderShare = 0.42;

double usualRate(double rate) { return rate / 1.6; }

std::vector<SimulatedLoad> usualLoad(double rate) {
  const double usual = usualRate(rate);
  return {{Orders, OrderShare * usual}, {Browsing, (1 - OrderShare) * usual}};
}

/// Eight times the usual use in total, and 2.4 times the usual orders.
std::vector<SimulatedLoad> excessLoad(double rate) {
  const double orders = 2.4 * OrderShare * usualRate(rate);
  return {{Orders, orders}, {Browsing, 8 * usualRate(rate) - orders}};
}

constexpr Duration RunTime = milliseconds(20000);
constexpr double RunSeconds = 20;

} // namespace

TEST_CASE("QuotaPriority_OrdersAreServedWhileBrowsingIsRefused") {
  for (const double rate : {30.0, 120.0, 600.0}) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      CAPTURE(rate);
      CAPTURE(seed);
      SimulatedQuotas it(seed, 3, 8, rate, rate);
      it.runAll(milliseconds(4000), usualLoad(rate));
      it.runAll(RunTime, excessLoad(rate));
      CHECK(it.refused(Orders) * 50 <= it.asked(Orders));
      CHECK(it.refused(Browsing) > 0);
    }
  }
}

TEST_CASE("QuotaPriority_OrdersOfOneHallGoBeforeBrowsingInAllHalls") {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    CAPTURE(seed);
    SimulatedQuotas it(seed, 3, 4, 120, 120);
    it.runAll(milliseconds(4000), usualLoad(120));
    // Half of all clients use one VM, so its hall needs more than its part for
    // its orders.
    it.runAll(RunTime, excessLoad(120), 0.5);
    CHECK(it.refused(Orders) * 50 <= it.asked(Orders));
  }
}

TEST_CASE("QuotaPriority_NoReserveAfterALossOfPower") {
  // Clients return with all the requests that they have deferred, for a second
  // and a half: as much is granted as if all requests had one priority.
  for (const double rate : {30.0, 120.0, 600.0}) {
    CAPTURE(rate);
    int granted[2] = {0, 0};
    for (const bool isOnePriority : {false, true}) {
      for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        SimulatedQuotas it(seed, 3, 8, rate, rate);
        auto loads = usualLoad(rate);
        if (isOnePriority)
          loads = {{Orders, usualRate(rate)}};
        it.runAll(milliseconds(3000), loads);
        it.restartAll();
        it.run(milliseconds(500), 0);
        const int before = it.asked() - it.refused();
        for (auto &load : loads)
          load.PerSecond *= 3;
        it.runAll(milliseconds(1500), loads);
        granted[isOnePriority] += it.asked() - it.refused() - before;
      }
    }
    CHECK(granted[0] * 100 >= granted[1] * 97);
  }
}

TEST_CASE("QuotaPriority_UsualUseAfterALossOfPowerIsServed") {
  // Without priorities no request is refused here; the reserve for urgent
  // requests must not change that.
  for (const double rate : {30.0, 120.0, 600.0}) {
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
      CAPTURE(rate);
      CAPTURE(seed);
      SimulatedQuotas it(seed, 3, 8, rate, rate);
      it.runAll(milliseconds(3000), usualLoad(rate));
      it.restartAll();
      it.run(milliseconds(500), 0);
      const int refused = it.refused();
      it.runAll(milliseconds(1500), usualLoad(rate));
      CHECK(it.refused() == refused);
    }
  }
}

TEST_CASE("QuotaPriority_NoReserveWithinTheRate") {
  for (const double rate : {10.0, 60.0, 300.0}) {
    CAPTURE(rate);
    SimulatedQuotas even(2, 3, 8, rate, rate);
    even.run(milliseconds(3000), 0);
    even.runAll(RunTime, usualLoad(rate));
    CHECK(even.refused() <= even.asked() / 100);
    SimulatedQuotas uneven(3, 3, 8, rate, rate);
    uneven.run(milliseconds(3000), 0);
    uneven.runAll(RunTime, usualLoad(rate), 1.0 / 3);
    CHECK(uneven.refused() <= uneven.asked() / 50);
  }
}

TEST_CASE("QuotaPriority_OperationsUnusedByUrgentRequestsGoToTheOthers") {
  for (const double rate : {30.0, 120.0, 600.0}) {
    CAPTURE(rate);
    SimulatedQuotas it(5, 3, 8, rate, rate);
    it.runAll(milliseconds(4000), excessLoad(rate));
    // The orders end, and the reserve for them is lent again.
    it.runAll(milliseconds(3000), {{Browsing, 5 * rate}});
    const int granted = it.granted(Browsing);
    it.runAll(RunTime, {{Browsing, 5 * rate}});
    CHECK(it.granted(Browsing) - granted >= 0.97 * rate * RunSeconds);
  }
}

TEST_CASE("QuotaPriority_SteadyDemandOverTheRateGetsTheWholeRate") {
  for (const double rate : {10.0, 60.0, 300.0}) {
    for (const double firstVmFraction : {0.0, 0.5, 1.0}) {
      for (const bool isMixed : {false, true}) {
        CAPTURE(rate);
        CAPTURE(firstVmFraction);
        CAPTURE(isMixed);
        SimulatedQuotas it(6, 3, 8, rate, rate);
        it.run(milliseconds(4000), 0);
        const double each = isMixed ? 0.75 * rate : 0;
        it.runAll(milliseconds(60000),
                  {{Orders, each}, {Browsing, 1.5 * rate - each}},
                  firstVmFraction);
        CHECK(it.granted() >= 0.97 * rate * 60 + rate);
        CHECK(it.refused(Orders) * 50 <= it.asked(Orders));
      }
    }
  }
}

TEST_CASE("QuotaPriority_CallersThatReturnAfterTheirDelayAreServed") {
  for (const double rate : {30.0, 120.0, 600.0}) {
    for (const int priority : {Orders, Browsing}) {
      CAPTURE(rate);
      CAPTURE(priority);
      SimulatedQuotas it(7, 3, 8, rate, rate);
      // Callers return at most four times.
      it.setMaxReturns(4);
      it.runAll(milliseconds(4000), usualLoad(rate));
      // Two seconds' worth of the rate arrive in a tenth of a second, of which
      // the burst serves about one.
      const int granted = it.granted();
      const int before = it.asked();
      it.runAll(milliseconds(100), {{priority, 20 * rate}});
      const int callers = it.asked() - before;
      it.run(milliseconds(5000), 0);
      const int served = it.granted() - granted;
      CAPTURE(callers);
      CHECK(served >= 2 * rate * 0.9);
      CHECK(it.asked() - before <= 3 * callers);
    }
  }
}
