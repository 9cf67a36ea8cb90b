// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What clients get from an entry VM that is being stopped.

#include "entry/tests/StopFixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace stepledge;
using namespace stepledge::entry;
using Fixture = entry::tests::StopFixture;
using proxy::ClientId;
using proxy::StatementKind;

namespace {

/// When sessions at rest begin to be closed.
constexpr Duration ClosingBegins = StopPlan::BalancerTime + milliseconds(100);
/// A statement's way over a full link.
constexpr Duration LongWay = milliseconds(400);
/// Until a statement that no instance can run is refused.
constexpr Duration RefusalLimit = milliseconds(800);

} // namespace

TEST_CASE("Stop_SessionBegunBeforeItClosesStaysForItsFirstStatement") {
  Fixture it;
  it.Module.stop();
  REQUIRE(!it.advance(StopPlan::BalancerTime - milliseconds(100)));
  const ClientId client{1};
  it.connect(client);
  REQUIRE(!it.advance(LongWay));
  CHECK(!it.isEnded(client));
  it.ask(client);
  it.advance(RefusalLimit);
  CHECK(it.Io.Answers[client].size() == 1);
}

TEST_CASE("Stop_ClientThatComesLateIsRefusedWithTheReason") {
  Fixture it;
  it.Module.stop();
  REQUIRE(!it.advance(ClosingBegins));
  it.connect(ClientId{1});
  CHECK(!it.Io.Accepted.contains(ClientId{1}));
  REQUIRE(it.Io.Rejected.contains(ClientId{1}));
  CHECK(it.Io.Rejected[ClientId{1}].Code == proxy::ReplyCode::Busy);
}

TEST_CASE("Stop_IsThroughSoonAlthoughClientsGoOnComing") {
  Fixture it;
  it.Module.stop();
  it.advance(ClosingBegins);
  bool isOver = false;
  std::uint64_t last = 0;
  while (!isOver && it.Now < it.StoppedAt + milliseconds(4000)) {
    it.connect(ClientId{++last});
    isOver = it.advance(milliseconds(100));
  }
  CHECK(isOver);
}

TEST_CASE("Stop_StatementOnItsWayToARestingSessionMeetsARefusal") {
  Fixture it;
  const ClientId client{1};
  it.connect(client);
  it.Module.stop();
  it.advance(ClosingBegins);
  // Its refusal is on the way to the client when the statement comes.
  it.ask(client);
  REQUIRE(it.Io.Rejected.contains(client));
  CHECK(it.Io.Rejected[client].Code == proxy::ReplyCode::Busy);
}

TEST_CASE("Stop_SessionThatAsksAgainAndAgainEndsBehindAnAnswer") {
  for (const auto kind : {StatementKind::Read, StatementKind::Set}) {
    Fixture it;
    const ClientId client{1};
    it.connect(client);
    it.Module.stop();
    std::size_t asked = 0;
    constexpr Duration Pause = milliseconds(300);
    while (!it.isEnded(client) && it.Now < it.StoppedAt + milliseconds(4000)) {
      it.ask(client, kind);
      ++asked;
      it.advance(Pause);
      while (it.Io.Answers[client].size() < asked && !it.advance(Pause)) {
      }
    }
    CHECK(it.Io.Closed.contains(client));
    CHECK(it.Io.Answers[client].size() == asked);
  }
}

TEST_CASE("Stop_ClientWithoutAConfigurationIsRefused") {
  Fixture it(false);
  it.advance(milliseconds(100));
  it.Module.stop();
  it.advance(StopPlan::BalancerTime - milliseconds(200));
  it.connect(ClientId{1});
  it.advance(milliseconds(500));
  CHECK(it.Io.Rejected.contains(ClientId{1}));
}

TEST_CASE("Stop_TellsWhatItCuts") {
  Fixture it;
  const ClientId client{1};
  it.connect(client);
  it.ask(client, StatementKind::Begin);
  it.Module.stop();
  CHECK(it.advance(milliseconds(6000)));
  CHECK(std::any_of(it.Io.Lines.begin(), it.Io.Lines.end(), [](const auto &l) {
    return l.find("event=stop_cut sessions=1 waiting=0") != std::string::npos;
  }));
}

TEST_CASE("Stop_WaitsForAnAnswerThatItsClientIsSlowToRead") {
  Fixture it;
  it.connect(ClientId{1});
  it.Module.stop();
  it.Io.HasUnsent = true;
  REQUIRE(!it.advance(StopPlan::BalancerTime + milliseconds(1000)));
  it.Io.HasUnsent = false;
  CHECK(!it.advance(milliseconds(100)));
  CHECK(it.advance(milliseconds(300)));
}

TEST_CASE("Stop_ClientThatNeverReadsDoesNotKeepItBeyondItsLimit") {
  Fixture it;
  it.connect(ClientId{1});
  it.Module.stop();
  it.Io.HasUnsent = true;
  CHECK(it.advance(milliseconds(6000)));
}

TEST_CASE("Stop_IsThroughSoonWhereAllSessionsRest") {
  Fixture it;
  for (std::uint64_t i = 1; i <= 5; ++i)
    it.connect(ClientId{i});
  it.Module.stop();
  CHECK(it.advance(StopPlan::BalancerTime + milliseconds(600)));
  CHECK(it.Io.Rejected.size() == 5);
}
