// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A primary that can't be reached, has been replaced, or is leaving.

#include "proxy/tests/ProxyFixture.h"

#include <doctest/doctest.h>

#include <optional>

using namespace stepledge;
using namespace stepledge::proxy;
using proxy::tests::markOf;
using Fixture = proxy::tests::ProxyFixture;

TEST_CASE("Proxy_PrimaryIsReachedThroughALenderWhenTheDirectPathIsSilent") {
  Fixture it;
  it.warmUp();
  it.Core.setEntries({{"10.9.9.9", HallId("b")}});
  const auto client = it.connect("current");
  it.ask(client, StatementKind::Read, "READ x");
  // No answer arrives on the direct connections.
  for (int i = 0; i < 8; ++i)
    it.advance(milliseconds(80));
  bool usesLender = false;
  for (const auto &[id, target] : it.Io.Opened)
    usesLender |=
        target.Instance == InstanceId("p") && target.LenderIp == "10.9.9.9";
  CHECK(usesLender);
}

TEST_CASE("Proxy_NewPrimaryIsFoundWithoutControl") {
  Fixture it;
  it.warmUp();
  // The old primary refuses, and no report names a successor.
  const auto client = it.connect("current");
  it.ask(client, StatementKind::Write, "WRITE x 1");
  const auto old = it.carrierOf("WRITE x 1");
  REQUIRE(old);
  it.answer(*old, Fixture::refusal(ReplyCode::ReadOnly));
  std::optional<ConnectionId> found;
  for (int i = 0; i < 12 && !found; ++i) {
    it.advance(milliseconds(30));
    for (auto &[id, commands] : std::map(it.Io.Sent)) {
      if (commands.empty() || commands.front().Kind != CommandKind::Begin)
        continue;
      const bool leads = it.instanceOf(id) == "r1";
      it.answer(id, leads ? Fixture::replyAt(markOf(4, 101),
                                             SessionState::InTransaction)
                          : Fixture::refusal(ReplyCode::ReadOnly));
      if (!it.Io.Sent[id].empty())
        it.answer(id, Fixture::replyAt(markOf(4, 101)));
    }
    const auto carrier = it.carrierOf("WRITE x 1");
    if (carrier && it.instanceOf(*carrier) == "r1")
      found = carrier;
  }
  CHECK(found);
}

TEST_CASE("Proxy_LeavingPrimaryGetsNoNewWorkAfterItsTime") {
  Fixture it;
  it.warmUp();
  membership::InstanceRecord leaving;
  leaving.Id = InstanceId("p");
  leaving.Service = "db";
  leaving.Address = "10.0.0.1:1";
  leaving.Role = membership::InstanceRole::Primary;
  leaving.State = membership::InstanceState::Leaving;
  it.Core.applyInstance(it.Now, leaving);
  const auto client = it.connect("current");
  it.ask(client, StatementKind::Write, "WRITE x 1");
  CHECK(it.carrierOf("WRITE x 1"));
  for (int i = 0; i < 62; ++i) {
    it.advance(milliseconds(100));
    it.answerProxyCommands(markOf(3, 100));
  }
  it.ask(it.connect("current"), StatementKind::Write, "WRITE y 1");
  it.advance(milliseconds(100));
  CHECK(!it.carrierOf("WRITE y 1"));
}

TEST_CASE("Proxy_PrimaryWhoseAddressAnotherInstanceHasIsReportedAsLost") {
  // The primary crashed and another instance has its address. When the proxy
  // removed its record, no VM reported it as silent, and its service had no
  // primary until the record expired: 20 s instead of 1 s.
  Fixture it;
  it.warmUp();
  for (const auto &[id, target] : std::map(it.Io.Opened)) {
    if (target.Instance != InstanceId("p"))
      continue;
    it.Io.closeConnection(id);
    it.Core.connectionLost(it.Now, id);
  }
  const auto refuseAll = [&it] {
    for (const auto &[id, target] : std::map(it.Io.Opened))
      if (target.Instance == InstanceId("p") && it.Ready.insert(id).second)
        it.Core.connectionReady(it.Now, id,
                                Fixture::refusal(ReplyCode::WrongInstance));
  };
  for (int i = 0; i < 100; ++i) {
    it.Now += milliseconds(10);
    it.Core.tick(it.Now);
    refuseAll();
  }
  const auto observations = it.Core.primaryObservations(it.Now);
  REQUIRE(observations.size() == 1);
  CHECK(observations[0].Primary == InstanceId("p"));
  CHECK(observations[0].SilentFor >= milliseconds(600));
  // A borrower gets the report that it can't be reached.
  BorrowRequest request;
  request.Service = "db";
  request.Instance = InstanceId("p");
  request.Commands = {InstanceCommand()};
  request.IsFirst = true;
  it.Core.lender().request(it.Now, {"10.9.9.9", 1}, request);
  CHECK(it.Io.BorrowerEnds[{"10.9.9.9", 1}] == LendingEnd::Unreachable);
}
