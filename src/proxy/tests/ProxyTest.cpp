// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Client sessions, the configuration that applies to them, and the order
/// in which they are served.

#include "proxy/tests/ProxyFixture.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

using namespace stepledge;
using namespace stepledge::proxy;
using proxy::tests::FakeIo;
using proxy::tests::markOf;
using Fixture = proxy::tests::ProxyFixture;
using control::ReadPolicy;

TEST_CASE("Proxy_UnknownDatabaseIsRejected") {
  Fixture it;
  const auto client = it.connect("nowhere");
  CHECK(it.Io.Rejected.at(client).Code == ReplyCode::UnknownDatabase);
}

TEST_CASE("Proxy_ClientBeforeTheFirstConfigurationWaits") {
  FakeIo io;
  quota::tests::FakeQuota quota;
  Proxy core(Fixture::options(), io, io, io, quota);
  const TimePoint now(std::chrono::seconds(10));
  core.clientConnected(now, ClientId{1}, DatabaseId("current"));
  CHECK(io.Rejected.empty());
  CHECK(io.Accepted.empty());
  control::Configuration configuration;
  configuration.Version = 4;
  Fixture::addRoute(configuration, "current", ReadPolicy::Current);
  core.applyConfiguration(now, configuration);
  CHECK(io.Accepted.contains(ClientId{1}));
}

TEST_CASE("Proxy_ClientWithoutAConfigurationIsRefusedInTime") {
  FakeIo io;
  quota::tests::FakeQuota quota;
  Proxy core(Fixture::options(), io, io, io, quota);
  const TimePoint now(std::chrono::seconds(10));
  core.clientConnected(now, ClientId{1}, DatabaseId("current"));
  core.tick(now + milliseconds(1000));
  REQUIRE(io.Rejected.contains(ClientId{1}));
  CHECK(io.Rejected[ClientId{1}].Code == ReplyCode::Busy);
}

TEST_CASE("Proxy_StatementBeforeTheFirstConfigurationIsAnswered") {
  FakeIo io;
  quota::tests::FakeQuota quota;
  Proxy core(Fixture::options(), io, io, io, quota);
  const TimePoint now(std::chrono::seconds(10));
  const ClientId client{1};
  core.clientConnected(now, client, DatabaseId("current"));
  ClientStatement statement;
  statement.Kind = StatementKind::Set;
  statement.Name = "lang";
  core.statementReceived(now, client, statement);
  control::Configuration configuration;
  configuration.Version = 4;
  Fixture::addRoute(configuration, "current", ReadPolicy::Current);
  core.applyConfiguration(now, configuration);
  CHECK(io.Accepted.contains(client));
  CHECK(io.Answers[client].size() == 1);
}

TEST_CASE("Proxy_ClientWithoutAConfigurationMaySendFewStatements") {
  FakeIo io;
  quota::tests::FakeQuota quota;
  Proxy core(Fixture::options(), io, io, io, quota);
  const TimePoint now(std::chrono::seconds(10));
  const ClientId client{1};
  core.clientConnected(now, client, DatabaseId("current"));
  for (int i = 0; i < 1000; ++i)
    core.statementReceived(now, client, {});
  REQUIRE(io.Rejected.contains(client));
  CHECK(io.Rejected[client].Code == ReplyCode::Busy);
}

TEST_CASE("Proxy_ClientsThatWaitedForTheFirstConfigurationAreLogged") {
  FakeIo io;
  quota::tests::FakeQuota quota;
  Proxy core(Fixture::options(), io, io, io, quota);
  const TimePoint now(std::chrono::seconds(10));
  core.clientConnected(now + milliseconds(20), ClientId{1},
                       DatabaseId("current"));
  core.clientConnected(now + milliseconds(40), ClientId{2},
                       DatabaseId("current"));
  ClientStatement statement;
  statement.Kind = StatementKind::Set;
  core.statementReceived(now + milliseconds(50), ClientId{2}, statement);
  control::Configuration configuration;
  configuration.Version = 4;
  Fixture::addRoute(configuration, "current", ReadPolicy::Current);
  core.applyConfiguration(now + milliseconds(100), configuration);
  const std::vector<std::string> expected = {
      "event=early_clients clients=2 statements=1 longest_ms=80"};
  CHECK(io.Lines == expected);
}

TEST_CASE("Proxy_StatementAbandonedByItsClientIsLogged") {
  Fixture it;
  it.warmUp();
  const auto linesOf = [&it](ClientId client) {
    const std::string start =
        "event=statement_given_up client=" + std::to_string(client.Number) +
        " ";
    std::vector<std::string> lines;
    for (const auto &line : it.Io.Lines)
      if (line.starts_with(start))
        lines.push_back(line);
    return lines;
  };
  const auto answered = it.connect("current");
  it.ask(answered, StatementKind::Set, "SET lang sv", "lang", "sv");
  it.Core.clientDisconnected(it.Now, answered);
  CHECK(linesOf(answered).empty());

  const auto waiting = it.connect("current");
  it.ask(waiting, StatementKind::Write, "WRITE x 1");
  REQUIRE(it.carrierOf("WRITE x 1"));
  it.advance(milliseconds(30));
  it.Core.clientDisconnected(it.Now, waiting);
  REQUIRE(linesOf(waiting).size() == 1);
  CHECK(linesOf(waiting).front().ends_with(
      " database=current stage=sent sendings=1 waited_ms=30"));
}

