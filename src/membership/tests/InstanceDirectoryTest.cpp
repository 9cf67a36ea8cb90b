// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Late heartbeats of a crashed instance, at whose address a new one has
/// registered, in either order of arrival.

#include "membership/InstanceDirectory.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::membership;

namespace {

constexpr TimePoint Start(milliseconds(1000));

InstanceRecord recordOf(const char *id, std::uint64_t sequence,
                        InstanceRole role) {
  InstanceRecord record;
  record.Id = InstanceId(id);
  record.Service = "db";
  record.Address = "10.0.0.1:1";
  record.Role = role;
  record.Sequence = sequence;
  return record;
}

} // namespace

TEST_CASE(
    "InstanceDirectory_LateHeartbeatOfACrashedInstanceDoesNotAffectTheNewOne") {
  InstanceDirectory directory;
  directory.merge(Start, recordOf("old", 7, InstanceRole::Primary));
  directory.merge(Start, recordOf("new", 1, InstanceRole::Replica));
  // Delayed by a partition, and sent after the last one that was received.
  directory.merge(Start, recordOf("old", 8, InstanceRole::Primary));
  const auto *next = directory.find(InstanceId("new"));
  REQUIRE(next);
  CHECK(next->Role == InstanceRole::Replica);
  CHECK(next->State == InstanceState::Ready);
  CHECK(next->Sequence == 1);
}

TEST_CASE("InstanceDirectory_LateHeartbeatBeforeTheNewInstanceChangesNothing") {
  InstanceDirectory directory;
  directory.merge(Start, recordOf("old", 9, InstanceRole::Replica));
  const auto change =
      directory.merge(Start, recordOf("old", 8, InstanceRole::Primary));
  CHECK(change == HeartbeatEffect::None);
  CHECK(directory.find(InstanceId("old"))->Role == InstanceRole::Replica);
  CHECK(directory.merge(Start, recordOf("new", 1, InstanceRole::Primary)) ==
        HeartbeatEffect::Changed);
  CHECK(directory.find(InstanceId("new"))->Role == InstanceRole::Primary);
}

TEST_CASE("InstanceDirectory_LateHeartbeatDoesNotKeepACrashedInstanceForLong") {
  InstanceDirectory directory;
  constexpr Duration Silence = milliseconds(20000);
  directory.merge(Start, recordOf("old", 7, InstanceRole::Primary));
  directory.merge(Start + milliseconds(15000),
                  recordOf("old", 8, InstanceRole::Primary));
  // A duplicate heartbeat doesn't count as recent.
  directory.merge(Start + milliseconds(30000),
                  recordOf("old", 8, InstanceRole::Primary));
  CHECK(directory.expire(Start + milliseconds(36000), Silence).size() == 1);
}

TEST_CASE("InstanceDirectory_LateHeartbeatDoesNotRevertGone") {
  InstanceDirectory directory;
  directory.merge(Start, recordOf("old", 7, InstanceRole::Primary));
  REQUIRE(directory.raiseState(InstanceId("old"), 0, InstanceState::Gone));
  directory.merge(Start, recordOf("old", 8, InstanceRole::Primary));
  CHECK(directory.find(InstanceId("old"))->State == InstanceState::Gone);
}

TEST_CASE("InstanceDirectory_ListsTheInstancesOfEachService") {
  InstanceDirectory directory;
  auto record = recordOf("a", 1, InstanceRole::Primary);
  directory.merge(Start, record);
  directory.merge(Start, recordOf("b", 1, InstanceRole::Replica));
  CHECK(directory.ofService("db").size() == 2);
  CHECK(directory.ofService("other").empty());
  record.Service = "other";
  record.Sequence = 2;
  directory.merge(Start + milliseconds(500), record);
  CHECK(directory.services() == std::vector<std::string>{"db", "other"});
  REQUIRE(directory.ofService("other").size() == 1);
  CHECK(directory.ofService("other").front()->Id == InstanceId("a"));
  directory.expire(Start + milliseconds(700), milliseconds(600));
  CHECK(directory.services() == std::vector<std::string>{"other"});
}
