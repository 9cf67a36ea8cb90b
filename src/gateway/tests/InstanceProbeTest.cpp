// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Questions to instances over real connections.

#include "gateway/InstanceProbe.h"
#include "gateway/tests/LinePeer.h"
#include "gateway/tests/PlainCodec.h"

#include <doctest/doctest.h>

#include <optional>

using namespace stepledge;
using namespace stepledge::gateway;
using gateway::tests::PeerServer;
using gateway::tests::PlainCodec;
using gateway::tests::runUntil;

namespace {

struct Fixture {
  Fixture() {
    Record.Id = InstanceId("i-1");
    Record.Service = "db";
    Record.Address = Server.address();
  }

  void ping() {
    Probe.ping(Record, [this](bool isAlive) { Answer = isAlive; });
  }

  asio::io_context Context;
  PlainCodec Codec;
  TimePoint Now = TimePoint(std::chrono::seconds(10));
  PeerServer Server{Context};
  InstanceProbe Probe{Context, Codec, [this] { return Now; }};
  membership::InstanceRecord Record;
  std::optional<bool> Answer;
};

} // namespace

TEST_CASE("InstanceProbe_AsksOverOneConnection") {
  Fixture it;
  it.ping();
  REQUIRE(runUntil(it.Context, [&] { return it.Server.Peers.size() == 1; }));
  auto &instance = *it.Server.Peers.front();
  REQUIRE(runUntil(it.Context, [&] { return instance.has("hello db i-1"); }));
  // Nothing is asked before the instance has accepted.
  CHECK(!instance.has("begin"));
  instance.say("ok");
  REQUIRE(runUntil(it.Context, [&] { return instance.has("undo"); }));
  instance.say("ok");
  instance.say("ok");
  REQUIRE(runUntil(it.Context, [&] { return it.Answer.has_value(); }));
  CHECK(*it.Answer);
  it.ping();
  REQUIRE(runUntil(it.Context, [&] { return instance.Lines.size() == 5; }));
  CHECK(it.Server.Peers.size() == 1);
}

TEST_CASE("InstanceProbe_SilentInstanceIsGivenUp") {
  Fixture it;
  it.ping();
  it.Now += milliseconds(600);
  REQUIRE(runUntil(it.Context, [&] { return it.Answer.has_value(); }));
  CHECK(!*it.Answer);
  // The next question opens a new connection.
  it.ping();
  CHECK(runUntil(it.Context, [&] { return it.Server.Peers.size() == 2; }));
}

TEST_CASE("InstanceProbe_RefusedConnectionIsNoAnswer") {
  Fixture it;
  it.ping();
  REQUIRE(runUntil(it.Context, [&] { return it.Server.Peers.size() == 1; }));
  it.Server.Peers.front()->say("gone");
  it.Server.Peers.front()->leave();
  REQUIRE(runUntil(it.Context, [&] { return it.Answer.has_value(); }));
  CHECK(!*it.Answer);
}

TEST_CASE("InstanceProbe_UnwantedConnectionIsClosed") {
  Fixture it;
  it.ping();
  REQUIRE(runUntil(it.Context, [&] { return it.Server.Peers.size() == 1; }));
  auto &instance = *it.Server.Peers.front();
  for (int i = 0; i < 3; ++i)
    instance.say("ok");
  REQUIRE(runUntil(it.Context, [&] { return it.Answer.has_value(); }));
  it.Probe.retainConnections({InstanceId("i-2")});
  CHECK(runUntil(it.Context, [&] { return instance.IsOver; }));
}
