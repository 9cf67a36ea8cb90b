// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Which VMs are homes while the lists of VMs differ.

#include "quota/QuotaHomes.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::quota;

namespace {

const HallId TheHall("h");
const OrganisationId TheOrganisation("o");
constexpr int Vms = 12;

std::string ipOf(int vm) { return "10.0.0." + std::to_string(vm); }

std::vector<membership::EntryVm>
listWithout(const std::set<std::string> &left) {
  std::vector<membership::EntryVm> entries;
  for (int i = 0; i < Vms; ++i)
    if (!left.contains(ipOf(i)))
      entries.push_back({ipOf(i), TheHall});
  return entries;
}

/// The homes among 12 VMs that are all connected.
QuotaHomes connectedHomes() {
  QuotaHomes homes(8);
  for (int i = 0; i < Vms; ++i)
    homes.connected(ipOf(i));
  homes.setEntries(listWithout({}));
  return homes;
}

std::string firstHome(const QuotaHomes &homes) {
  return homes.homesOf(TheHall, TheOrganisation).front();
}

} // namespace

TEST_CASE("QuotaHomes_DepartedHomeStaysWhileItIsConnected") {
  auto homes = connectedHomes();
  const auto first = firstHome(homes);
  homes.setEntries(listWithout({first}));
  CHECK(firstHome(homes) == first);
  CHECK(homes.hallOf(first) == TheHall);
  // A later list doesn't change that.
  homes.setEntries(listWithout({first}));
  CHECK(firstHome(homes) == first);
  homes.disconnected(first);
  CHECK(firstHome(homes) != first);
  CHECK_FALSE(homes.hallOf(first));
}

TEST_CASE("QuotaHomes_DepartedHomeThatDoesNotAnswerIsNone") {
  auto homes = connectedHomes();
  const auto first = firstHome(homes);
  homes.setEntries(listWithout({first}));
  homes.unavailable(first);
  CHECK(firstHome(homes) != first);
  homes.setEntries(listWithout({first}));
  CHECK(firstHome(homes) != first);
  homes.setEntries(listWithout({}));
  CHECK(firstHome(homes) == first);
}

TEST_CASE("QuotaHomes_HomeThatEndsIsNoneWhicheverIsToldFirst") {
  auto homes = connectedHomes();
  const auto first = firstHome(homes);
  homes.disconnected(first);
  homes.setEntries(listWithout({first}));
  CHECK(firstHome(homes) != first);
}

TEST_CASE("QuotaHomes_VmsWithAndWithoutTheCutOffOnesChooseTheSame") {
  const auto whole = connectedHomes();
  std::set<std::string> cutOff;
  for (int i = 0; i < Vms; i += 2)
    cutOff.insert(ipOf(i));
  auto shortened = connectedHomes();
  shortened.setEntries(listWithout(cutOff));
  for (int i = 0; i < 100; ++i) {
    const OrganisationId organisation("o" + std::to_string(i));
    CHECK(shortened.homesOf(TheHall, organisation) ==
          whole.homesOf(TheHall, organisation));
  }
}
