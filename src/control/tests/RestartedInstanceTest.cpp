// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Instances that restart under their id: answers of the earlier
/// incarnation lead to no promotion, and its marks and records don't apply to
/// the next one.

#include "control/ClusterState.h"
#include "control/tests/FakeControls.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace stepledge;
using namespace stepledge::control;
using control::tests::FakeControls;

namespace {

constexpr std::uint64_t FirstStartMs = 1'800'000'000'000;
constexpr std::uint64_t SecondStartMs = FirstStartMs + 60'000;

membership::InstanceRecord instanceOf(const char *id, bool isPrimary,
                                      std::uint64_t startTimeMs,
                                      std::uint64_t sequence) {
  membership::InstanceRecord record;
  record.Id = InstanceId(id);
  record.Service = "db";
  record.Address = std::string("10.1.0.1:") + id;
  record.Role = isPrimary ? membership::InstanceRole::Primary
                          : membership::InstanceRole::Replica;
  record.StartTimeMs = startTimeMs;
  record.Sequence = sequence;
  return record;
}

void sendHeartbeat(FakeControls &group,
                   const membership::InstanceRecord &record) {
  group.node(group.leader()).receiveHeartbeat(group.now(), record, [](bool) {});
  group.run(milliseconds(60));
}

/// A group with a primary and two replicas, of which r1 has received the most.
void prepare(FakeControls &group) {
  group.run(milliseconds(1500));
  sendHeartbeat(group, instanceOf("p", true, FirstStartMs, 5));
  sendHeartbeat(group, instanceOf("r1", false, FirstStartMs, 5));
  sendHeartbeat(group, instanceOf("r2", false, FirstStartMs, 5));
  group.Platform.Statuses = {
      {InstanceId("r1"), {membership::InstanceRole::Replica, {{3}, {90}}, {3}}},
      {InstanceId("r2"), {membership::InstanceRole::Replica, {{3}, {80}}, {3}}},
      {InstanceId("p"), {membership::InstanceRole::Primary, {{3}, {99}}, {3}}}};
}

/// All VMs report the primary as silent, as after a crash, until the leader
/// queries the replicas or promotes one.
void losePrimary(FakeControls &group) {
  group.Platform.Statuses.erase(InstanceId("p"));
  group.Platform.Silent.insert(InstanceId("p"));
  auto &platform = group.Platform;
  const auto orders = platform.Orders.size();
  for (int i = 0; i < 12; ++i) {
    if (!platform.HeldStatuses.empty() || platform.Orders.size() > orders)
      return;
    for (const char *ip : {"10.9.0.1", "10.9.0.2"}) {
      peer::wire::Message message;
      auto &observation = *message.mutable_sights()->add_sights();
      observation.set_service("db");
      observation.set_instance("p");
      observation.set_born_ms(FirstStartMs);
      observation.set_silent_ms(static_cast<std::uint64_t>(i) * 100);
      group.sendFromPeer(ip, group.leader(), message);
    }
    group.run(milliseconds(100));
  }
}

wire::Command markOf(std::uint64_t startTimeMs, wire::Lifecycle state) {
  wire::Command command;
  command.mutable_mark_instance()->set_instance("i");
  command.mutable_mark_instance()->set_born_ms(startTimeMs);
  command.mutable_mark_instance()->set_state(state);
  return command;
}

wire::Command keepOf(std::uint64_t startTimeMs, const std::string &record) {
  wire::Command command;
  command.mutable_keep_instance()->set_instance("i");
  command.mutable_keep_instance()->set_born_ms(startTimeMs);
  command.mutable_keep_instance()->set_record(record);
  return command;
}

} // namespace

TEST_CASE("RestartedInstance_MarkAppliesToItsIncarnationAndEarlierOnes") {
  ClusterState state;
  state.apply(1, markOf(FirstStartMs, wire::GONE));
  CHECK(state.lifecycleOf("i", FirstStartMs) == wire::GONE);
  CHECK(state.lifecycleOf("i", SecondStartMs) == wire::READY);
  state.apply(2, markOf(SecondStartMs, wire::LEAVING));
  CHECK(state.lifecycleOf("i", SecondStartMs) == wire::LEAVING);
  // A late deregistration of the first incarnation.
  state.apply(3, markOf(FirstStartMs, wire::GONE));
  CHECK(state.lifecycleOf("i", SecondStartMs) == wire::LEAVING);
  ClusterState restored;
  REQUIRE(restored.restore(state.serialize()));
  CHECK(restored.lifecycleOf("i", SecondStartMs) == wire::LEAVING);
  CHECK(restored.lifecycleOf("i", SecondStartMs + 1) == wire::READY);
}

