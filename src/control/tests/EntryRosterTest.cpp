// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Which entry VMs the notices list, and the size of the notices.

#include "control/EntryRoster.h"

#include "control/tests/FakeControls.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::control;
using control::tests::FakeControls;

namespace {

constexpr int Vms = 70;

std::string ipOf(int vm) { return "10.1.0." + std::to_string(vm); }

void connect(FakeControls &group, const std::string &ip) {
  peer::wire::Hello hello;
  hello.set_ip(ip);
  hello.set_hall("hall-a");
  hello.set_kind(peer::wire::ENTRY);
  group.node(0).peerConnected(ip, hello);
}

} // namespace

TEST_CASE("EntryRoster_ListsEachChangeOnce") {
  EntryRoster roster;
  roster.join("10.1.0.1", "a");
  roster.join("10.1.0.2", "b");
  peer::wire::Notice first;
  roster.listChanges(first);
  CHECK(first.entries_joined_size() == 2);
  peer::wire::Notice second;
  roster.listChanges(second);
  CHECK(second.ByteSizeLong() == 0);
  roster.leave("10.1.0.1");
  peer::wire::Notice third;
  roster.listChanges(third);
  REQUIRE(third.entries_left_size() == 1);
  CHECK(third.entries_left(0) == "10.1.0.1");
  CHECK(third.entries_joined_size() == 0);
}

TEST_CASE("EntryRoster_ReconnectedVmIsNoChange") {
  EntryRoster roster;
  roster.join("10.1.0.1", "a");
  peer::wire::Notice first;
  roster.listChanges(first);
  roster.leave("10.1.0.1");
  roster.join("10.1.0.1", "a");
  peer::wire::Notice second;
  roster.listChanges(second);
  CHECK(second.ByteSizeLong() == 0);
}

TEST_CASE("Control_NewEntryVmAndTheOthersAreListedToEachOther") {
  FakeControls group;
  group.run(milliseconds(1500));
  connect(group, ipOf(1));
  group.run(milliseconds(300));
  group.sentTo(ipOf(1)).clear();
  connect(group, ipOf(2));
  REQUIRE(!group.sentTo(ipOf(2)).empty());
  CHECK(group.sentTo(ipOf(2)).back().notice().entries_size() == 2);
  group.run(milliseconds(300));
  int joined = 0;
  for (const auto &it : group.sentTo(ipOf(1)))
    for (const auto &vm : it.notice().entries_joined())
      joined += vm.ip() == ipOf(2);
  CHECK(joined == 1);
}

TEST_CASE("Control_NoticeSizeDoesNotGrowWithTheNumberOfEntryVms") {
  FakeControls group;
  group.run(milliseconds(1500));
  for (int vm = 0; vm < Vms; ++vm)
    connect(group, ipOf(vm));
  group.run(milliseconds(1000));
  group.sentTo(ipOf(0)).clear();
  group.run(milliseconds(10000));
  std::size_t bytes = 0;
  for (const auto &it : group.sentTo(ipOf(0)))
    bytes += it.ByteSizeLong();
  // Ten seconds without a change: 7,615 bytes if each full notice lists all
  // VMs, 310 if not.
  CHECK(bytes < 1000);
}
