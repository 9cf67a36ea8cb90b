// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Which voters are planned, and that no plan asks for more machines than
/// the group could do without before.

#include "consensus/internal/VoterPlan.h"

#include <doctest/doctest.h>

#include <set>

using namespace stepledge;
using namespace stepledge::consensus;

namespace {

wire::Member memberOf(std::uint64_t number, const std::string &ip,
                      const std::string &hall = {}) {
  wire::Member member;
  member.set_number(number);
  member.set_ip(ip);
  member.set_hall(hall);
  return member;
}

/// \p count voters with numbers and addresses from 1 on, in halls of their own.
VoterCandidates votersOf(std::uint64_t count) {
  VoterCandidates candidates;
  for (std::uint64_t i = 1; i <= count; ++i)
    candidates.Voters.push_back(
        {memberOf(i, std::to_string(i), std::to_string(i)), VoterLoss::None});
  return candidates;
}

void addSpare(VoterCandidates &candidates, std::uint64_t number,
              const std::string &ip, const std::string &hall) {
  candidates.Spares.push_back(memberOf(number, ip, hall));
}

/// The planned numbers; empty if the voters stay.
std::set<std::uint64_t> plan(const VoterCandidates &candidates, int target) {
  std::set<std::uint64_t> numbers;
  if (const auto voters = planVoters(candidates, target))
    for (const auto &it : *voters)
      numbers.insert(it.number());
  return numbers;
}

using Numbers = std::set<std::uint64_t>;

} // namespace

TEST_CASE("VoterPlan_LostVoterIsReplacedInOneChange") {
  for (const auto loss :
       {VoterLoss::Wiped, VoterLoss::Leaving, VoterLoss::Silent}) {
    auto candidates = votersOf(3);
    candidates.Voters[2].Loss = loss;
    CHECK(plan(candidates, 3) == Numbers{});
    addSpare(candidates, 13, "3", "3");
    CHECK(plan(candidates, 3) == Numbers{1, 2, 13});
  }
}

TEST_CASE("VoterPlan_MostUrgentLossGetsTheOnlySpare") {
  auto candidates = votersOf(5);
  candidates.Voters[1].Loss = VoterLoss::Silent;
  candidates.Voters[2].Loss = VoterLoss::Wiped;
  addSpare(candidates, 9, "9", "9");
  CHECK(plan(candidates, 5) == Numbers{1, 2, 4, 5, 9});
}

TEST_CASE("VoterPlan_GrowsByOddSizesOnly") {
  // A fourth voter needs a majority of three and bears no more losses.
  auto candidates = votersOf(3);
  addSpare(candidates, 4, "4", "4");
  CHECK(plan(candidates, 5) == Numbers{});
  addSpare(candidates, 5, "5", "5");
  CHECK(plan(candidates, 5) == Numbers{1, 2, 3, 4, 5});
  auto even = votersOf(4);
  addSpare(even, 5, "5", "5");
  CHECK(plan(even, 5) == Numbers{1, 2, 3, 4, 5});
}

TEST_CASE("VoterPlan_SurplusLosesOnlyLostVoters") {
  auto candidates = votersOf(4);
  CHECK(plan(candidates, 3) == Numbers{});
  candidates.Voters[1].Loss = VoterLoss::Wiped;
  CHECK(plan(candidates, 3) == Numbers{1, 3, 4});
}

TEST_CASE("VoterPlan_OneMachineIsNeverTwoVoters") {
  // The new number of a machine whose old one isn't known to be lost.
  auto candidates = votersOf(2);
  addSpare(candidates, 12, "2", "2");
  CHECK(plan(candidates, 3) == Numbers{});
  candidates.Voters[1].Loss = VoterLoss::Wiped;
  CHECK(plan(candidates, 3) == Numbers{1, 12});
}

TEST_CASE("VoterPlan_SpareOfTheHallWithFewestVotersIsPreferred") {
  auto candidates = votersOf(3);
  candidates.Voters[0].Loss = VoterLoss::Silent;
  addSpare(candidates, 7, "7", "2");
  addSpare(candidates, 8, "8", "4");
  CHECK(plan(candidates, 3) == Numbers{2, 3, 8});
}

TEST_CASE("VoterPlan_SuspectedVoterIsReplacedWhereTheVotersStayInAsManyHalls") {
  auto candidates = votersOf(3);
  candidates.Voters[2].Loss = VoterLoss::Suspected;
  addSpare(candidates, 11, "11", "1");
  CHECK(plan(candidates, 3) == Numbers{});
  addSpare(candidates, 13, "13", "3");
  CHECK(plan(candidates, 3) == Numbers{1, 2, 13});
  candidates.Spares.pop_back();
  addSpare(candidates, 14, "14", "4");
  CHECK(plan(candidates, 3) == Numbers{1, 2, 14});
  candidates.Voters[2].Loss = VoterLoss::Silent;
  candidates.Spares.pop_back();
  CHECK(plan(candidates, 3) == Numbers{1, 2, 11});
}

TEST_CASE("VoterPlan_SuspectedVoterIsNoSurplus") {
  auto candidates = votersOf(5);
  candidates.Voters[2].Loss = VoterLoss::Suspected;
  CHECK(plan(candidates, 3) == Numbers{});
  candidates.Voters[2].Loss = VoterLoss::Silent;
  CHECK(plan(candidates, 3) == Numbers{1, 2, 4, 5});
}
