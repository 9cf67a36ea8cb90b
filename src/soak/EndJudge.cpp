// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "soak/EndJudge.h"

namespace stepledge::soak {

namespace {

/// A statement sent so shortly before the end may have crossed it.
constexpr std::chrono::milliseconds Slack(200);
/// A disturbance excuses ends for so long after it.
constexpr std::chrono::milliseconds Aftermath(5000);

std::string millisecondsOf(EndJudge::Clock::duration time) {
  using std::chrono::milliseconds;
  return std::to_string(
             std::chrono::duration_cast<milliseconds>(time).count()) +
         " ms";
}

} // namespace

void EndJudge::disturbed(const std::string &vm, Clock::time_point until) {
  Excuses.note(vm, until + Aftermath);
}

std::optional<std::string> EndJudge::ended(const UnansweredEnd &end) {
  ++Seen;
  const auto outstanding = end.EndedAt - end.SentAt;
  if (outstanding <= Slack || Excuses.isHarmed(end.EndedAt, end.Vm))
    return std::nullopt;
  ++Found;
  return end.Vm + " ended the connection of client " + end.Client + " at " +
         millisecondsOf(end.EndedAt - Start) + ", " +
         millisecondsOf(outstanding) + " after statement " + end.Statement +
         " that it didn't answer";
}

} // namespace stepledge::soak
