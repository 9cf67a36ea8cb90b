// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A group of control VMs: it keeps what it has acknowledged, doesn't
/// answer while its state is uncertain, and replaces a lost primary.

#include "control/tests/FakeControls.h"

#include <doctest/doctest.h>

#include <optional>
#include <utility>

using namespace stepledge;
using namespace stepledge::control;
using control::tests::FakeControls;

namespace {

std::optional<bool> put(FakeControls &group, std::size_t vm,
                        std::uint64_t version, const std::string &document) {
  auto done = std::make_shared<std::optional<bool>>();
  group.node(vm).putConfiguration(group.now(), version, document,
                                  [done](bool ok) { *done = ok; });
  group.run(milliseconds(1200));
  return *done;
}

std::optional<std::string> read(FakeControls &group, std::size_t vm) {
  auto done = std::make_shared<std::optional<bool>>();
  auto &node = group.node(vm);
  std::string document;
  node.confirmNewest(group.now(), [done, &node, &document](bool ok) {
    *done = ok;
    document = node.document();
  });
  group.run(milliseconds(1200));
  if (!*done || !**done)
    return std::nullopt;
  return document;
}

membership::InstanceRecord instanceOf(const char *id, bool isPrimary,
                                      std::uint64_t sequence) {
  membership::InstanceRecord record;
  record.Id = InstanceId(id);
  record.Service = "db";
  record.Address = std::string("10.1.0.1:") + id;
  record.Role = isPrimary ? membership::InstanceRole::Primary
                          : membership::InstanceRole::Replica;
  record.Sequence = sequence;
  return record;
}

void sendHeartbeats(FakeControls &group, std::uint64_t sequence) {
  for (const auto &[id, isPrimary] :
       {std::pair("p", true), std::pair("r1", false), std::pair("r2", false)})
    group.node(group.leader())
        .receiveHeartbeat(group.now(), instanceOf(id, isPrimary, sequence),
                          [](bool) {});
  group.run(milliseconds(300));
}

/// An entry VM reports to the leader how long the primary has been silent.
void reportObservation(FakeControls &group, const std::string &entryIp,
                       std::uint64_t silentMs) {
  peer::wire::Message message;
  auto &observation = *message.mutable_sights()->add_sights();
  observation.set_service("db");
  observation.set_instance("p");
  observation.set_silent_ms(silentMs);
  group.node(group.leader()).setTime(group.now());
  group.node(group.leader()).peerSaid(entryIp, message);
}

/// An entry VM reports to the leader that its observations are unchanged.
void repeatObservations(FakeControls &group, const std::string &entryIp) {
  peer::wire::Message message;
  message.mutable_sights()->set_is_unchanged(true);
  group.node(group.leader()).setTime(group.now());
  group.node(group.leader()).peerSaid(entryIp, message);
}

} // namespace

TEST_CASE("Control_AnyVmAcceptsAConfiguration") {
  FakeControls group;
  group.run(milliseconds(1500));
  for (std::size_t vm = 0; vm < 3; ++vm)
    CHECK(put(group, vm, vm + 1, "document " + std::to_string(vm)) == true);
  for (std::size_t vm = 0; vm < 3; ++vm)
    CHECK(read(group, vm) == "document 2");
}

TEST_CASE("Control_HighestVersionWins") {
  FakeControls group;
  group.run(milliseconds(1500));
  CHECK(put(group, 0, 5, "five") == true);
  CHECK(put(group, 1, 4, "four") == true);
  CHECK(put(group, 2, 5, "another five") == true);
  CHECK(read(group, 0) == "five");
}

TEST_CASE("Control_IsolatedVmNeitherAcknowledgesNorReads") {
  FakeControls group;
  group.run(milliseconds(1500));
  CHECK(put(group, 0, 1, "one") == true);
  const std::size_t old = group.leader();
  group.isolate(old);
  group.run(milliseconds(2500));
  CHECK(put(group, old, 2, "two") == false);
  CHECK(!read(group, old));
  const std::size_t other = (old + 1) % 3;
  CHECK(put(group, other, 3, "three") == true);
  CHECK(read(group, other) == "three");
}

