// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What clients get whose statements still wait as a planned stop reaches
/// its limit.

#include "entry/tests/StopFixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace stepledge;
using namespace stepledge::entry;
using proxy::ClientId;
using proxy::ReplyCode;
using proxy::SessionState;
using proxy::StatementKind;

namespace {

/// Longer than a stop.
constexpr Duration LongTimeout = milliseconds(10000);
/// From the stop signal to the kill; so short that a session that was active
/// just before the closing of sessions at rest is there at the end.
constexpr Duration ShortLimit = milliseconds(1500);
constexpr Duration UsualLimit = milliseconds(6000);
/// So shortly before the limit no other time-out ends a statement.
constexpr Duration Shortly = milliseconds(50);

struct Fixture : entry::tests::StopFixture {
  explicit Fixture(Duration limit = ShortLimit)
      : StopFixture(false, limit), Limit(limit) {
    configure(LongTimeout);
    addSlowPrimary();
    connect(Client);
    ask(Client, StatementKind::Write);
    advance(milliseconds(100));
    answerStatement(SessionState::Idle);
    Io.Answers.clear();
  }

  /// Stops, and goes on to the last moment in which statements are still run.
  void stopAlmost() {
    Module.stop();
    StoppedAt = Now;
    REQUIRE(!advance(Limit / 2 - Shortly));
    for (const auto it : Io.Accepted)
      ask(it, StatementKind::Set);
    REQUIRE(!advance(Limit / 2 - StopPlan::Margin));
    Io.Answers.clear();
  }

  /// Begins a transaction in which the primary has run a write.
  void beginTransaction() {
    ask(Client, StatementKind::Begin);
    ask(Client, StatementKind::Write);
    answerProxyCommands();
    answerStatement(SessionState::InTransaction);
    REQUIRE(replies().size() == 2);
  }

  void answerStatement(SessionState state) {
    const auto connection = carrier();
    REQUIRE(connection);
    answer(*connection, state);
  }

  /// How many clients' statements the primary has got and not answered.
  std::size_t sentStatements() const {
    std::size_t n = 0;
    for (const auto &[id, commands] : Io.Sent)
      n += static_cast<std::size_t>(
          std::count_if(commands.begin(), commands.end(),
                        [](const auto &it) { return !it.Id.empty(); }));
    return n;
  }

  const std::vector<proxy::StatementReply> &replies() {
    return Io.Answers[Client];
  }

  Duration Limit;
  ClientId Client{1};
};

} // namespace

TEST_CASE("StopAtItsLimit_OutcomeOfASentWriteIsUnknown") {
  Fixture it(UsualLimit);
  it.Module.stop();
  REQUIRE(!it.advance(milliseconds(2000)));
  it.ask(it.Client, StatementKind::Write);
  CHECK(it.advance(UsualLimit));
  REQUIRE(it.replies().size() == 1);
  CHECK(it.replies().front().Code == ReplyCode::OutcomeUnknown);
  CHECK(it.Io.Closed.contains(it.Client));
  CHECK(it.hasLogged("event=stop_cut sessions=1 waiting=1"));
}

TEST_CASE("StopAtItsLimit_AnswerHasTheMarginForItsWay") {
  Fixture it;
  it.stopAlmost();
  it.ask(it.Client, StatementKind::Write);
  REQUIRE(!it.advance(Shortly + milliseconds(20)));
  CHECK(it.replies().size() == 1);
  CHECK(it.Now < it.StoppedAt + it.Limit - StopPlan::Margin / 2);
  // The program goes on, so that the answer leaves.
  CHECK(!it.advance(StopPlan::Margin / 2));
  CHECK(it.advance(StopPlan::Margin / 2));
}

