// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Homes of instances: all VMs agree on them, the connection limit holds,
/// load is spread, and a VM that leaves moves only its own part.

#include "membership/HomeTable.h"

#include <doctest/doctest.h>

#include <vector>

#include <set>

#include <algorithm>
#include <map>
#include <random>
#include <string>

using namespace stepledge;
using namespace stepledge::membership;

namespace {

std::vector<EntryVm> vms(int count, int halls) {
  std::vector<EntryVm> entries;
  entries.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i)
    entries.push_back(
        {"10.1." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1),
         HallId("hall" + std::to_string(i % halls))});
  return entries;
}

/// The VMs that are a home of \p instance by their own calculation.
std::vector<std::string> homesOf(const std::vector<EntryVm> &entries,
                                 const std::string &instance,
                                 const std::string &hall, int usable) {
  std::vector<std::string> homes;
  for (const auto &it : entries) {
    HomeTable table(it.Ip);
    table.setEntries(entries);
    const auto share = table.share(usable);
    if (table.isHome(InstanceId(instance), HallId(hall), share))
      homes.push_back(it.Ip);
  }
  return homes;
}

} // namespace

TEST_CASE("HomeTable_SharesNeverExceedTheLimit") {
  std::mt19937_64 random(7);
  for (int i = 0; i < 60; ++i) {
    const int usable = 1 + static_cast<int>(random() % 120);
    const auto entries = vms(1 + static_cast<int>(random() % 90),
                             1 + static_cast<int>(random() % 4));
    const auto homes = homesOf(entries, "i-" + std::to_string(random()),
                               entries.front().Hall.str(), usable);
    HomeTable table(entries.front().Ip);
    const auto share = table.share(usable);
    CHECK(!homes.empty());
    CHECK(static_cast<int>(homes.size()) <= share.Homes);
    CHECK(share.Homes * share.Connections + share.NonHomes <= usable);
  }
}

TEST_CASE("HomeTable_HomesAreInTheInstancesHall") {
  const auto entries = vms(70, 3);
  const auto homes = homesOf(entries, "i-1", "hall1", 49);
  CHECK(homes.size() == 6);
  for (const auto &it : entries)
    if (std::find(homes.begin(), homes.end(), it.Ip) != homes.end())
      CHECK(it.Hall == HallId("hall1"));
}

TEST_CASE("HomeTable_BorrowersAskHomesFirstAndSpreadOverThem") {
  const auto entries = vms(70, 3);
  const auto homes = homesOf(entries, "i-1", "hall1", 49);
  std::map<std::string, int> firstChoices;
  for (const auto &it : entries) {
    HomeTable table(it.Ip);
    table.setEntries(entries);
    const auto &lenders =
        table.lenders(InstanceId("i-1"), HallId("hall1"), table.share(49));
    CHECK(std::find(lenders.begin(), lenders.end(), it.Ip) == lenders.end());
    // Six homes and seven non-homes, without the VM itself.
    CHECK(lenders.size() >= 12);
    CHECK(std::find(homes.begin(), homes.end(), lenders.front()) !=
          homes.end());
    ++firstChoices[lenders.front()];
  }
  CHECK(firstChoices.size() == 6);
  for (const auto &[ip, n] : firstChoices)
    CHECK(n < 30);
}

TEST_CASE("HomeTable_ALostVmMovesOnlyItsOwnPart") {
  const auto before = vms(70, 3);
  int moved = 0;
  for (int i = 0; i < 24; ++i) {
    const std::string instance = "i-" + std::to_string(i);
    const auto old = homesOf(before, instance, "hall0", 49);
    auto after = before;
    std::erase_if(after, [&](const auto &it) { return it.Ip == before[3].Ip; });
    const auto now = homesOf(after, instance, "hall0", 49);
    const bool wasHome =
        std::find(old.begin(), old.end(), before[3].Ip) != old.end();
    for (const auto &it : now)
      moved += std::find(old.begin(), old.end(), it) == old.end() && !wasHome;
  }
  CHECK(moved == 0);
}

