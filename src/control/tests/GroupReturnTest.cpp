// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file After a control group was killed, each of its members notifies entry
/// VMs as soon as it is back, and never of a state that is being replayed.

#include "control/tests/FakeControls.h"

#include <doctest/doctest.h>

#include <set>
#include <string>

using namespace stepledge;
using namespace stepledge::control;
using control::tests::FakeControls;

namespace {

constexpr const char *EntryIp = "10.0.1.1";
/// How long callers can go without any configuration once the group could lead.
constexpr Duration NoticeLimit = milliseconds(150);
constexpr std::uint64_t NewestVersion = 9;

peer::wire::Hello entryHello() {
  peer::wire::Hello hello;
  hello.set_kind(peer::wire::ENTRY);
  hello.set_ip(EntryIp);
  return hello;
}

void putVersions(FakeControls &group) {
  group.run(milliseconds(1500));
  for (std::uint64_t version = 1; version <= NewestVersion; ++version) {
    group.node(0).putConfiguration(group.now(), version,
                                   "document " + std::to_string(version),
                                   [](bool) {});
    group.run(milliseconds(300));
  }
}

/// The members that have sent the newest state to the entry VM; none may report
/// an older one as fresh.
std::set<std::size_t> restartAndCollectFresh(FakeControls &group) {
  std::set<std::size_t> fresh;
  group.OnSentToEntry = [&](std::size_t vm, const std::string &ip,
                            const peer::wire::Message &message) {
    CHECK(ip == EntryIp);
    if (!message.notice().is_fresh())
      return;
    CHECK(message.notice().configuration_version() == NewestVersion);
    fresh.insert(vm);
  };
  group.restartAll();
  for (std::size_t vm = 0; vm < 3; ++vm)
    group.connectPeer(EntryIp, vm, entryHello());
  group.run(NoticeLimit);
  group.OnSentToEntry = nullptr;
  return fresh;
}

} // namespace

TEST_CASE("GroupReturn_EveryMemberNotifiesEntryVmsAtOnce") {
  FakeControls group;
  putVersions(group);
  constexpr int Restarts = 40;
  int inTime = 0;
  for (int i = 0; i < Restarts; ++i) {
    inTime += restartAndCollectFresh(group).size() == 3;
    group.run(milliseconds(1000));
  }
  INFO("restarts of ", Restarts, " reported by all in time: ", inTime);
  CHECK(inTime == Restarts);
}

TEST_CASE("GroupReturn_LateMemberFindsTheLeaderAtOnce") {
  FakeControls group;
  putVersions(group);
  int notified = 0;
  // At ten offsets between two heartbeats.
  for (std::int64_t place = 0; place < 100; place += 10) {
    const std::size_t late = (group.leader() + 1) % 3;
    group.disconnect(late);
    group.kill(late);
    group.run(milliseconds(1000 + place));
    group.start(late);
    group.connectPeer(EntryIp, late, entryHello());
    group.reconnect(late);
    bool isNotified = false;
    group.OnSentToEntry = [&](std::size_t vm, const std::string &,
                              const peer::wire::Message &message) {
      isNotified |= vm == late && message.notice().is_fresh();
    };
    group.run(milliseconds(50));
    group.OnSentToEntry = nullptr;
    notified += isNotified;
  }
  CHECK(notified == 10);
}
