// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Where reads go while a VM that has just started knows no position of
/// the primary yet.

#include "proxy/tests/ProxyFixture.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace stepledge;
using namespace stepledge::proxy;
using proxy::tests::markOf;
using Fixture = proxy::tests::ProxyFixture;

namespace {

/// Six clients come back at the same moment.
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
    it.answerOwn(markOf(3, 100));
    it.advance(milliseconds(10));
  }
  CHECK(carriedBy(it, texts, "p") <= 1);
  CHECK(carriedBy(it, texts, "r1") > 0);
  CHECK(carriedBy(it, texts, "r2") > 0);
}

TEST_CASE("Proxy_ReadsTurnToThePrimaryWhereNoPositionComes") {
  Fixture it;
  it.warmUp();
  it.Core.forgetProofs();
  const auto texts = askForReads(it);
  // The first question stays without an answer.
  for (int i = 0; i < 20; ++i)
    it.advance(milliseconds(10));
  CHECK(beginsAt(it, "p") > 1);
}