TEST_CASE("Control_RestartedVmsAnswerOnlyAfterReplayingTheLog") {
  // Guards against mistaking calls of an earlier incarnation, which are in the
  // log under the same VM, for new ones: they finished a new read in the middle
  // of the replay.
  FakeControls group;
  group.run(milliseconds(1500));
  for (std::uint64_t version = 1; version <= 12; ++version)
    CHECK(put(group, version % 3, version,
              "document " + std::to_string(version)) == true);
  for (std::size_t vm = 0; vm < 3; ++vm)
    group.kill(vm);
  for (std::size_t vm = 0; vm < 3; ++vm)
    group.start(vm);
  std::vector<std::string> seen;
  for (std::size_t vm = 0; vm < 3; ++vm)
    for (int i = 0; i < 20; ++i) {
      auto &node = group.node(vm);
      node.confirmNewest(group.now(), [&node, &seen](bool ok) {
        if (ok)
          seen.push_back(node.document());
      });
    }
  group.run(milliseconds(2000));
  for (const auto &it : seen)
    CHECK(it == "document 12");
  CHECK(read(group, 0) == "document 12");
}

TEST_CASE("Control_LeavingStateSurvivesARestart") {
  FakeControls group;
  group.run(milliseconds(1500));
  sendHeartbeats(group, 1);
  auto leaving = instanceOf("r1", false, 2);
  leaving.State = membership::InstanceState::Leaving;
  std::optional<bool> done;
  group.node(0).receiveHeartbeat(group.now(), leaving,
                                 [&done](bool ok) { done = ok; });
  group.run(milliseconds(500));
  CHECK(done == true);
  for (std::size_t vm = 0; vm < 3; ++vm)
    group.kill(vm);
  for (std::size_t vm = 0; vm < 3; ++vm)
    group.start(vm);
  group.run(milliseconds(2000));
  // An entry VM that connects receives this state, in spite of a late
  // heartbeat.
  group.node(1).receiveHeartbeat(group.now(), instanceOf("r1", false, 3),
                                 [](bool) {});
  peer::wire::Hello hello;
  hello.set_ip("10.5.0.1");
  group.sentTo("10.5.0.1").clear();
  group.node(1).peerConnected("10.5.0.1", hello);
  group.subscribeToInstances("10.5.0.1", 1, true);
  bool isLeaving = false;
  for (const auto &message : group.sentTo("10.5.0.1"))
    for (const auto &it : message.instances().instances())
      isLeaving |= it.id() == "r1" && it.state() == wire::LEAVING;
  CHECK(isLeaving);
}

TEST_CASE("Control_RestartedGroupKeepsItsInstances") {
  FakeControls group;
  group.run(milliseconds(1500));
  sendHeartbeats(group, 1);
  for (std::size_t vm = 0; vm < 3; ++vm)
    group.kill(vm);
  for (std::size_t vm = 0; vm < 3; ++vm)
    group.start(vm);
  group.run(milliseconds(2000));
  peer::wire::Hello hello;
  hello.set_ip("10.5.0.1");
  group.node(group.leader()).peerConnected("10.5.0.1", hello);
  group.subscribeToInstances("10.5.0.1", group.leader(), true);
  std::set<std::string> known;
  for (const auto &message : group.sentTo("10.5.0.1"))
    for (const auto &it : message.instances().instances())
      known.insert(it.id());
  CHECK(known == std::set<std::string>{"p", "r1", "r2"});
}

TEST_CASE("Control_LostPrimaryIsReplacedByTheMostAdvancedReplica") {
  FakeControls group;
  group.run(milliseconds(1500));
  sendHeartbeats(group, 1);
  group.Platform.Statuses[InstanceId("r1")] = {
      membership::InstanceRole::Replica, {{3}, {100}}, {3}};
  group.Platform.Statuses[InstanceId("r2")] = {
      membership::InstanceRole::Replica, {{3}, {140}}, {3}};
  group.Platform.Silent.insert(InstanceId("p"));
  for (int i = 0; i < 15; ++i) {
    reportObservation(group, "10.5.0.1", static_cast<std::uint64_t>(i) * 100);
    reportObservation(group, "10.5.0.2", static_cast<std::uint64_t>(i) * 100);
    group.run(milliseconds(100));
  }
  REQUIRE(!group.Platform.Orders.empty());
  CHECK(group.Platform.Orders.front().Instance == InstanceId("r2"));
  CHECK(group.Platform.Orders.front().Fence > 0);
}

