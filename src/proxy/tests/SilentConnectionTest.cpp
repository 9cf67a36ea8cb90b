// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A connection that goes silent without a reset while others to the same
/// instance work.

#include "proxy/tests/ProxyFixture.h"

#include <doctest/doctest.h>

#include <string>

using namespace stepledge;
using namespace stepledge::proxy;
using proxy::tests::markOf;
using Fixture = proxy::tests::ProxyFixture;

namespace {

/// Answers all commands except those on \p silent.
void answerAllExcept(Fixture &it, ConnectionId silent) {
  for (int n = 0; n < 20; ++n)
    for (auto &[id, commands] : it.Io.Sent) {
      if (id == silent || commands.empty())
        continue;
      const bool isBegin = commands.front().Kind == CommandKind::Begin;
      it.answer(id, Fixture::replyAt(markOf(3, 100),
                                     isBegin ? SessionState::InTransaction
                                             : SessionState::Idle));
      break;
    }
}

/// Sends a write; returns its connection, which doesn't answer it.
ConnectionId writeOnSilentConnection(Fixture &it, ClientId client,
                                     const char *text) {
  it.ask(client, StatementKind::Write, text);
  const auto silent = it.carrierOf(text);
  REQUIRE(silent);
  return *silent;
}

/// Advances the time by 30 ms \p rounds times; other clients' writes are
/// answered in each round.
void runOtherClients(Fixture &it, ConnectionId silent, int rounds) {
  for (int i = 0; i < rounds; ++i) {
    const std::string text = "WRITE other " + std::to_string(i);
    it.ask(it.connect("current"), StatementKind::Write, text.c_str());
    it.advance(milliseconds(30));
    answerAllExcept(it, silent);
  }
}

} // namespace

TEST_CASE("SilentConnection_CurrentReadMovesToAnotherConnection") {
  Fixture it;
  it.warmUp();
  const auto client = it.connect("current");
  it.ask(client, StatementKind::Read, "READ x");
  ConnectionId silent;
  for (const auto &[id, commands] : it.Io.Sent)
    if (!commands.empty())
      silent = id;
  REQUIRE(it.instanceOf(silent) == "p");
  runOtherClients(it, silent, 20);
  REQUIRE(!it.Io.Answers[client].empty());
  CHECK(it.lastAnswer(client).Code == ReplyCode::Success);
}

TEST_CASE("SilentConnection_WriteHasUnknownOutcomeAndIsNotRepeated") {
  Fixture it;
  it.warmUp();
  const auto client = it.connect("current");
  const auto silent = writeOnSilentConnection(it, client, "WRITE x 1");
  runOtherClients(it, silent, 30);
  REQUIRE(!it.Io.Answers[client].empty());
  CHECK(it.lastAnswer(client).Code == ReplyCode::OutcomeUnknown);
  for (const auto &[id, commands] : it.Io.Sent)
    for (const auto &command : commands)
      CHECK((id == silent || command.Text != "WRITE x 1"));
}

TEST_CASE("SilentConnection_IsReplacedSoonAfterItsStatementIsAbandoned") {
  Fixture it;
  it.warmUp();
  const auto client = it.connect("current");
  const auto silent = writeOnSilentConnection(it, client, "WRITE x 1");
  it.Core.clientDisconnected(it.Now, client);
  // 0.75 s: without regard to the later answers it would be kept for 2.5 s.
  runOtherClients(it, silent, 25);
  CHECK(!it.Io.Opened.contains(silent));
}

TEST_CASE("SilentConnection_PositionProbesDetectIt") {
  Fixture it;
  it.warmUp();
  // Two connections become idle; the probes must reach both of them.
  const auto first = it.connect("current");
  const auto second = it.connect("current");
  it.ask(first, StatementKind::Write, "WRITE a 1");
  it.ask(second, StatementKind::Write, "WRITE b 1");
  for (int i = 0; i < 4; ++i)
    it.advance(milliseconds(30));
  const auto a = it.carrierOf("WRITE a 1");
  const auto b = it.carrierOf("WRITE b 1");
  REQUIRE(a);
  REQUIRE(b);
  it.answer(*a, Fixture::replyAt(markOf(3, 100)));
  it.answer(*b, Fixture::replyAt(markOf(3, 100)));
  std::set<ConnectionId> asked;
  for (int i = 0; i < 30; ++i) {
    it.advance(milliseconds(100));
    for (const auto &[id, commands] : it.Io.Sent)
      if (!commands.empty())
        asked.insert(id);
    it.answerProxyCommands(markOf(3, 100));
  }
  CHECK(asked.contains(*a));
  CHECK(asked.contains(*b));
}

TEST_CASE("SilentConnection_TransactionOnItIsAbortedInTimeForARetry") {
  Fixture it;
  it.warmUp();
  const auto client = it.connect("current");
  const auto silent = it.beginTransaction(client);
  it.ask(client, StatementKind::Write, "WRITE y 1");
  // 0.36 s, of the route's statement timeout of 0.8 s.
  runOtherClients(it, silent, 12);
  CHECK(it.lastAnswer(client).Code == ReplyCode::Aborted);
  CHECK(!it.Io.Opened.contains(silent));
}

TEST_CASE("SilentConnection_TransactionOfAnUnreachablePrimaryIsAbortedInTime") {
  Fixture it;
  it.warmUp();
  const auto client = it.connect("current");
  it.beginTransaction(client);
  it.ask(client, StatementKind::Write, "WRITE y 1");
  // The primary answers nothing any more.
  for (int i = 0; i < 16; ++i)
    it.advance(milliseconds(30));
  CHECK(it.lastAnswer(client).Code == ReplyCode::Aborted);
  CHECK(it.lastAnswer(client).State == SessionState::Failed);
}

TEST_CASE("SilentConnection_CommitOnItIsNotAbandonedEarly") {
  Fixture it;
  it.warmUp();
  const auto client = it.connect("current");
  const auto silent = it.beginTransaction(client);
  const auto answered = it.Io.Answers[client].size();
  it.ask(client, StatementKind::Commit, "COMMIT");
  runOtherClients(it, silent, 12);
  CHECK(it.Io.Answers[client].size() == answered);
  runOtherClients(it, silent, 20);
  CHECK(it.lastAnswer(client).Code == ReplyCode::OutcomeUnknown);
}