TEST_CASE("StopAtItsLimit_SentReadIsNotCalledNotRun") {
  Fixture it;
  it.stopAlmost();
  it.ask(it.Client, StatementKind::Read);
  it.answerProxyCommands();
  REQUIRE(it.carrier());
  it.advance(it.Limit);
  REQUIRE(it.replies().size() == 1);
  CHECK(it.replies().front().Code == ReplyCode::TimedOut);
}

TEST_CASE("StopAtItsLimit_StatementThatIsNotSentIsNotRun") {
  Fixture it;
  it.stopAlmost();
  it.HasPrimary = false;
  it.ask(it.Client, StatementKind::Read);
  REQUIRE(!it.carrier());
  it.advance(it.Limit);
  REQUIRE(it.replies().size() == 1);
  CHECK(it.replies().front().Code == ReplyCode::Busy);
  CHECK(it.Io.Closed.contains(it.Client));
}

TEST_CASE("StopAtItsLimit_QueuedStatementsAreNotRunAndNotSent") {
  Fixture it;
  it.stopAlmost();
  it.ask(it.Client, StatementKind::Write);
  it.ask(it.Client, StatementKind::Write);
  it.ask(it.Client, StatementKind::Begin);
  REQUIRE(it.sentStatements() == 1);
  it.advance(it.Limit);
  REQUIRE(it.replies().size() == 3);
  CHECK(it.replies()[0].Code == ReplyCode::OutcomeUnknown);
  CHECK(it.replies()[1].Code == ReplyCode::Busy);
  CHECK(it.replies()[2].Code == ReplyCode::Busy);
  CHECK(it.sentStatements() == 1);
}

TEST_CASE("StopAtItsLimit_EachOfManyIsToldWhatHappenedToIt") {
  Fixture it;
  constexpr std::uint64_t Clients = 60;
  for (std::uint64_t i = 2; i <= Clients; ++i)
    it.connect(ClientId{i});
  it.stopAlmost();
  // Meanwhile no further connection becomes ready.
  it.HasPrimary = false;
  for (std::uint64_t i = 2; i <= Clients; ++i)
    it.ask(ClientId{i}, StatementKind::Write);
  const auto sent = it.sentStatements();
  REQUIRE(sent < Clients - 1);
  it.advance(it.Limit);
  std::size_t unknown = 0;
  for (std::uint64_t i = 2; i <= Clients; ++i) {
    REQUIRE(it.Io.Answers[ClientId{i}].size() == 1);
    const auto code = it.Io.Answers[ClientId{i}].front().Code;
    unknown += code == ReplyCode::OutcomeUnknown;
    CHECK((code == ReplyCode::OutcomeUnknown || code == ReplyCode::Busy));
  }
  // NOTE: one that is refused must not make room for the next.
  CHECK(it.sentStatements() == sent);
  CHECK(unknown == sent);
}

TEST_CASE("StopAtItsLimit_StatementOfATransactionIsAborted") {
  Fixture it;
  it.stopAlmost();
  it.beginTransaction();
  it.ask(it.Client, StatementKind::Write);
  it.advance(it.Limit);
  REQUIRE(it.replies().size() == 3);
  CHECK(it.replies().back().Code == ReplyCode::Aborted);
  CHECK(it.Io.Closed.contains(it.Client));
}

TEST_CASE("StopAtItsLimit_OutcomeOfACommitIsUnknown") {
  Fixture it;
  it.stopAlmost();
  it.beginTransaction();
  it.ask(it.Client, StatementKind::Commit);
  it.advance(it.Limit);
  REQUIRE(it.replies().size() == 3);
  CHECK(it.replies().back().Code == ReplyCode::OutcomeUnknown);
}

TEST_CASE("StopAtItsLimit_RestingTransactionMeetsARefusal") {
  Fixture it;
  it.ask(it.Client, StatementKind::Begin);
  it.Module.stop();
  CHECK(it.advance(it.Limit));
  REQUIRE(it.Io.Rejected.contains(it.Client));
  CHECK(it.Io.Rejected[it.Client].Code == ReplyCode::Busy);
}
