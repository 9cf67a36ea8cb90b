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

namespace {

/// Breaks the connections to p, whose address answers for another instance.
void displacePrimary(Fixture &it) {
  for (const auto &[id, target] : std::map(it.Io.Opened)) {
    if (target.Instance != InstanceId("p"))
      continue;
    it.Io.closeConnection(id);
    it.Core.connectionLost(it.Now, id);
  }
}

void refuseConnectionsTo(Fixture &it, const char *id) {
  for (const auto &[number, target] : std::map(it.Io.Opened))
    if (target.Instance == InstanceId(id) && it.Ready.insert(number).second)
      it.Core.connectionReady(it.Now, number,
                              Fixture::refusal(ReplyCode::WrongInstance));
}

/// A client writes; no connection is accepted meanwhile.
void write(Fixture &it, const char *text) {
  const auto client = it.connect("current");
  ClientStatement statement;
  statement.Id = "own";
  statement.Kind = StatementKind::Write;
  statement.Text = text;
  it.Core.statementReceived(it.Now, client, statement);
}

/// Runs until a connection to \p id carries \p text, or for two seconds.
bool isCarriedBy(Fixture &it, const char *text, const char *id) {
  for (int i = 0; i < 200; ++i) {
    it.Now += milliseconds(10);
    it.Core.tick(it.Now);
    refuseConnectionsTo(it, "p");
    it.connectAll();
    it.answerProxyCommands(markOf(4, 100));
    const auto carrier = it.carrierOf(text);
    if (carrier && it.instanceOf(*carrier) == id)
      return true;
  }
  return false;
}

} // namespace

TEST_CASE("Proxy_PrimaryThatIsBackUnderANewIdIsUsed") {
  // The dead id stayed proven through every refusal of its connections, and the
  // service was unserved for good.
  Fixture it;
  it.warmUp();
  displacePrimary(it);
  it.addInstance("p2", membership::InstanceRole::Primary, "10.0.0.1:1");
  write(it, "WRITE x 1");
  CHECK(isCarriedBy(it, "WRITE x 1", "p2"));
}

TEST_CASE("Proxy_SilentPrimaryGivesWayToOneThatProvesItsLead") {
  // It says nothing; another instance reports that it leads, and no notice of
  // control names it.
  Fixture it;
  it.warmUp();
  displacePrimary(it);
  it.addInstance("n", membership::InstanceRole::Primary, "10.0.0.9:1");
  write(it, "WRITE y 1");
  bool isFound = false;
  for (int i = 0; i < 200 && !isFound; ++i) {
    it.Now += milliseconds(10);
    it.Core.tick(it.Now);
    for (const auto &[number, target] : std::map(it.Io.Opened)) {
      const bool isDead = target.Instance == InstanceId("p");
      if (isDead || !it.Ready.insert(number).second)
        continue;
      it.Core.connectionReady(it.Now, number, Fixture::replyAt(markOf(4, 101)));
    }
    for (auto &[number, commands] : std::map(it.Io.Sent))
      if (it.Io.Opened.contains(number) && it.instanceOf(number) == "n")
        while (!it.Io.Sent[number].empty() &&
               it.Io.Sent[number].front().Id.empty())
          it.answer(number, Fixture::replyAt(markOf(4, 101)));
    const auto carrier = it.carrierOf("WRITE y 1");
    isFound = carrier && it.instanceOf(*carrier) == "n";
  }
  CHECK(isFound);
}

TEST_CASE("Proxy_ServiceWithoutAKnownPrimaryIsReported") {
  Fixture it;
  CHECK(it.Core.unledServices(it.Now).empty());
  membership::InstanceRecord gone;
  gone.Id = InstanceId("p");
  gone.Service = "db";
  gone.State = membership::InstanceState::Gone;
  it.Core.applyInstance(it.Now, gone);
  CHECK(it.Core.unledServices(it.Now).size() == 1);
  it.Now += milliseconds(700);
  const auto unled = it.Core.unledServices(it.Now);
  REQUIRE(unled.size() == 1);
  CHECK(unled[0].Primary.empty());
  CHECK(unled[0].SilentFor == milliseconds(700));
  it.addInstance("n", membership::InstanceRole::Primary, "10.0.0.9:1");
  CHECK(it.Core.unledServices(it.Now).empty());
}
