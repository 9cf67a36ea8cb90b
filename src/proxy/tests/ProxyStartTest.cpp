// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Where reads are sent while a VM that has just started has no position
/// of the primary yet.

#include "proxy/tests/ProxyFixture.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace stepledge;
using namespace stepledge::proxy;
using proxy::tests::markOf;
using Fixture = proxy::tests::ProxyFixture;

namespace {

/// Six clients send a read at the same moment.
std::vector<std::string> askForReads(Fixture &it) {
  std::vector<std::string> texts;
  for (int i = 0; i < 6; ++i) {
    texts.push_back("READ r" + std::to_string(i));
    it.ask(it.connect("bounded"), StatementKind::Read, texts.back().c_str());
  }
  return texts;
}

int beginsAt(Fixture &it, const std::string &instance) {
  int n = 0;
  for (const auto &[id, commands] : it.Io.Sent)
    for (const auto &command : commands)
      n += it.instanceOf(id) == instance && command.Kind == CommandKind::Begin;
  return n;
}

int carriedBy(Fixture &it, const std::vector<std::string> &texts,
              const std::string &instance) {
  int n = 0;
  for (const auto &text : texts)
    if (const auto carrier = it.carrierOf(text))
      n += it.instanceOf(*carrier) == instance;
  return n;
}

} // namespace

TEST_CASE("Proxy_ReadsAfterAStartWaitForThePrimarysPosition") {
  Fixture it;
  const auto texts = askForReads(it);
  for (int i = 0; i < 3; ++i)
    it.advance(milliseconds(10));
  CHECK(beginsAt(it, "p") == 1);
  for (int i = 0; i < 6; ++i) {
    it.answerProxyCommands(markOf(3, 100));
    it.advance(milliseconds(10));
  }
  CHECK(carriedBy(it, texts, "p") <= 1);
  CHECK(carriedBy(it, texts, "r1") > 0);
  CHECK(carriedBy(it, texts, "r2") > 0);
}

TEST_CASE("Proxy_ReadsThatArrivedBeforeTheFirstLenderWaitToo") {
  Fixture it;
  // Too few connections for all VMs; this one borrows.
  control::Configuration configuration;
  configuration.Version = 2;
  configuration.Services["db"] = {"db", 12, 0};
  Fixture::addRoute(configuration, "bounded",
                    control::ReadPolicy::BoundedStaleness);
  it.Core.applyConfiguration(it.Now, configuration);
  std::vector<membership::EntryVm> entries;
  for (const char *ip : {"1", "2", "3", "4", "5", "6"})
    entries.push_back({std::string("10.9.9.") + ip, HallId("a")});
  it.Core.setEntries(entries);
  for (const auto &[id, target] : std::map(it.Io.Opened))
    it.Core.connectionLost(it.Now, id);
  it.Io.Opened.clear();
  for (int i = 0; i < 6; ++i) {
    ClientStatement statement;
    statement.Id = statement.Text = "READ r" + std::to_string(i);
    statement.Kind = StatementKind::Read;
    it.Core.statementReceived(it.Now, it.connect("bounded"), statement);
  }
  for (int i = 0; i < 20; ++i) {
    it.Now += milliseconds(10);
    it.Core.tick(it.Now);
  }
  for (const auto &[id, target] : it.Io.Opened)
    it.Io.ConnectedLenders.insert(target.LenderIp);
  it.connectAll();
  CHECK(beginsAt(it, "p") == 1);
}

TEST_CASE("Proxy_ReadsGoToThePrimaryWhenNoPositionArrives") {
  Fixture it;
  it.warmUp();
  it.Core.clearProofs();
  const auto texts = askForReads(it);
  // The first probe gets no answer.
  for (int i = 0; i < 20; ++i)
    it.advance(milliseconds(10));
  CHECK(beginsAt(it, "p") > 1);
}