TEST_CASE("RestartedInstance_LateRecordDoesNotReplaceTheNextIncarnation") {
  ClusterState state;
  state.apply(1, keepOf(SecondStartMs, "second"));
  state.apply(2, keepOf(FirstStartMs, "first"));
  state.apply(3, keepOf(FirstStartMs, ""));
  state.apply(4, markOf(FirstStartMs, wire::GONE));
  REQUIRE(state.instances().contains("i"));
  CHECK(state.instances().at("i").record() == "second");
  state.apply(5, markOf(SecondStartMs, wire::GONE));
  CHECK(state.instances().empty());
}

TEST_CASE("RestartedInstance_EntriesWithoutAStartTimeAreStillRead") {
  ClusterState state;
  state.apply(1, keepOf(0, "old"));
  state.apply(2, markOf(0, wire::LEAVING));
  CHECK(state.lifecycleOf("i", 0) == wire::LEAVING);
  CHECK(state.lifecycleOf("i", FirstStartMs) == wire::READY);
  state.apply(3, keepOf(FirstStartMs, "new"));
  CHECK(state.instances().at("i").record() == "new");
}

TEST_CASE("RestartedInstance_RequestsToTheEarlierIncarnationAreDropped") {
  FakeControls group;
  prepare(group);
  sendHeartbeat(group, instanceOf("r1", false, SecondStartMs, 1));
  CHECK(group.Platform.Forgotten.contains(InstanceId("r1")));
}

TEST_CASE("RestartedInstance_AnswerOfTheEarlierIncarnationPromotesNoInstance") {
  FakeControls group;
  prepare(group);
  group.Platform.HoldsStatuses = true;
  losePrimary(group);
  REQUIRE(group.Platform.HeldStatuses.size() >= 2);
  // r1 is the most advanced, answers, and restarts before the choice.
  for (auto &[id, onDone] : group.Platform.HeldStatuses)
    if (id == InstanceId("r1") && onDone)
      std::exchange(onDone,
                    nullptr)(group.Platform.Statuses.at(InstanceId("r1")));
  group.Platform.Statuses[InstanceId("r1")].Received = {{3}, {0}};
  sendHeartbeat(group, instanceOf("r1", false, SecondStartMs, 1));
  group.Platform.HoldsStatuses = false;
  for (auto &[id, onDone] : group.Platform.HeldStatuses)
    if (onDone && group.Platform.Statuses.contains(id))
      std::exchange(onDone, nullptr)(group.Platform.Statuses.at(id));
  group.run(milliseconds(1500));
  REQUIRE(!group.Platform.Orders.empty());
  for (const auto &it : group.Platform.Orders)
    CHECK(it.Instance == InstanceId("r2"));
}

TEST_CASE("RestartedInstance_OrderForTheEarlierIncarnationIsRepeated") {
  FakeControls group;
  prepare(group);
  group.Platform.HoldsOrders = true;
  losePrimary(group);
  REQUIRE(group.Platform.Orders.size() == 1);
  REQUIRE(group.Platform.Orders[0].Instance == InstanceId("r1"));
  // It restarts without data before the order is answered.
  group.Platform.Statuses[InstanceId("r1")].Received = {{3}, {0}};
  sendHeartbeat(group, instanceOf("r1", false, SecondStartMs, 1));
  group.Platform.HeldOrders[0](PromotionResult::Accepted);
  group.Platform.HoldsOrders = false;
  group.run(milliseconds(200));
  losePrimary(group);
  REQUIRE(group.Platform.Orders.size() >= 2);
  CHECK(group.Platform.Orders[1].Instance == InstanceId("r2"));
  CHECK(group.Platform.Orders[1].Fence > group.Platform.Orders[0].Fence);
}

TEST_CASE("RestartedInstance_EmptyPrimaryIsReplacedByOneThatHoldsTheData") {
  FakeControls group;
  prepare(group);
  group.Platform.Statuses[InstanceId("p")].Received = {{3}, {0}};
  sendHeartbeat(group, instanceOf("p", true, SecondStartMs, 1));
  group.run(milliseconds(1000));
  REQUIRE(!group.Platform.Orders.empty());
  CHECK(group.Platform.Orders[0].Instance == InstanceId("r1"));
}

TEST_CASE("RestartedInstance_FullyRestartedGroupKeepsItsPrimary") {
  FakeControls group;
  prepare(group);
  for (const char *id : {"r1", "r2"})
    sendHeartbeat(group, instanceOf(id, false, SecondStartMs, 1));
  group.Platform.Orders.clear();
  sendHeartbeat(group, instanceOf("p", true, SecondStartMs, 1));
  group.run(milliseconds(1000));
  CHECK(group.Platform.Orders.empty());
}

TEST_CASE("RestartedInstance_SilenceOfTheEarlierIncarnationDoesNotCount") {
  FakeControls group;
  prepare(group);
  // All have restarted, so the empty primary stays primary by its own report.
  for (const char *id : {"r1", "r2"})
    sendHeartbeat(group, instanceOf(id, false, SecondStartMs, 1));
  sendHeartbeat(group, instanceOf("p", true, SecondStartMs, 1));
  losePrimary(group);
  CHECK(group.Platform.Orders.empty());
}
