// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "soak/RouteJudge.h"

#include <algorithm>

namespace stepledge::soak {

namespace {

/// A route is served this long after the acknowledgement of its change: four
/// seconds, from the users' rules.
constexpr std::chrono::milliseconds ServedBound(4000);
/// A VM refuses what it had for no longer than this, which is ten refusals in a
/// row or more: a single one may come of a line that was full for a moment.
constexpr std::chrono::milliseconds RefusedBound(1000);
/// What the time since the look before counts at most. A machine that holds up
/// the judge or the VMs so stretches the bound and changes no verdict.
constexpr std::chrono::milliseconds MostOfLook(100);

} // namespace

bool RouteJudge::Count::isOver(Clock::time_point now, Clock::duration bound) {
  if (At != Clock::time_point{})
    Waited += std::min<Clock::duration>(now - At, MostOfLook);
  At = now;
  if (Waited <= bound)
    return false;
  *this = {};
  return true;
}

void RouteJudge::harmed(Clock::time_point now) {
  Missing = {now, {}};
  Wanted = 0;
  Served = 0;
  othersHarmed(now);
}

void RouteJudge::othersHarmed(Clock::time_point now) {
  Refused = {now, {}};
  WasUsed = false;
}

int RouteJudge::wanted(int acknowledged) {
  if (Served == Wanted)
    Wanted = acknowledged;
  return Wanted;
}

std::optional<std::string> RouteJudge::looked(Clock::time_point now,
                                              bool isServed) {
  if (isServed) {
    Served = Wanted;
    Missing = {now, {}};
    return std::nullopt;
  }
  if (!Missing.isOver(now, ServedBound))
    return std::nullopt;
  return Vm + " doesn't serve route " + std::to_string(Wanted) +
         " four seconds after it was acknowledged";
}

std::optional<std::string> RouteJudge::usedExisting(Clock::time_point now,
                                                    bool isDone,
                                                    const std::string &answer) {
  if (isDone) {
    Refused = {now, {}};
    WasUsed = true;
  }
  if (!WasUsed || isDone)
    return std::nullopt;
  if (!Refused.isOver(now, RefusedBound))
    return std::nullopt;
  return Vm +
         " has refused a route that it had for a second, at last: " + answer;
}

} // namespace stepledge::soak
