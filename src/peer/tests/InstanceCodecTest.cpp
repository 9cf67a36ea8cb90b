// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Instances in messages between VMs: those of an older or newer program,
/// and bytes changed by a seed.

#include "peer/InstanceCodec.h"

#include <doctest/doctest.h>

#include <random>
#include <string>

using namespace stepledge;
using namespace stepledge::peer;

namespace {

membership::InstanceRecord record() {
  membership::InstanceRecord record;
  record.Id = InstanceId("i-1");
  record.Service = "db";
  record.Address = "10.0.0.1:1";
  record.Hall = HallId("a");
  record.Role = membership::InstanceRole::Primary;
  record.State = membership::InstanceState::Leaving;
  record.Slots = 3;
  record.StartTimeMs = 1'800'000'000'000;
  record.Sequence = 9;
  record.HasRestarted = true;
  return record;
}

} // namespace

TEST_CASE("InstanceCodec_KeepsAllThatIsKnown") {
  CHECK(decode(encode(record())) == record());
}

TEST_CASE("InstanceCodec_OlderProgramsTellNoLife") {
  auto old = encode(record());
  old.clear_born_ms();
  old.clear_has_restarted();
  const auto read = decode(old);
  REQUIRE(read);
  CHECK(read->StartTimeMs == 0);
  CHECK(!read->HasRestarted);
}

TEST_CASE("InstanceCodec_WhatNamesNoInstanceIsLeftOut") {
  CHECK(!decode(wire::Instance()));
  auto unknownState = encode(record());
  unknownState.set_state(3);
  CHECK(!decode(unknownState));
  auto noId = encode(record());
  noId.clear_id();
  CHECK(!decode(noId));
  auto noAddress = encode(record());
  noAddress.clear_address();
  CHECK(!decode(noAddress));
  auto noService = encode(record());
  noService.clear_service();
  CHECK(!decode(noService));
}

TEST_CASE("InstanceCodec_ChangedBytesAreReadOrLeftOut") {
  const std::string bytes = encode(record()).SerializeAsString();
  std::mt19937_64 random(5);
  for (int i = 0; i < 20000; ++i) {
    std::string changed = bytes;
    for (auto n = 1 + random() % 4; n > 0; --n)
      changed[random() % changed.size()] = static_cast<char>(random() % 256);
    if (random() % 4 == 0)
      changed.resize(random() % changed.size());
    wire::Instance instance;
    if (!instance.ParseFromString(changed))
      continue;
    const auto read = decode(instance);
    if (!read)
      continue;
    CHECK(!read->Id.str().empty());
    CHECK(read->State <= membership::InstanceState::Gone);
  }
}
