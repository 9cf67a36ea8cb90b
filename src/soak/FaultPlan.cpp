// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "soak/FaultPlan.h"

#include <random>

namespace stepledge::soak {

namespace {

constexpr std::int64_t FirstMs = 2000;
/// Between the starts of two faults, at most; they last longer, so some
/// overlap.
constexpr std::int64_t MostGapMs = 1800;
constexpr std::int64_t LeastLastsMs = 300;
constexpr std::int64_t MostLastsMs = 4000;
/// A wiped disk needs time to be filled again; sooner, another one is more than
/// the group bears.
constexpr std::int64_t WipeGapMs = 8000;
/// A VM must take itself for cut off, or stop, and act on it for some seconds.
constexpr std::int64_t FirstFaultsMs = 8000;
/// Sessions are under way on the long ways before the stop.
constexpr std::int64_t StopAfterMs = 1000;
/// From a stop to the answers' being kept back: before sessions at rest are
/// closed, so that they wait instead.
constexpr std::int64_t HoldAfterMs = 1500;
/// Until after the kill.
constexpr std::int64_t HoldLastsMs = 3000;
/// A seed draws from the kinds before this one; the others are asked for.
constexpr std::size_t DrawnKinds = FaultNames.size() - 6;
static_assert(FaultNames[DrawnKinds].Value == FaultKind::LongWays);

/// From one replacement of a control VM to the next: what a successor has to
/// catch up, and up to twice that.
constexpr std::int64_t LeastReplacementGapMs = 5000;
constexpr std::int64_t ReplacementGapSpreadMs = 6000;
/// From a control VM's end to the start of its successor.
constexpr std::int64_t MostSuccessorDelayMs = 2000;

/// Control VMs that are replaced, and the loss of power at the end.
std::vector<PlannedFault> planReplacements(std::uint64_t seed,
                                           std::chrono::milliseconds length,
                                           int replacements) {
  std::mt19937_64 random(seed);
  std::vector<PlannedFault> plan;
  std::int64_t at = FirstMs;
  for (int i = 0; i < replacements; ++i) {
    const auto delay =
        static_cast<std::int64_t>(random() % MostSuccessorDelayMs);
    plan.push_back({std::chrono::milliseconds(at),
                    std::chrono::milliseconds(delay), FaultKind::ReplaceControl,
                    random()});
    at += LeastReplacementGapMs +
          static_cast<std::int64_t>(random() % ReplacementGapSpreadMs);
  }
  plan.push_back({length, {}, FaultKind::LosePower, random()});
  return plan;
}

/// Above the time in which a successor has to catch up.
constexpr std::int64_t OutlivedAfterMs = 6000;
/// From the end of the one that led to the loss of another one's disk.
constexpr std::int64_t WipedAfterMs = 3500;

std::vector<PlannedFault> planOutlivedControl(std::uint64_t seed) {
  const std::chrono::milliseconds begin(FirstMs);
  const std::chrono::milliseconds lasts(OutlivedAfterMs);
  const std::chrono::milliseconds wipedAfter(WipedAfterMs);
  return {{begin, lasts, FaultKind::OutliveControl, seed},
          {begin + lasts + wipedAfter, {}, FaultKind::WipeControl, seed}};
}

bool isWipe(FaultKind kind) { return kind == FaultKind::WipeControl; }

} // namespace

std::vector<PlannedFault> planFaults(std::uint64_t seed,
                                     std::chrono::milliseconds length,
                                     FirstFaults first) {
  if (first.ReplacesControls)
    return planReplacements(seed, length, first.Replacements);
  if (first.OutlivesControl)
    return planOutlivedControl(seed);
  std::mt19937_64 random(seed);
  std::vector<PlannedFault> plan;
  std::int64_t wipedAt = -WipeGapMs;
  std::int64_t drawnFrom = FirstMs;
  const std::chrono::milliseconds begin(FirstMs);
  const std::chrono::milliseconds lasts(FirstFaultsMs);
  if (first.isAny())
    drawnFrom += FirstFaultsMs;
  if (first.CutsOff || first.Stops)
    plan.push_back({begin, lasts, FaultKind::LongWays, 0});
  if (first.CutsOff)
    plan.push_back({begin, lasts, FaultKind::CutOffEntries, 0});
  const auto stopAt = begin + std::chrono::milliseconds(StopAfterMs);
  if (first.Stops || first.StopsAtItsLimit)
    plan.push_back({stopAt, {}, FaultKind::StopEntry, seed});
  if (first.StopsAtItsLimit)
    plan.push_back({stopAt + std::chrono::milliseconds(HoldAfterMs),
                    std::chrono::milliseconds(HoldLastsMs),
                    FaultKind::HoldAnswers, 0});
  for (std::int64_t at = drawnFrom; at < length.count() - MostLastsMs;
       at += static_cast<std::int64_t>(random() % MostGapMs)) {
    PlannedFault fault;
    fault.At = std::chrono::milliseconds(at);
    fault.Lasts = std::chrono::milliseconds(
        LeastLastsMs +
        static_cast<std::int64_t>(random() % (MostLastsMs - LeastLastsMs)));
    fault.Kind = FaultNames[random() % DrawnKinds].Value;
    fault.Target = random();
    if (isWipe(fault.Kind) && at - wipedAt < WipeGapMs)
      fault.Kind = FaultKind::KillControl;
    if (isWipe(fault.Kind))
      wipedAt = at;
    plan.push_back(fault);
  }
  return plan;
}

} // namespace stepledge::soak