TEST_CASE("Control_SubscribedEntryVmsReceiveInstances") {
  FakeControls group;
  group.run(milliseconds(1500));
  const auto vm = group.leader();
  const auto received = [&](const std::string &ip) {
    int n = 0;
    for (const auto &message : std::exchange(group.sentTo(ip), {}))
      n += message.instances().instances_size();
    return n;
  };
  peer::wire::Hello hello;
  for (const char *ip : {"10.5.0.1", "10.5.0.2"}) {
    hello.set_ip(ip);
    group.connectPeer(ip, vm, hello);
  }
  group.subscribeToInstances("10.5.0.1", vm, true);
  sendHeartbeats(group, 1);
  CHECK(received("10.5.0.1") == 3);
  CHECK(received("10.5.0.2") == 0);
  // A later subscriber receives all of them.
  group.subscribeToInstances("10.5.0.2", vm, true);
  CHECK(received("10.5.0.2") == 3);
  group.subscribeToInstances("10.5.0.1", vm, false);
  group.node(vm).receiveHeartbeat(group.now(), instanceOf("r1", true, 2),
                                  [](bool) {});
  group.run(milliseconds(300));
  CHECK(received("10.5.0.1") == 0);
  CHECK(received("10.5.0.2") == 1);
  // A new connection has no subscription yet.
  group.disconnectPeer("10.5.0.2", vm);
  group.connectPeer("10.5.0.2", vm, hello);
  group.node(vm).receiveHeartbeat(group.now(), instanceOf("r1", false, 3),
                                  [](bool) {});
  group.run(milliseconds(300));
  CHECK(received("10.5.0.2") == 0);
}

TEST_CASE("Control_ManyInstancesAreSentInFewMessages") {
  // Sent one by one, these were 1,000 messages to each entry VM.
  FakeControls group;
  group.run(milliseconds(1500));
  const auto vm = group.leader();
  peer::wire::Hello hello;
  hello.set_ip("10.5.0.1");
  group.connectPeer("10.5.0.1", vm, hello);
  group.subscribeToInstances("10.5.0.1", vm, true);
  group.sentTo("10.5.0.1").clear();
  for (int i = 0; i < 1000; ++i)
    group.node(vm).receiveHeartbeat(
        group.now(), instanceOf(std::to_string(i).c_str(), i % 3 == 0, 1),
        [](bool) {});
  group.run(milliseconds(300));
  std::set<std::string> known;
  int messages = 0;
  for (const auto &message : group.sentTo("10.5.0.1")) {
    messages += message.has_instances();
    for (const auto &it : message.instances().instances())
      known.insert(it.id());
  }
  CHECK(known.size() == 1000);
  CHECK(messages <= 5);
}

TEST_CASE("Control_PingsKeepWithinTheirRateAndSuspectsGoFirst") {
  // Without the limit, each would be pinged four times a second: 2,400 pings.
  constexpr int Services = 600;
  FakeControls group;
  group.run(milliseconds(1500));
  for (int i = 0; i < Services; ++i) {
    const std::string name = std::to_string(i);
    auto record = instanceOf(name.c_str(), true, 1);
    record.Service = "db" + name;
    group.node(group.leader()).receiveHeartbeat(group.now(), record, [](bool) {
    });
  }
  group.run(milliseconds(300));
  const InstanceId suspect("7");
  group.Platform.Silent.insert(suspect);
  group.run(milliseconds(4000));
  group.Platform.Pings.clear();
  group.run(milliseconds(4000));
  int all = 0;
  for (const auto &[id, n] : group.Platform.Pings)
    all += n;
  CHECK(group.Platform.Pings.size() == Services);
  CHECK(group.Platform.Pings[suspect] >= 14);
  CHECK(all - group.Platform.Pings[suspect] <= 4 * 200 + 50);
}

