// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "control/internal/GroupHealthReport.h"

#include "absl/strings/str_cat.h"

#include <utility>

namespace stepledge::control {

namespace {

/// Longer than elections take.
constexpr Duration LeaderlessLimit = milliseconds(2000);
constexpr Duration LineInterval = milliseconds(5000);

std::string linkText(const peer::LinkState &link) {
  return absl::StrCat(
      " link=", std::string(nameIn(peer::LinkSideNames, link.Side)), "/",
      toMilliseconds(link.SilentFor), link.CarriesMessages ? "/sends" : "");
}

/// Tells what a decision of the group has to do with the voter.
std::string setText(const consensus::VoterHealth &voter) {
  std::string text = voter.IsWiped ? " wiped=1" : "";
  if (!voter.IsOld)
    text += " set=next";
  return text;
}

} // namespace

std::optional<std::string>
GroupHealthReport::line(TimePoint now, const consensus::GroupHealth &health) {
  const bool isIncomplete = health.WithoutLeader > LeaderlessLimit ||
                            !health.HasMajority ||
                            (health.Leads && health.silentCount() > 0);
  if (!isIncomplete) {
    const auto since = std::exchange(IncompleteSince, std::nullopt);
    NextLineAt = now;
    if (!since)
      return std::nullopt;
    return absl::StrCat("event=group_complete after_ms=",
                        toMilliseconds(now - *since));
  }
  if (!IncompleteSince)
    IncompleteSince = now;
  if (now < NextLineAt)
    return std::nullopt;
  NextLineAt = now + LineInterval;
  return describe(health);
}

std::string
GroupHealthReport::describe(const consensus::GroupHealth &health) const {
  std::string text = absl::StrCat(
      "event=group_incomplete leads=", health.Leads, " term=", health.Term,
      " commit=", health.Commit, " last=", health.LastIndex,
      " voters=", health.Voters.size(), " wiped=", health.wipedCount(),
      " has_majority=", health.HasMajority,
      " without_leader_ms=", toMilliseconds(health.WithoutLeader));
  for (const auto &it : health.Voters)
    text += voterText(it);
  for (const auto &it : health.Spares)
    text += absl::StrCat(" spare=", it.Number, " ip=", it.Ip,
                         " silent_ms=", toMilliseconds(it.SilentFor),
                         " match=", it.Match);
  return text;
}

std::string
GroupHealthReport::voterText(const consensus::VoterHealth &voter) const {
  if (!voter.IsSilent)
    return absl::StrCat(" voter=", voter.Number, " ip=", voter.Ip,
                        setText(voter));
  std::string text =
      absl::StrCat(" silent=", voter.Number, " ip=", voter.Ip,
                   " silent_ms=", toMilliseconds(voter.SilentFor),
                   " match=", voter.Match, setText(voter));
  for (const auto &link : Links(voter.Ip))
    text += linkText(link);
  return text;
}

} // namespace stepledge::control
