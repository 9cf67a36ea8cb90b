// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Judges one entry VM by the statements that it runs: whether it still
/// uses a route that an acknowledged change has dropped, or goes back to one.

#ifndef STEPLEDGE_SOAK_DROPPEDROUTEJUDGE_H
#define STEPLEDGE_SOAK_DROPPEDROUTEJUDGE_H

#include "soak/RouteLedger.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace stepledge::soak {

/// Until when the machines on a change's way to a VM were harmed.
struct Touch {
  using Clock = RouteLedger::Clock;
  /// The VM itself.
  Clock::time_point VmUntil{};
  /// Any control VM.
  Clock::time_point ControlUntil{};
  /// More than one control VM at once.
  Clock::time_point MajorityUntil{};
};

/// A statement that was run.
struct RunByRoute {
  using Clock = RouteLedger::Clock;
  std::string Route;
  /// When the statement, or the BEGIN of its transaction, was sent.
  Clock::time_point SentAt{};
  /// The process that ran it: the VM's starts are counted.
  int Life = 0;
  /// Inside a transaction that had begun before.
  bool IsInTransaction = false;
};

class DroppedRouteJudge {
public:
  using Clock = RouteLedger::Clock;

  DroppedRouteJudge(std::string vm, const RouteLedger &ledger)
      : Vm(std::move(vm)), Ledger(ledger) {}

  /// The fault, if \p run is one.
  std::optional<std::string> ran(const RunByRoute &run, const Touch &touch);
  /// The longest from an acknowledgement to a statement by a route that it had
  /// dropped, wherever; and of VMs in touch.
  Clock::duration latest() const { return Latest; }
  Clock::duration latestInTouch() const { return LatestInTouch; }

private:
  std::optional<std::string> judgeOld(const RunByRoute &run,
                                      const Touch &touch);
  std::optional<std::string> judgeReturn(const RunByRoute &run);

  std::string Vm;
  const RouteLedger &Ledger;
  /// The newest version that this life of the VM must have, since when.
  std::uint64_t SeenVersion = 0;
  Clock::time_point SeenAt{};
  int SeenLife = 0;
  Clock::duration Latest{};
  Clock::duration LatestInTouch{};
};

} // namespace stepledge::soak

#endif // STEPLEDGE_SOAK_DROPPEDROUTEJUDGE_H