TEST_CASE("Control_PrimaryIsLostIfItsPresentObserversMissIt") {
  FakeControls group;
  group.run(milliseconds(1500));
  sendHeartbeats(group, 1);
  group.Platform.Statuses[InstanceId("r1")] = {
      membership::InstanceRole::Replica, {{3}, {100}}, {3}};
  // Many VMs have monitored the service and no longer do.
  for (int i = 10; i < 20; ++i) {
    const std::string ip = "10.5.1." + std::to_string(i);
    reportObservation(group, ip, 0);
    peer::wire::Message none;
    none.mutable_sights();
    group.node(group.leader()).peerSaid(ip, none);
  }
  group.Platform.Silent.insert(InstanceId("p"));
  for (int i = 0; i < 15; ++i) {
    reportObservation(group, "10.5.0.1", static_cast<std::uint64_t>(i) * 100);
    reportObservation(group, "10.5.0.2", static_cast<std::uint64_t>(i) * 100);
    group.run(milliseconds(100));
  }
  CHECK_FALSE(group.Platform.Orders.empty());
}

TEST_CASE("Control_PrimaryThatMostVmsReachIsNotReplaced") {
  FakeControls group;
  group.run(milliseconds(1500));
  sendHeartbeats(group, 1);
  group.Platform.Silent.insert(InstanceId("p"));
  for (int i = 0; i < 20; ++i) {
    reportObservation(group, "10.5.0.1", static_cast<std::uint64_t>(i) * 100);
    reportObservation(group, "10.5.0.2", 0);
    reportObservation(group, "10.5.0.3", 0);
    group.run(milliseconds(100));
  }
  CHECK(group.Platform.Orders.empty());
}

TEST_CASE("Control_UnchangedReportsRepeatTheLastOnes") {
  FakeControls group;
  group.run(milliseconds(1500));
  sendHeartbeats(group, 1);
  group.Platform.Silent.insert(InstanceId("p"));
  reportObservation(group, "10.5.0.2", 0);
  reportObservation(group, "10.5.0.3", 0);
  for (int i = 0; i < 30; ++i) {
    reportObservation(group, "10.5.0.1", static_cast<std::uint64_t>(i) * 100);
    repeatObservations(group, "10.5.0.2");
    repeatObservations(group, "10.5.0.3");
    group.run(milliseconds(100));
  }
  CHECK(group.Platform.Orders.empty());
}

TEST_CASE("Control_PrimaryAcrossAPartitionIsReplacedOnlyAfterLongSilence") {
  FakeControls group;
  group.run(milliseconds(1500));
  sendHeartbeats(group, 1);
  const auto report = [&group](const char *ip, std::uint64_t silentMs) {
    reportObservation(group, std::string("10.5.0.") + ip, silentMs);
  };
  for (const char *ip : {"1", "2", "3", "4", "5", "6"})
    report(ip, 0);
  // Four VMs become unreachable together with the primary; two VMs and control
  // miss it.
  group.Platform.Statuses[InstanceId("r1")] = {
      membership::InstanceRole::Replica, {{3}, {100}}, {3}};
  group.Platform.Silent.insert(InstanceId("p"));
  for (std::uint64_t i = 0; i < 50; ++i) {
    report("1", i * 100);
    report("2", i * 100);
    group.run(milliseconds(100));
  }
  CHECK(group.Platform.Orders.empty());
  // The primary stays unreachable, so it is finally replaced.
  for (std::uint64_t i = 50; i < 100; ++i) {
    report("1", i * 100);
    report("2", i * 100);
    group.run(milliseconds(100));
  }
  CHECK(!group.Platform.Orders.empty());
}

