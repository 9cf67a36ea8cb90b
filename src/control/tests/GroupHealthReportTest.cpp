// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A group that lacks a leader or a voter says so while it lasts.

#include "control/internal/GroupHealthReport.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::control;

namespace {

const TimePoint Start(milliseconds(10000));
constexpr const char *VoterIp = "10.0.0.3";

consensus::GroupHealth lackingAVoter() {
  consensus::GroupHealth health;
  health.Leads = true;
  consensus::VoterHealth voter;
  voter.Number = 7;
  voter.Ip = VoterIp;
  voter.IsOld = true;
  voter.IsSilent = true;
  voter.SilentFor = milliseconds(1500);
  voter.Match = 15;
  health.Voters.push_back(voter);
  return health;
}

std::vector<peer::LinkState> ownLink(const std::string &ip) {
  CHECK(ip == VoterIp);
  return {{peer::LinkSide::Own, milliseconds(9000), true}};
}

} // namespace

TEST_CASE("GroupHealthReport_SilentVoterIsNamedWithItsConnections") {
  GroupHealthReport report(ownLink);
  const auto line = report.line(Start, lackingAVoter());
  REQUIRE(line);
  CHECK(line->find("silent=7 ip=10.0.0.3 silent_ms=1500 match=15 "
                   "link=own/9000/sends") != std::string::npos);
}

TEST_CASE("GroupHealthReport_LineIsRepeatedAtABoundedRate") {
  GroupHealthReport report(ownLink);
  int lines = 0;
  for (Duration at{}; at < milliseconds(60000); at += milliseconds(20))
    lines += report.line(Start + at, lackingAVoter()).has_value();
  CHECK(lines == 12);
  const auto end = report.line(Start + milliseconds(60000), {});
  CHECK(end == "event=group_complete after_ms=60000");
  CHECK_FALSE(report.line(Start + milliseconds(60020), {}));
}

TEST_CASE("GroupHealthReport_LostMajorityIsToldWithTheWipedVoters") {
  GroupHealthReport report(ownLink);
  auto health = lackingAVoter();
  health.Leads = false;
  health.HasMajority = false;
  health.Voters[0].IsWiped = true;
  health.Voters[0].IsOld = false;
  const auto line = report.line(Start, health);
  REQUIRE(line);
  CHECK(line->find("voters=1 wiped=1 has_majority=0") != std::string::npos);
  CHECK(line->find("match=15 wiped=1 set=next") != std::string::npos);
}

TEST_CASE("GroupHealthReport_SparesAreToldWithWhatTheyHave") {
  GroupHealthReport report(ownLink);
  auto health = lackingAVoter();
  health.Spares.push_back({9, "10.0.0.9", milliseconds(2100), 4});
  const auto line = report.line(Start, health);
  REQUIRE(line);
  CHECK(line->find("spare=9 ip=10.0.0.9 silent_ms=2100 match=4") !=
        std::string::npos);
}

TEST_CASE("GroupHealthReport_ElectionIsNoStandstill") {
  GroupHealthReport report(ownLink);
  consensus::GroupHealth health;
  health.WithoutLeader = milliseconds(1500);
  CHECK_FALSE(report.line(Start, health));
  health.WithoutLeader = milliseconds(2500);
  CHECK(report.line(Start + milliseconds(1000), health));
}
