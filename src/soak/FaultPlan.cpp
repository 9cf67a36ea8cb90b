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

bool isWipe(FaultKind kind) { return kind == FaultKind::WipeControl; }

} // namespace

std::vector<PlannedFault> planFaults(std::uint64_t seed,
                                     std::chrono::milliseconds length) {
  std::mt19937_64 random(seed);
  std::vector<PlannedFault> plan;
  std::int64_t wipedAt = -WipeGapMs;
  for (std::int64_t at = FirstMs; at < length.count() - MostLastsMs;
       at += static_cast<std::int64_t>(random() % MostGapMs)) {
    PlannedFault fault;
    fault.At = std::chrono::milliseconds(at);
    fault.Lasts = std::chrono::milliseconds(
        LeastLastsMs +
        static_cast<std::int64_t>(random() % (MostLastsMs - LeastLastsMs)));
    fault.Kind = FaultNames[random() % FaultNames.size()].Value;
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
