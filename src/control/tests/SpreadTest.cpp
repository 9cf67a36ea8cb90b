// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A change of the configuration is acknowledged once the entry VMs work
/// by it, and not much later where one of them doesn't.

#include "control/tests/FakeControls.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>

using namespace stepledge;
using namespace stepledge::control;
using control::tests::FakeControls;

namespace {

constexpr const char *FirstIp = "10.0.1.1";
constexpr const char *SecondIp = "10.0.1.2";
/// Between the entry VM's last request and its report.
constexpr Duration FetchTime = milliseconds(50);
/// A caller of an operator waits so long.
constexpr Duration CallerTime = milliseconds(1000);

struct Spreading {
  Spreading() {
    Group.run(milliseconds(1500));
    for (const auto *ip : {FirstIp, SecondIp})
      connect(ip, 0);
  }

  void connect(const std::string &ip, std::size_t vm) {
    peer::wire::Hello hello;
    hello.set_kind(peer::wire::ENTRY);
    hello.set_ip(ip);
    Group.connectPeer(ip, vm, hello);
  }

  void hold(const std::string &ip, std::size_t vm, std::uint64_t version) {
    peer::wire::Message message;
    message.mutable_configuration_held()->set_version(version);
    Group.sendFromPeer(ip, vm, message);
  }

  void change(std::uint64_t version) {
    Group.node(0).putConfiguration(Group.now(), version, "document",
                                   [this](bool done) { Answer = done; });
  }

  FakeControls Group;
  std::optional<bool> Answer;
};

} // namespace

TEST_CASE_FIXTURE(Spreading, "Acknowledged_OnceAllEntryVmsWorkByTheChange") {
  hold(FirstIp, 0, 1);
  hold(SecondIp, 0, 1);
  change(2);
  Group.run(FetchTime);
  CHECK_FALSE(Answer);
  hold(FirstIp, 0, 2);
  Group.run(FetchTime);
  CHECK_FALSE(Answer);
  hold(SecondIp, 0, 2);
  CHECK(Answer == true);
}

TEST_CASE_FIXTURE(Spreading, "Acknowledged_AlthoughAnEntryVmIsSilent") {
  hold(FirstIp, 0, 1);
  change(2);
  Group.run(CallerTime);
  CHECK(Answer == true);
}

TEST_CASE_FIXTURE(Spreading, "Acknowledged_WhereTheEntryVmBehindIsLost") {
  hold(FirstIp, 0, 1);
  change(2);
  Group.run(FetchTime);
  CHECK_FALSE(Answer);
  Group.disconnectPeer(FirstIp, 0);
  Group.run(milliseconds(10));
  CHECK(Answer == true);
}

TEST_CASE_FIXTURE(Spreading, "Acknowledged_AtOnceWhereAllHoldALaterVersion") {
  hold(FirstIp, 0, 5);
  hold(SecondIp, 0, 5);
  change(2);
  Group.run(FetchTime);
  CHECK(Answer == true);
}

TEST_CASE_FIXTURE(Spreading, "Acknowledged_AtOnceWhereNoEntryVmTellsIt") {
  change(2);
  Group.run(FetchTime);
  CHECK(Answer == true);
}

TEST_CASE_FIXTURE(Spreading, "Acknowledged_BeforeTheProgramEnds") {
  hold(FirstIp, 0, 1);
  change(2);
  Group.run(FetchTime);
  Group.node(0).endCalls();
  CHECK(Answer == true);
}

TEST_CASE_FIXTURE(Spreading, "Spread_RequestForWhatIsHeldIsAnswered") {
  change(2);
  Group.run(milliseconds(1000));
  Group.sentTo(FirstIp).clear();
  peer::wire::Message message;
  message.mutable_configuration_request()->set_fetch(7);
  message.mutable_configuration_request()->set_held_version(2);
  Group.sendFromPeer(FirstIp, 0, message);
  const auto &sent = Group.sentTo(FirstIp);
  REQUIRE(!sent.empty());
  CHECK(sent.back().configuration_part().fetch() == 7);
  CHECK(sent.back().configuration_part().total() == 0);
}