TEST_CASE("Proxy_SessionValuesGoWithTheStatement") {
  Fixture it;
  it.warmUp();
  const auto first = it.connect("current");
  it.ask(first, StatementKind::Set, "SET lang sv", "lang", "sv");
  CHECK(it.lastAnswer(first).Code == ReplyCode::Success);
  it.ask(first, StatementKind::Write, "WRITE x 1");
  const auto carrier = it.carrierOf("WRITE x 1");
  REQUIRE(carrier);
  CHECK(it.Io.Sent[*carrier].front().Kind == CommandKind::SetValue);
  it.answerProxyCommands(markOf(3, 100));
  it.answer(*carrier, Fixture::replyAt(markOf(3, 101)));
  // A client without that value must not get it on the same connection.
  const auto second = it.connect("current");
  it.ask(second, StatementKind::Write, "WRITE y 1");
  const auto other = it.carrierOf("WRITE y 1");
  REQUIRE(other);
  if (*other == *carrier)
    CHECK(it.Io.Sent[*other].front().Kind == CommandKind::ResetSession);
  else
    CHECK(it.Io.Sent[*other].front().Text == "WRITE y 1");
}

TEST_CASE("Proxy_PreparedStatementsBelongToTheirSession") {
  Fixture it;
  it.warmUp();
  const auto first = it.connect("current");
  it.ask(first, StatementKind::Prepare, "PREPARE s WRITE q1", "s", "q1");
  it.ask(first, StatementKind::Execute, "EXECUTE s x 1", "s", "x 1");
  it.answerProxyCommands(markOf(3, 100));
  std::string firstName;
  for (auto &[id, commands] : it.Io.Sent)
    for (const auto &command : commands)
      if (command.Kind == CommandKind::ClientExecute)
        firstName = command.Name;
  CHECK(!firstName.empty());
  const auto second = it.connect("current");
  it.ask(second, StatementKind::Execute, "EXECUTE s x 1", "s", "x 1");
  CHECK(it.lastAnswer(second).Code == ReplyCode::UnknownStatement);
}

TEST_CASE("Proxy_NewestIsServedFirstUnderOverload") {
  Fixture it;
  it.warmUp();
  // Waiting clients occupy all connections to the primary.
  std::vector<ClientId> clients;
  for (int i = 0; i < 40; ++i) {
    clients.push_back(it.connect("current"));
    const std::string text = "WRITE x " + std::to_string(i);
    it.ask(clients.back(), StatementKind::Write, text.c_str());
    it.advance(milliseconds(8));
  }
  std::optional<ConnectionId> busy;
  for (auto &[id, commands] : it.Io.Sent)
    if (!commands.empty() && !commands.front().Id.empty())
      busy = id;
  REQUIRE(busy);
  it.answer(*busy, Fixture::replyAt(markOf(3, 101)));
  REQUIRE(!it.Io.Sent[*busy].empty());
  CHECK(it.Io.Sent[*busy].front().Text == "WRITE x 39");
}

TEST_CASE("Proxy_ChangedRouteBindsFromTheNextTransaction") {
  Fixture it;
  it.warmUp();
  const auto client = it.connect("current");
  it.ask(client, StatementKind::Begin, "BEGIN");
  it.ask(client, StatementKind::Write, "WRITE x 1");
  it.answerProxyCommands(markOf(3, 100));
  control::Configuration next;
  next.Version = 2;
  next.Services["db"] = {"db", 40, 0};
  it.Core.applyConfiguration(it.Now, next);
  const auto carrier = it.carrierOf("WRITE x 1");
  REQUIRE(carrier);
  it.answer(*carrier,
            Fixture::replyAt(markOf(3, 100), SessionState::InTransaction));
  it.ask(client, StatementKind::Commit, "COMMIT");
  CHECK(it.carrierOf("COMMIT") == carrier);
  it.answer(*carrier, Fixture::replyAt(markOf(3, 101)));
  it.ask(client, StatementKind::Read, "READ x");
  CHECK(it.lastAnswer(client).Code == ReplyCode::UnknownDatabase);
}

TEST_CASE("Proxy_OlderConfigurationIsNotTaken") {
  Fixture it;
  control::Configuration older;
  older.Version = 1;
  it.Core.applyConfiguration(it.Now, older);
  const auto client = it.connect("current");
  CHECK(it.Io.Accepted.contains(client));
}