TEST_CASE("Control_SynchronousReplicasArePausedBeforeAPromotion") {
  FakeControls group;
  group.run(milliseconds(1500));
  CHECK(put(group, 0, 1, "sync") == true);
  sendHeartbeats(group, 1);
  group.Platform.Statuses[InstanceId("r1")] = {
      membership::InstanceRole::Replica, {{3}, {100}}, {3}};
  group.Platform.Silent.insert(InstanceId("p"));
  const auto reportSilence = [&group] {
    for (int i = 0; i < 20; ++i) {
      reportObservation(group, "10.5.0.1", 900);
      reportObservation(group, "10.5.0.2", 900);
      group.run(milliseconds(100));
    }
  };
  // A single replica may lack a commit that the other one let be acknowledged.
  reportSilence();
  CHECK(group.Platform.Orders.empty());
  CHECK(group.Platform.Paused.empty());
  group.Platform.Statuses[InstanceId("r2")] = {
      membership::InstanceRole::Replica, {{3}, {120}}, {3}};
  reportSilence();
  REQUIRE(!group.Platform.Orders.empty());
  CHECK(group.Platform.Orders.front().Instance == InstanceId("r2"));
}

TEST_CASE("Control_FencesIncreaseAcrossLeaders") {
  FakeControls group;
  group.run(milliseconds(1500));
  group.Platform.AnswersOrders = false;
  std::uint64_t last = 0;
  for (int round = 0; round < 3; ++round) {
    sendHeartbeats(group, static_cast<std::uint64_t>(round) + 1);
    group.Platform.Statuses[InstanceId("r1")] = {
        membership::InstanceRole::Replica, {{3}, {100}}, {3}};
    group.Platform.Silent.insert(InstanceId("p"));
    group.Platform.Orders.clear();
    for (int i = 0; i < 25; ++i) {
      reportObservation(group, "10.5.0.1", 900);
      reportObservation(group, "10.5.0.2", 900);
      group.run(milliseconds(100));
    }
    REQUIRE(!group.Platform.Orders.empty());
    for (const auto &it : group.Platform.Orders) {
      CHECK(it.Fence > last);
      last = it.Fence;
    }
    const std::size_t old = group.leader();
    group.kill(old);
    group.run(milliseconds(2500));
    group.start(old);
    group.run(milliseconds(1000));
  }
}

TEST_CASE("Control_VmThatMissedHundredsOfChangesCatchesUp") {
  FakeControls group;
  group.run(milliseconds(1500));
  const std::size_t away = (group.leader() + 1) % 3;
  group.kill(away);
  constexpr std::uint64_t Changes = 400;
  std::uint64_t acknowledged = 0;
  for (std::uint64_t version = 1; version <= Changes; ++version) {
    group.node(group.leader())
        .putConfiguration(group.now(), version, std::to_string(version),
                          [&](bool ok) { acknowledged += ok; });
    group.run(milliseconds(20));
  }
  CHECK(acknowledged == Changes);
  group.start(away);
  group.run(milliseconds(1500));
  CHECK(read(group, away) == std::to_string(Changes));
  // It counts as a voter: without the former leader, the two others go on.
  group.kill(group.leader());
  group.run(milliseconds(3000));
  CHECK(put(group, away, Changes + 1, "after") == true);
  CHECK(read(group, away) == "after");
}

TEST_CASE("Control_NoAcknowledgedChangeIsLostWhenAllAreKilledAtOnce") {
  FakeControls group;
  group.run(milliseconds(1500));
  std::uint64_t acknowledged = 0;
  for (std::uint64_t version = 1; version <= 40; ++version) {
    const std::size_t vm = version % 3;
    group.node(vm).putConfiguration(group.now(), version,
                                    std::to_string(version), [&](bool ok) {
                                      if (ok)
                                        acknowledged = version;
                                    });
    group.run(milliseconds(30));
    if (version % 10 != 0)
      continue;
    for (std::size_t it = 0; it < 3; ++it)
      group.kill(it);
    for (std::size_t it = 0; it < 3; ++it)
      group.start(it);
    group.run(milliseconds(2500));
    const auto held = read(group, vm);
    REQUIRE(held);
    CHECK(std::stoull(*held) >= acknowledged);
  }
  CHECK(acknowledged > 20);
}
