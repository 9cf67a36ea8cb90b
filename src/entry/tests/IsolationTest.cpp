// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What callers get from a VM that hears neither control VMs nor
/// primaries: an answer or a refusal for each statement, also for one that was
/// long on its way.

#include "entry/tests/EntryFixture.h"

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <string>

using namespace stepledge;
using namespace stepledge::entry;
using Fixture = entry::tests::EntryFixture;
using proxy::ClientId;
using proxy::ReplyCode;
using proxy::SessionState;
using proxy::StatementKind;

namespace {

/// Until the balancer sends the VM no more clients, and longer.
constexpr Duration LongCut = milliseconds(4000);
/// Until the VM has found out that it is cut off.
constexpr Duration ShortCut = milliseconds(1000);
/// What a caller can bear until it is told that a statement isn't run, so that
/// it has time for another VM.
constexpr Duration RefusalLimit = milliseconds(100);
/// A statement's way over a full link.
constexpr Duration LongWay = milliseconds(400);

struct ReadyFixture : Fixture {
  ReadyFixture() {
    notice(7, true);
    giveWhole(7);
    addPrimary();
    REQUIRE(Node.isReady());
  }

  void advanceBySteps(Duration time) {
    constexpr Duration Step = milliseconds(10);
    for (const TimePoint end = Now + time; Now < end;)
      advance(Step);
  }

  bool isClosed(ClientId client) const { return Io.Closed.contains(client); }

  std::size_t answersTo(ClientId client) { return Io.Answers[client].size(); }
};

} // namespace

TEST_CASE("Isolation_StatementOnItsWayToARestingSessionIsAnswered") {
  ReadyFixture it;
  const ClientId client{1};
  it.connect(client);
  it.cutOffFor(LongCut);
  REQUIRE(!it.Node.isReady());
  CHECK(!it.isClosed(client));
  it.ask(client, StatementKind::Read, "READ x");
  it.advanceBySteps(RefusalLimit);
  REQUIRE(it.answersTo(client) == 1);
  CHECK(it.Io.Answers[client].front().Code == ReplyCode::Busy);
}

TEST_CASE("Isolation_NewSessionStaysForItsFirstStatement") {
  ReadyFixture it;
  it.cutOffFor(LongCut);
  const ClientId client{1};
  it.connect(client);
  REQUIRE(it.Io.Accepted.contains(client));
  it.advanceBySteps(LongWay);
  CHECK(!it.isClosed(client));
  it.ask(client, StatementKind::Read, "READ x");
  it.advanceBySteps(RefusalLimit);
  CHECK(it.answersTo(client) == 1);
}

TEST_CASE("Isolation_RefusedClientIsSentToOtherVms") {
  ReadyFixture it;
  const ClientId client{1};
  it.connect(client);
  it.cutOffFor(LongCut);
  it.ask(client, StatementKind::Read, "READ x");
  it.advanceBySteps(RefusalLimit);
  CHECK(it.answersTo(client) == 1);
  CHECK(it.isClosed(client));
  CHECK(it.Core.sessionCount() == 0);
}

TEST_CASE("Isolation_ClientIsSentToOtherVmsAtItsFirstRefusal") {
  ReadyFixture it;
  const ClientId client{1};
  it.connect(client);
  it.cutOffFor(ShortCut);
  REQUIRE(!it.Node.isReady());
  it.ask(client, StatementKind::Read, "READ x");
  it.advanceBySteps(RefusalLimit);
  CHECK(it.answersTo(client) == 1);
  CHECK(it.isClosed(client));
}

TEST_CASE("Isolation_RefusedTransactionEndsBeforeItsSession") {
  ReadyFixture it;
  const ClientId client{1};
  it.connect(client);
  it.cutOffFor(LongCut);
  it.ask(client, StatementKind::Begin, "BEGIN");
  it.ask(client, StatementKind::Read, "READ x");
  it.advanceBySteps(RefusalLimit);
  REQUIRE(it.answersTo(client) == 2);
  CHECK(it.Io.Answers[client].back().State == SessionState::Failed);
  CHECK(!it.isClosed(client));
  it.ask(client, StatementKind::Rollback, "ROLLBACK");
  REQUIRE(it.answersTo(client) == 3);
  CHECK(it.Io.Answers[client].back().State == SessionState::Idle);
  CHECK(it.isClosed(client));
}

TEST_CASE("Isolation_AllVmsAtOnceRefuseAndBreakNoConnectionOff") {
  // For want of ready VMs the balancer still sends clients to all of them.
  constexpr std::uint64_t ClientsPerVm = 12;
  for (const int vms : {70, 300}) {
    int asked = 0;
    int answered = 0;
    for (int vm = 0; vm < vms; ++vm) {
      std::mt19937 chance(static_cast<std::mt19937::result_type>(vm));
      std::uniform_int_distribution<int> pause(0, 1500);
      ReadyFixture it;
      it.cutOffFor(milliseconds(2000));
      std::multimap<TimePoint, ClientId> arrivals;
      for (std::uint64_t i = 1; i <= ClientsPerVm; ++i) {
        it.connect(ClientId{i});
        arrivals.emplace(it.Now + milliseconds(pause(chance)) + LongWay,
                         ClientId{i});
      }
      for (const auto &[at, client] : arrivals) {
        it.advanceBySteps(at - it.Now);
        it.ask(client, StatementKind::Read, "READ x");
        ++asked;
      }
      it.advanceBySteps(RefusalLimit);
      for (std::uint64_t i = 1; i <= ClientsPerVm; ++i)
        answered += it.answersTo(ClientId{i}) == 1;
    }
    INFO("VMs: ", vms);
    CHECK(answered == asked);
  }
}
