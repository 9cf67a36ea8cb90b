// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "soak/RouteJudge.h"

#include <algorithm>

namespace stepledge::soak {

namespace {

/// A route is served this long after the acknowledgement of its change, and a
/// VM refuses what it had for no longer: four seconds, from the users' rules.
constexpr std::chrono::milliseconds Bound(4000);
/// What the time since the look before counts at most. A machine that holds up
/// the judge or the VMs so stretches the bound and changes no verdict.
constexpr std::chrono::milliseconds MostOfLook(100);

} // namespace

bool RouteJudge::Count::isOver(Clock::time_point now) {
  if (At != Clock::time_point{})
    Waited += std::min<Clock::duration>(now - At, MostOfLook);
  At = now;
  if (Waited <= Bound)
    return false;
  *this = {};
  return true;
}

void RouteJudge::harmed(Clock::time_point now) {
  Missing = {now, {}};
  Refused = {now, {}};
  Wanted = 0;
  Served = 0;
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
  if (!Missing.isOver(now))
    return std::nullopt;
  return Vm + " doesn't serve route " + std::to_string(Wanted) +
         " four seconds after it was acknowledged";
}

std::optional<std::string> RouteJudge::usedExisting(Clock::time_point now,
                                                    bool isDone,
                                                    const std::string &answer) {
  if (isDone) {
    Refused = {now, {}};
    return std::nullopt;
  }
  if (!Refused.isOver(now))
    return std::nullopt;
  return Vm + " has refused a route that it had for four seconds, at last: " +
         answer;
}

} // namespace stepledge::soak
