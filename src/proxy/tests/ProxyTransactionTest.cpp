// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Single writes and transactions: what is sent again, and which reply a
/// client gets when a connection is lost.

#include "proxy/tests/ProxyFixture.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::proxy;
using proxy::tests::markOf;
using Fixture = proxy::tests::ProxyFixture;

TEST_CASE("Proxy_WriteWithoutAnAnswerIsInDoubtAndNeverRepeated") {
  Fixture it;
  it.warmUp();
  const auto client = it.connect("current");
  it.ask(client, StatementKind::Write, "WRITE x 1");
  const auto carrier = it.carrierOf("WRITE x 1");
  REQUIRE(carrier);
  it.Io.Sent.erase(*carrier);
  it.Core.connectionLost(it.Now, *carrier);
  CHECK(it.lastAnswer(client).Code == ReplyCode::OutcomeUnknown);
  it.advance(milliseconds(500));
  CHECK(!it.carrierOf("WRITE x 1"));
}

TEST_CASE("Proxy_WriteRefusedAsNotRunIsSentAgain") {
  Fixture it;
  it.warmUp();
  const auto client = it.connect("current");
  it.ask(client, StatementKind::Write, "WRITE x 1");
  const auto carrier = it.carrierOf("WRITE x 1");
  REQUIRE(carrier);
  it.answer(*carrier, Fixture::refusal(ReplyCode::Busy));
  CHECK(it.Io.Answers[client].empty());
  it.advance(milliseconds(100));
  CHECK(it.carrierOf("WRITE x 1"));
}

TEST_CASE("Proxy_TransactionStaysOnOneConnection") {
  Fixture it;
  it.warmUp();
  const auto client = it.connect("current");
  const auto first = it.beginTransaction(client);
  it.ask(client, StatementKind::Read, "READ y");
  CHECK(it.carrierOf("READ y") == first);
  // Another client's statement must not run inside that transaction.
  const auto other = it.connect("current");
  it.ask(other, StatementKind::Write, "WRITE z 2");
  CHECK(it.carrierOf("WRITE z 2") != first);
}

TEST_CASE("Proxy_LostTransactionIsAborted") {
  Fixture it;
  it.warmUp();
  const auto client = it.connect("current");
  const auto carrier = it.beginTransaction(client);
  it.ask(client, StatementKind::Read, "READ y");
  it.Io.Sent.erase(carrier);
  it.Core.connectionLost(it.Now, carrier);
  CHECK(it.lastAnswer(client).Code == ReplyCode::Aborted);
  CHECK(it.lastAnswer(client).State == SessionState::Failed);
  it.ask(client, StatementKind::Rollback, "ROLLBACK");
  CHECK(it.lastAnswer(client).State == SessionState::Idle);
}

TEST_CASE("Proxy_LostCommitIsInDoubt") {
  Fixture it;
  it.warmUp();
  const auto client = it.connect("current");
  const auto carrier = it.beginTransaction(client);
  it.ask(client, StatementKind::Commit, "COMMIT");
  it.Io.Sent.erase(carrier);
  it.Core.connectionLost(it.Now, carrier);
  CHECK(it.lastAnswer(client).Code == ReplyCode::OutcomeUnknown);
  CHECK(it.lastAnswer(client).State == SessionState::Idle);
}

TEST_CASE("Proxy_IdleTransactionIsRolledBackAndReported") {
  Fixture it;
  it.warmUp();
  const auto client = it.connect("current");
  it.beginTransaction(client);
  it.advance(milliseconds(3500));
  it.answerProxyCommands(markOf(3, 100));
  it.ask(client, StatementKind::Commit, "COMMIT");
  CHECK(it.lastAnswer(client).Code == ReplyCode::Aborted);
}
