// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Two operators send different content under one number at the same
/// time, while the leader is lost: all control VMs hold one of the two for
/// good.

#include "control/tests/FakeControls.h"

#include <doctest/doctest.h>

#include <set>
#include <string>

using namespace stepledge;
using namespace stepledge::control;
using control::tests::FakeControls;

namespace {

constexpr std::uint64_t Version = 7;

/// All that the VMs hold under the number.
std::set<std::string> heldContents(FakeControls &group) {
  std::set<std::string> held;
  for (std::size_t vm = 0; vm < 3; ++vm)
    if (group.node(vm).configurationVersion() == Version)
      held.insert(group.node(vm).document());
  return held;
}

/// The leader goes \p after the orders were sent, and comes back later.
void race(FakeControls &group, Duration after) {
  const auto old = group.leader();
  for (std::size_t vm = 0; vm < 3; ++vm)
    group.node(vm).putConfiguration(
        group.now(), Version, "content of " + std::to_string(vm), [](bool) {});
  group.run(after);
  group.kill(old);
  group.run(milliseconds(2500));
  group.start(old);
  group.reconnect(old);
  group.run(milliseconds(1500));
}

} // namespace

TEST_CASE("ConfigurationRace_OneContentIsHeldUnderANumber") {
  for (std::int64_t ms = 0; ms <= 60; ms += 10) {
    FakeControls group;
    group.run(milliseconds(1500));
    race(group, milliseconds(ms));
    const auto held = heldContents(group);
    INFO("the leader goes after ", ms, " ms");
    CHECK(held.size() <= 1);
    // The same orders, and others, once more.
    group.node(1).putConfiguration(group.now(), Version, "late content",
                                   [](bool) {});
    group.run(milliseconds(1000));
    group.restartAll();
    group.run(milliseconds(1500));
    const auto later = heldContents(group);
    CHECK(later.size() == 1);
    if (!held.empty())
      CHECK(later == held);
  }
}
