// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Clients that send many statements without waiting for their answers.

#include "proxy/tests/ProxyFixture.h"

#include <functional>

using namespace stepledge;
using namespace stepledge::proxy;
using proxy::tests::markOf;
using proxy::tests::ProxyFixture;

namespace {

/// Deep enough for any stack if each takes a level.
constexpr int ManyStatements = 200000;

/// Sends a read that is answered last, and \p count commits that get an error.
ConnectionId flood(ProxyFixture &it, ClientId client, int count) {
  it.ask(client, StatementKind::Read, "READ t1");
  for (int i = 0; i < count; ++i)
    it.ask(client, StatementKind::Commit, "COMMIT");
  it.answerProxyCommands(markOf(3, 100));
  const auto carrier = it.carrierOf("READ t1");
  REQUIRE(carrier);
  return *carrier;
}

} // namespace

TEST_CASE("Pipelined_RefusalsOfManyStatementsTakeNoDepth") {
  // Each refused statement handled the next one a level deeper.
  const std::function<void(ProxyFixture &, ConnectionId)> ends[] = {
      [](auto &it, auto carrier) {
        it.answer(carrier, ProxyFixture::replyAt(markOf(3, 100)));
      },
      [](auto &it, auto) { it.advance(milliseconds(2000)); },
      [](auto &it, auto) { it.Core.endAllWork(it.Now); },
  };
  for (const auto &end : ends) {
    ProxyFixture it;
    it.warmUp();
    const auto client = it.connect("current");
    const auto carrier = flood(it, client, ManyStatements);
    end(it, carrier);
    CHECK(it.Io.Answers[client].size() == ManyStatements + 1);
  }
}

TEST_CASE("Pipelined_ClientIsHeldBackAtTheLimitAndReleasedAtHalfOfIt") {
  const ProxyOptions options;
  const auto limit = static_cast<int>(options.MaxQueuedStatements);
  ProxyFixture it;
  it.warmUp();
  const auto client = it.connect("current");
  const auto other = it.connect("current");
  const auto carrier = flood(it, client, limit - 1);
  CHECK_FALSE(it.Io.HeldClients.contains(client));
  it.ask(client, StatementKind::Commit, "COMMIT");
  CHECK(it.Io.HeldClients.contains(client));
  CHECK_FALSE(it.Io.HeldClients.contains(other));
  it.answer(carrier, ProxyFixture::replyAt(markOf(3, 100)));
  CHECK_FALSE(it.Io.HeldClients.contains(client));
  CHECK(it.Io.Answers[client].size() == options.MaxQueuedStatements + 1);
}

TEST_CASE("Pipelined_HeldClientWaitsUntilHalfOfItsStatementsAreAnswered") {
  const ProxyOptions options;
  ProxyFixture it;
  it.warmUp();
  const auto client = it.connect("current");
  for (std::size_t i = 0; i <= options.MaxQueuedStatements; ++i)
    it.ask(client, StatementKind::Read, ("READ " + std::to_string(i)).c_str());
  CHECK(it.Io.HeldClients.contains(client));
  for (std::size_t i = 0; i <= options.MaxQueuedStatements; ++i) {
    it.answerProxyCommands(markOf(3, 100));
    const auto carrier = it.carrierOf("READ " + std::to_string(i));
    REQUIRE(carrier);
    it.answer(*carrier, ProxyFixture::replyAt(markOf(3, 100)));
    const auto queued = options.MaxQueuedStatements - i;
    const bool isAboveHalf = queued > options.MaxQueuedStatements / 2 + 1;
    CHECK(it.Io.HeldClients.contains(client) == isAboveHalf);
  }
}

TEST_CASE("Pipelined_LongStatementsCountByTheirBytes") {
  const ProxyOptions options;
  ProxyFixture it;
  it.warmUp();
  const auto client = it.connect("current");
  flood(it, client, 0);
  const std::string value(options.MaxQueuedBytes, 'x');
  it.ask(client, StatementKind::Set, "SET v", "v", value.c_str());
  CHECK(it.Io.HeldClients.contains(client));
}
