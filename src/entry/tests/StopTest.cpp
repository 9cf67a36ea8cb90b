// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What clients get from an entry VM that is being stopped.

#include "entry/EntryModule.h"

#include "proxy/tests/FakeIo.h"

#include <doctest/doctest.h>

#include <string>

using namespace stepledge;
using namespace stepledge::entry;
using proxy::ClientId;
using proxy::StatementKind;

namespace {

/// When sessions at rest begin to be closed.
constexpr Duration ClosingBegins = StopPlan::BalancerTime + milliseconds(100);
/// A statement's way over a full link.
constexpr Duration LongWay = milliseconds(400);
/// Until a statement that no instance can run is refused.
constexpr Duration RefusalLimit = milliseconds(800);

struct Fixture {
  Fixture() : Module(Context, options(), Io, Io, [this] { return Now; }) {
    control::Configuration configuration;
    configuration.Version = 1;
    configuration.Services["db"] = {"db", 40, 0};
    control::Route route;
    route.Database = DatabaseId("orders");
    route.Service = "db";
    route.StatementTimeout = milliseconds(800);
    configuration.Routes[route.Database] = route;
    Module.proxy().applyConfiguration(Now, configuration);
  }

  static EntryModuleOptions options() {
    EntryModuleOptions options;
    options.Node.Ip = "127.0.0.1";
    options.StopLimit = milliseconds(6000);
    return options;
  }

  void connect(ClientId client) {
    Module.proxy().clientConnected(Now, client, DatabaseId("orders"));
  }

  void ask(ClientId client) {
    proxy::ClientStatement statement;
    statement.Id = "1";
    statement.Kind = StatementKind::Read;
    statement.Text = "READ x";
    Module.proxy().clientAsked(Now, client, std::move(statement));
  }

  /// Whether the stop is through.
  bool advance(Duration time) {
    constexpr Duration Step = milliseconds(10);
    bool isOver = false;
    for (const TimePoint end = Now + time; Now < end && !isOver;) {
      Now += Step;
      isOver = Module.tick();
    }
    return isOver;
  }

  asio::io_context Context;
  proxy::tests::FakeIo Io;
  TimePoint Now = TimePoint(std::chrono::seconds(10));
  EntryModule Module;
};

} // namespace

TEST_CASE("Stop_NewSessionStaysForItsFirstStatement") {
  Fixture it;
  it.Module.stop();
  REQUIRE(!it.advance(ClosingBegins));
  const ClientId client{1};
  it.connect(client);
  REQUIRE(!it.advance(LongWay));
  CHECK(!it.Io.Closed.contains(client));
  it.ask(client);
  it.advance(RefusalLimit);
  CHECK(it.Io.Answers[client].size() == 1);
}

TEST_CASE("Stop_SessionThatAsksAgainAndAgainEndsBehindAnAnswer") {
  Fixture it;
  const ClientId client{1};
  it.connect(client);
  it.Module.stop();
  it.advance(ClosingBegins - milliseconds(200));
  it.ask(client);
  it.advance(RefusalLimit);
  CHECK(it.Io.Answers[client].size() == 1);
  CHECK(it.Io.Closed.contains(client));
}

TEST_CASE("Stop_IsThroughSoonWhereAllSessionsRest") {
  Fixture it;
  for (std::uint64_t i = 1; i <= 5; ++i)
    it.connect(ClientId{i});
  it.Module.stop();
  CHECK(it.advance(StopPlan::BalancerTime + milliseconds(600)));
  CHECK(it.Io.Closed.size() == 5);
}
