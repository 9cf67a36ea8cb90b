// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What may still run by a route that a newer configuration has dropped:
/// each way that keeps one.

#include "proxy/tests/ProxyFixture.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::proxy;
using Fixture = stepledge::proxy::tests::ProxyFixture;
using stepledge::proxy::tests::markOf;

namespace {

struct Dropping : Fixture {
  Dropping() { warmUp(); }

  /// The next version has no route, or the one of "current" elsewhere.
  void drop(const char *movedTo = nullptr) {
    control::Configuration next;
    next.Version = Core.configurationVersion() + 1;
    next.Services["db"] = {"db", 40, 0};
    if (movedTo) {
      next.Services[movedTo] = {movedTo, 40, 0};
      addRoute(next, "current", control::ReadPolicy::Current);
      next.Routes[DatabaseId("current")].Service = movedTo;
    }
    Core.applyConfiguration(Now, next);
  }
};

} // namespace

TEST_CASE_FIXTURE(Dropping, "DroppedRoute_OpenSessionIsRefused") {
  const auto client = connect("current");
  drop();
  ask(client, StatementKind::Read, "READ x");
  CHECK(lastAnswer(client).Code == ReplyCode::UnknownDatabase);
  CHECK_FALSE(carrierOf("READ x"));
}

TEST_CASE_FIXTURE(Dropping, "DroppedRoute_BeginWithoutAStatementKeepsNoRoute") {
  const auto client = connect("current");
  ask(client, StatementKind::Begin, "BEGIN");
  drop();
  advance(milliseconds(10));
  ask(client, StatementKind::Read, "READ x");
  answerProxyCommands(markOf(3, 100));
  CHECK_FALSE(carrierOf("READ x"));
  CHECK(lastAnswer(client).Code == ReplyCode::UnknownDatabase);
  ask(client, StatementKind::Rollback, "ROLLBACK");
  CHECK(lastAnswer(client).State == SessionState::Idle);
}

TEST_CASE_FIXTURE(Dropping, "DroppedRoute_BeginWithoutAStatementIsMoved") {
  const auto client = connect("current");
  ask(client, StatementKind::Begin, "BEGIN");
  drop("other");
  ask(client, StatementKind::Read, "READ x");
  answerProxyCommands(markOf(3, 100));
  CHECK_FALSE(carrierOf("READ x"));
}

TEST_CASE_FIXTURE(Dropping, "DroppedRoute_StatementBehindAnotherIsRefused") {
  const auto client = connect("current");
  ask(client, StatementKind::Write, "WRITE x 1");
  ask(client, StatementKind::Write, "WRITE x 2");
  const auto carrier = carrierOf("WRITE x 1");
  REQUIRE(carrier);
  drop();
  answer(*carrier, replyAt(markOf(3, 101)));
  CHECK(lastAnswer(client).Code == ReplyCode::UnknownDatabase);
  CHECK_FALSE(carrierOf("WRITE x 2"));
}

TEST_CASE_FIXTURE(Dropping, "DroppedRoute_NextTransactionIsRefused") {
  const auto client = connect("current");
  ask(client, StatementKind::Begin, "BEGIN");
  ask(client, StatementKind::Write, "WRITE x 1");
  answerProxyCommands(markOf(3, 100));
  drop();
  const auto carrier = carrierOf("WRITE x 1");
  REQUIRE(carrier);
  answer(*carrier, replyAt(markOf(3, 100), SessionState::InTransaction));
  ask(client, StatementKind::Rollback, "ROLLBACK");
  ask(client, StatementKind::Begin, "BEGIN");
  CHECK(lastAnswer(client).Code == ReplyCode::UnknownDatabase);
}

TEST_CASE("DroppedRoute_EarlyClientIsServedByTheFirstConfigurationTaken") {
  Fixture it;
  quota::tests::FakeQuota quota;
  Proxy core(Fixture::options(), it.Io, it.Io, it.Io, quota);
  const ClientId client{77};
  core.clientConnected(it.Now, client, DatabaseId("gone"));
  control::Configuration first;
  first.Version = 3;
  first.Services["db"] = {"db", 40, 0};
  core.applyConfiguration(it.Now, first);
  CHECK_FALSE(it.Io.Accepted.contains(client));
}
