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

} // namespace

std::optional<std::string>
GroupHealthReport::line(TimePoint now, const consensus::GroupHealth &health) {
  const bool isIncomplete = health.WithoutLeader > LeaderlessLimit ||
                            (health.Leads && !health.SilentVoters.empty());
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
  std::string text =
      absl::StrCat("event=group_incomplete leads=", health.Leads,
                   " term=", health.Term, " commit=", health.Commit,
                   " last=", health.LastIndex, " voters=", health.Voters,
                   " without_leader_ms=", toMilliseconds(health.WithoutLeader));
  for (const auto &it : health.SilentVoters) {
    absl::StrAppend(&text, " silent=", it.Number, " ip=", it.Ip,
                    " silent_ms=", toMilliseconds(it.SilentFor),
                    " match=", it.Match);
    for (const auto &link : Links(it.Ip))
      text += linkText(link);
  }
  return text;
}

} // namespace stepledge::control
