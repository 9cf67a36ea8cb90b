// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Judges one entry VM by probes: whether it serves the routes of
/// acknowledged changes in time, and goes on with those it has.

#ifndef STEPLEDGE_SOAK_ROUTEJUDGE_H
#define STEPLEDGE_SOAK_ROUTEJUDGE_H

#include <chrono>
#include <optional>
#include <string>
#include <utility>

namespace stepledge::soak {

class RouteJudge {
public:
  using Clock = std::chrono::steady_clock;

  explicit RouteJudge(std::string vm) : Vm(std::move(vm)) {}

  /// A look at a path that is harmed; what was counted and served is void.
  void harmed(Clock::time_point now);
  /// A look at the route that wanted() names; gives the fault, if it is one.
  std::optional<std::string> looked(Clock::time_point now, bool isServed);
  /// A look while others are harmed whom a statement passes; what was used is
  /// void.
  void othersHarmed(Clock::time_point now);
  /// A look at a route that the VM has had since its start; it is a fault to
  /// refuse it for long once it was used without harm.
  std::optional<std::string> usedExisting(Clock::time_point now, bool isDone,
                                          const std::string &answer);
  /// The count of routes whose last one is looked for next: it stays until that
  /// one is served, however many changes follow.
  int wanted(int acknowledged);
  bool isWaiting() const { return Served != Wanted; }
  int served() const { return Served; }

private:
  /// Time that counts: see the constants.
  struct Count {
    Clock::time_point At{};
    Clock::duration Waited{};
    bool isOver(Clock::time_point now, Clock::duration bound);
  };

  std::string Vm;
  Count Missing;
  Count Refused;
  bool WasUsed = false;
  int Wanted = 0;
  int Served = 0;
};

} // namespace stepledge::soak

#endif // STEPLEDGE_SOAK_ROUTEJUDGE_H