TEST_CASE("HomeTable_SharingIsNeededWhereConnectionsAreFewerThanVms") {
  HomeTable table("10.1.0.1");
  table.setEntries(vms(9, 3));
  CHECK(!table.isSharingNeeded(19));
  table.setEntries(vms(70, 3));
  CHECK(table.isSharingNeeded(49));
  CHECK(!table.isSharingNeeded(263));
}

TEST_CASE("HomeTable_EvenSharesAddUpToAllConnections") {
  std::mt19937_64 random(11);
  for (int i = 0; i < 60; ++i) {
    const int count = 1 + static_cast<int>(random() % 30);
    const int connections = count + static_cast<int>(random() % 60);
    const auto entries = vms(count, 3);
    const InstanceId instance("i-" + std::to_string(random()));
    int sum = 0;
    int most = 0;
    int least = connections;
    for (const auto &it : entries) {
      HomeTable table(it.Ip);
      table.setEntries(entries);
      const int share =
          table.evenShare(instance, entries.front().Hall, connections);
      sum += share;
      most = std::max(most, share);
      least = std::min(least, share);
    }
    CHECK(sum == connections);
    CHECK(most - least <= 1);
  }
}

TEST_CASE("HomeTable_RemainderGoesToTheInstancesHallFirst") {
  const auto entries = vms(7, 3);
  // Three VMs are in the first hall, and three connections are left over.
  for (const auto &it : entries) {
    HomeTable table(it.Ip);
    table.setEntries(entries);
    const int share =
        table.evenShare(InstanceId("i-1"), entries.front().Hall, 10);
    CHECK(share == (it.Hall == entries.front().Hall ? 2 : 1));
  }
}

TEST_CASE("HomeTable_RemainderBeyondTheHallDiffersByInstance") {
  const auto entries = vms(8, 3);
  std::map<std::string, int> extras;
  for (int i = 0; i < 30; ++i)
    for (const auto &it : entries) {
      HomeTable table(it.Ip);
      table.setEntries(entries);
      const InstanceId instance("i-" + std::to_string(i));
      if (table.evenShare(instance, HallId("elsewhere"), 11) > 1)
        ++extras[it.Ip];
    }
  CHECK(extras.size() == entries.size());
}

TEST_CASE("HomeTable_EvenShareFollowsTheListOfVms") {
  const auto few = vms(4, 1);
  HomeTable table(few.front().Ip);
  const InstanceId instance("i-1");
  const HallId hall = few.front().Hall;
  table.setEntries(few);
  CHECK(table.evenShare(instance, hall, 40) == 10);
  table.setEntries(vms(20, 1));
  CHECK(table.evenShare(instance, hall, 40) == 2);
  // The remainder is assigned by the rank in the current list of VMs.
  int sum = 0;
  for (const auto &it : few) {
    HomeTable own(it.Ip);
    own.setEntries(vms(20, 1));
    CHECK(own.evenShare(instance, hall, 42) >= 2);
    own.setEntries(few);
    sum += own.evenShare(instance, hall, 42);
  }
  CHECK(sum == 42);
}

TEST_CASE("HomeTable_AllVmsAskTheSameHomeForAnOrganisation") {
  const auto entries = vms(30, 3);
  const HallId hall = entries.front().Hall;
  const HomeShare share{4, 4, 7};
  std::map<std::string, int> firstFor;
  for (int i = 0; i < 80; ++i) {
    const OrganisationId organisation("o" + std::to_string(i));
    std::set<std::vector<std::string>> homes;
    std::set<std::vector<std::string>> nonHomes;
    for (const auto &it : entries) {
      HomeTable table(it.Ip);
      table.setEntries(entries);
      homes.insert(table.homesOf(InstanceId("i-1"), hall, share, organisation));
      nonHomes.insert(
          table.nonHomesOf(InstanceId("i-1"), hall, share, organisation));
    }
    REQUIRE(homes.size() == 1);
    REQUIRE(nonHomes.size() == 1);
    CHECK(homes.begin()->size() == 4);
    CHECK(nonHomes.begin()->size() == 7);
    ++firstFor[homes.begin()->front()];
  }
  // Each of the four is the first choice of many organisations.
  CHECK(firstFor.size() == 4);
  for (const auto &[ip, n] : firstFor)
    CHECK(n >= 10);
}
