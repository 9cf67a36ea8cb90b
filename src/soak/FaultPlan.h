// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The faults of a soak, in series and overlapping, all from one seed.

#ifndef STEPLEDGE_SOAK_FAULTPLAN_H
#define STEPLEDGE_SOAK_FAULTPLAN_H

#include "base/NameTable.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <vector>

namespace stepledge::soak {

enum class FaultKind {
  KillEntry,
  KillControl,
  WipeControl,
  StopEntry,
  PauseEntry,
  PauseControl,
  ReloadAll,
  DelayVm,
  SilenceVm,
  CutVmOneWay,
  ResetVm,
  SilenceInstance,
  CutInstanceFromSome,
  ResetInstance,
  LagInstance,
  /// What comes to the entry VMs and goes from them is long on its way.
  LongWays,
  /// Entry VMs hear neither control VMs nor instances.
  CutOffEntries,
  /// Instances run clients' statements and keep the answers back.
  HoldAnswers,
  /// A control VM goes for good without a word; as the fault ends, an empty one
  /// at another address has started in its place.
  ReplaceControl,
  /// An empty control VM starts at another address; as the fault ends, the one
  /// that leads goes for good without a word.
  OutliveControl,
  /// A control VM loses its disk and all others their power, right after an
  /// acknowledgement.
  LosePower,
};

constexpr auto FaultNames = std::to_array<NameEntry<FaultKind>>({
    {FaultKind::KillEntry, "kill_entry"},
    {FaultKind::KillControl, "kill_control"},
    {FaultKind::WipeControl, "wipe_control"},
    {FaultKind::StopEntry, "stop_entry"},
    {FaultKind::PauseEntry, "pause_entry"},
    {FaultKind::PauseControl, "pause_control"},
    {FaultKind::ReloadAll, "reload_all"},
    {FaultKind::DelayVm, "delay_vm"},
    {FaultKind::SilenceVm, "silence_vm"},
    {FaultKind::CutVmOneWay, "cut_vm_one_way"},
    {FaultKind::ResetVm, "reset_vm"},
    {FaultKind::SilenceInstance, "silence_instance"},
    {FaultKind::CutInstanceFromSome, "cut_instance_from_some"},
    {FaultKind::ResetInstance, "reset_instance"},
    {FaultKind::LagInstance, "lag_instance"},
    {FaultKind::LongWays, "long_ways"},
    {FaultKind::CutOffEntries, "cut_off_entries"},
    {FaultKind::HoldAnswers, "hold_answers"},
    {FaultKind::ReplaceControl, "replace_control"},
    {FaultKind::OutliveControl, "outlive_control"},
    {FaultKind::LosePower, "lose_power"},
});

constexpr std::string_view nameOf(FaultKind kind) {
  return nameIn(FaultNames, kind);
}

struct PlannedFault {
  std::chrono::milliseconds At{};
  std::chrono::milliseconds Lasts{};
  FaultKind Kind = FaultKind::KillEntry;
  /// Picks the VM or instance, modulo their number.
  std::uint64_t Target = 0;
};

/// What is played before the drawn faults; nothing where all are false.
struct FirstFaults {
  /// All entry VMs are cut off, while statements are long on their way.
  bool CutsOff = false;
  /// An entry VM stops as planned, while statements are long on their way.
  bool Stops = false;
  /// An entry VM stops as planned, and statements wait as it comes to its
  /// limit.
  bool StopsAtItsLimit = false;

  /// Control VMs are replaced in series, and at last a disk is lost while all
  /// others lose power; nothing else is played.
  bool ReplacesControls = false;
  /// How many, one after the other.
  int Replacements = 2;
  /// The leading control VM goes once its successor has caught up, and then
  /// another one loses its disk; nothing else is played.
  bool OutlivesControl = false;
  /// At the end the power may go before the change is acknowledged, and
  /// machines start up to four seconds apart, at times all of one kind first.
  bool IsStaggered = false;
  /// At the end each entry VM keeps its power or not, and some that keep it
  /// stand still from before the last change until after the end.
  bool HasUnevenEnd = false;

  bool isAny() const { return CutsOff || Stops || StopsAtItsLimit; }
};

/// Faults from the second second until some time before \p length is over.
std::vector<PlannedFault> planFaults(std::uint64_t seed,
                                     std::chrono::milliseconds length,
                                     FirstFaults first);

} // namespace stepledge::soak

#endif // STEPLEDGE_SOAK_FAULTPLAN_H
