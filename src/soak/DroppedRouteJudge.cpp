// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "soak/DroppedRouteJudge.h"

#include <algorithm>

namespace stepledge::soak {

namespace {

using std::chrono::milliseconds;

/// The users' bounds: a change is in force so long after its acknowledgement,
constexpr milliseconds AppliedBound(3000);
/// longer by this while control VMs are replaced one by one,
constexpr milliseconds OuterBound(12000);
/// at machines that were not harmed for so long;
constexpr milliseconds TouchTime(4000);
/// and a VM that has shown a version goes back behind it for no longer.
constexpr milliseconds ReturnBound(250);

std::string inMs(RouteLedger::Clock::duration it) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(it).count()) +
         " ms";
}

} // namespace

std::optional<std::string> DroppedRouteJudge::ran(const RunByRoute &run,
                                                  const Touch &touch) {
  if (auto fault = judgeOld(run, touch))
    return fault;
  return judgeReturn(run);
}

std::optional<std::string> DroppedRouteJudge::judgeOld(const RunByRoute &run,
                                                       const Touch &touch) {
  const auto droppedAt = Ledger.droppedAt(run.Route);
  if (!droppedAt || *droppedAt >= run.SentAt)
    return std::nullopt;
  const auto late = run.SentAt - *droppedAt;
  Latest = std::max(Latest, late);
  const bool isCalm = run.SentAt - touch.VmUntil >= TouchTime;
  const bool isCoreCalm = run.SentAt - touch.ControlUntil >= TouchTime;
  const bool hadMajority = touch.MajorityUntil <= *droppedAt;
  const bool isInTouch = isCalm && isCoreCalm;
  if (isInTouch)
    LatestInTouch = std::max(LatestInTouch, late);
  const bool isLate =
      (isInTouch && late > AppliedBound) ||
      (isCalm && hadMajority && late > AppliedBound + OuterBound);
  if (!isLate)
    return std::nullopt;
  return Vm + " runs a statement of " + run.Route + " as only version " +
         std::to_string(Ledger.spanOf(run.Route).Last) + " or older allows, " +
         inMs(late) + " after a newer one was acknowledged";
}

std::optional<std::string>
DroppedRouteJudge::judgeReturn(const RunByRoute &run) {
  const auto span = Ledger.spanOf(run.Route);
  if (run.Life != SeenLife) {
    SeenLife = run.Life;
    SeenVersion = 0;
  }
  if (span.First > SeenVersion) {
    SeenVersion = span.First;
    SeenAt = run.SentAt;
  }
  const bool isBack = span.Last < SeenVersion && !run.IsInTransaction &&
                      run.SentAt - SeenAt > ReturnBound;
  if (!isBack)
    return std::nullopt;
  return Vm + " goes back from version " + std::to_string(SeenVersion) +
         " to run a statement of " + run.Route + ", which none after " +
         std::to_string(span.Last) + " has";
}

} // namespace stepledge::soak
