// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What operators and instances are told whose calls wait as a control VM
/// ends.

#include "control/tests/FakeControls.h"

#include <doctest/doctest.h>

#include <optional>

using namespace stepledge;
using namespace stepledge::control;
using control::tests::FakeControls;

namespace {

constexpr Duration LongStall = milliseconds(2000);

struct Fixture {
  Fixture() {
    Group.run(milliseconds(1500));
    Group.stallDisks(LongStall);
  }

  ControlNode::OnDone into(std::optional<bool> &answer) {
    return [&answer](bool isDone) { answer = isDone; };
  }

  FakeControls Group;
};

} // namespace

TEST_CASE("EndingControl_PendingCallsAreAnsweredAsUnknown") {
  Fixture it;
  std::optional<bool> change;
  std::optional<bool> read;
  auto &node = it.Group.node(it.Group.leader());
  node.putConfiguration(it.Group.now(), 1, "document", it.into(change));
  it.Group.isolate(it.Group.leader());
  node.confirmNewest(it.Group.now(), it.into(read));
  it.Group.run(milliseconds(100));
  REQUIRE(!change);
  REQUIRE(!read);
  node.endCalls();
  CHECK(change == false);
  CHECK(read == false);
}

TEST_CASE("EndingControl_CallThatComesLateIsAnsweredAtOnce") {
  Fixture it;
  std::optional<bool> change;
  auto &node = it.Group.node(it.Group.leader());
  node.endCalls();
  CHECK(node.isEnding());
  node.putConfiguration(it.Group.now(), 1, "document", it.into(change));
  CHECK(change == false);
  // It wasn't passed on either.
  it.Group.run(2 * LongStall);
  CHECK(node.configurationVersion() == 0);
}
