// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A call that is retried while its first copy is in flight, or after it
/// took effect, adds almost nothing to the log and is still acknowledged only
/// after a commit.

#include "control/tests/FakeControls.h"
#include "control/tests/RouteListDocument.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

using namespace stepledge;
using namespace stepledge::control;
using control::tests::decodeRouteList;
using control::tests::FakeControls;
using control::tests::routeListDocument;

namespace {

constexpr std::size_t Vms = 3;
/// A document of about 260 KB.
constexpr int Routes = 1400;
constexpr int TimeoutMs = 800;
/// Longer than two retry intervals of a call, and shorter than a call's
/// timeout.
constexpr Duration DiskStall = milliseconds(700);
/// An upper bound of all other log entries of a test together.
constexpr std::size_t SmallEntries = 4096;
constexpr Duration CallTime = milliseconds(1200);

using Answer = std::shared_ptr<std::optional<bool>>;

Answer put(FakeControls &group, std::size_t vm, std::uint64_t version,
           const std::string &document) {
  auto done = std::make_shared<std::optional<bool>>();
  group.node(vm).putConfiguration(group.now(), version, document,
                                  [done](bool ok) { *done = ok; });
  return done;
}

std::size_t followerOf(const FakeControls &group) {
  return (group.leader() + 1) % Vms;
}

std::size_t maxEntryBytes(const FakeControls &group) {
  std::size_t most = 0;
  for (std::size_t vm = 0; vm < Vms; ++vm)
    most = std::max(most, group.entryBytes(vm));
  return most;
}

} // namespace

TEST_CASE("Control_RetriedUncommittedCallIsInTheLogOnce") {
  FakeControls group(decodeRouteList);
  group.run(milliseconds(1500));
  const std::string document = routeListDocument(1, Routes, TimeoutMs);
  group.stallDisks(DiskStall);
  const auto done = put(group, followerOf(group), 1, document);
  group.run(CallTime);
  CHECK(*done == true);
  for (std::size_t vm = 0; vm < Vms; ++vm) {
    CHECK(group.node(vm).document() == document);
    CHECK(group.entryBytes(vm) < document.size() + SmallEntries);
  }
}

TEST_CASE("Control_LargeCallIsForwardedOnce") {
  FakeControls group(decodeRouteList);
  group.run(milliseconds(1500));
  const std::string document = routeListDocument(1, Routes, TimeoutMs);
  const std::size_t follower = followerOf(group);
  group.stallDisks(DiskStall);
  const auto done = put(group, follower, 1, document);
  group.run(CallTime);
  CHECK(*done == true);
  CHECK(group.callBytes(follower) < document.size() + SmallEntries);
}

TEST_CASE("Control_CallLostWithItsConnectionIsForwardedAgain") {
  FakeControls group(decodeRouteList);
  group.run(milliseconds(1500));
  const std::string document = routeListDocument(1, Routes, TimeoutMs);
  const std::size_t follower = followerOf(group);
  group.isolate(follower);
  const auto done = put(group, follower, 1, document);
  group.run(milliseconds(100));
  group.disconnect(follower);
  group.endIsolation(follower);
  group.reconnect(follower);
  group.run(milliseconds(100));
  CHECK(*done == true);
}

TEST_CASE("Control_CallLostWithItsLeaderIsForwardedToTheNextOne") {
  FakeControls group(decodeRouteList);
  group.run(milliseconds(1500));
  const std::string document = routeListDocument(1, Routes, TimeoutMs);
  const std::size_t follower = followerOf(group);
  const std::size_t old = group.leader();
  group.isolate(old);
  // The others become candidates 0.5 to 1 s after its last heartbeat.
  group.run(milliseconds(400));
  const auto done = put(group, follower, 1, document);
  group.run(milliseconds(840));
  CHECK(*done == true);
  CHECK(group.node(follower).document() == document);
}

TEST_CASE("Control_AppliedConfigurationIsAcknowledgedWithoutLoggingItsBytes") {
  FakeControls group(decodeRouteList);
  group.run(milliseconds(1500));
  const std::string document = routeListDocument(1, Routes, TimeoutMs);
  const auto first = put(group, 0, 1, document);
  group.run(CallTime);
  CHECK(*first == true);
  // The acknowledgement was lost, so the operator retries at each VM in turn.
  for (std::size_t vm = 0; vm < Vms; ++vm) {
    const auto done = put(group, vm, 1, document);
    group.run(CallTime);
    CHECK(*done == true);
  }
  CHECK(maxEntryBytes(group) < document.size() + SmallEntries);
  for (std::size_t vm = 0; vm < Vms; ++vm)
    CHECK(group.node(vm).document() == document);
}

TEST_CASE("Control_AppliedConfigurationIsAcknowledgedOnlyAfterACommit") {
  FakeControls group(decodeRouteList);
  group.run(milliseconds(1500));
  const std::string document = routeListDocument(1, 1, TimeoutMs);
  const auto first = put(group, 0, 1, document);
  group.run(CallTime);
  CHECK(*first == true);
  const std::size_t old = group.leader();
  group.isolate(old);
  const auto alone = put(group, old, 1, document);
  group.run(CallTime);
  CHECK(*alone == false);
  // A follower can't acknowledge it from its own copy either.
  group.endIsolation(old);
  group.run(milliseconds(2500));
  const std::size_t follower = followerOf(group);
  group.isolate(follower);
  const auto follows = put(group, follower, 1, document);
  group.run(CallTime);
  CHECK(*follows == false);
}

TEST_CASE("Control_RetryNeverChangesAVersionsContent") {
  FakeControls group(decodeRouteList);
  group.run(milliseconds(1500));
  const std::string document = routeListDocument(1, 2, TimeoutMs);
  group.stallDisks(DiskStall);
  // Both are in flight at once, and the later one is another document.
  const auto first = put(group, group.leader(), 1, document);
  const auto second =
      put(group, followerOf(group), 1, routeListDocument(1, 3, TimeoutMs));
  group.run(CallTime);
  CHECK(*first == true);
  CHECK(*second == true);
  const auto third =
      put(group, followerOf(group), 1, routeListDocument(1, 4, TimeoutMs));
  group.run(CallTime);
  CHECK(*third == true);
  for (std::size_t vm = 0; vm < Vms; ++vm)
    CHECK(group.node(vm).document() == document);
}

TEST_CASE("Control_FormerLeadersCallsAreTakenByTheNextLeader") {
  FakeControls group(decodeRouteList);
  group.run(milliseconds(1500));
  const std::size_t old = group.leader();
  const std::string document = routeListDocument(1, 2, TimeoutMs);
  group.isolate(old);
  const auto lost = put(group, old, 1, document);
  group.run(milliseconds(2500));
  CHECK(*lost == false);
  group.endIsolation(old);
  group.run(milliseconds(500));
  for (std::size_t vm = 0; vm < Vms; ++vm) {
    const auto done = put(group, vm, 2 + vm, document);
    group.run(CallTime);
    CHECK(*done == true);
    CHECK(group.node(old).configurationVersion() == 2 + vm);
  }
}

TEST_CASE("Control_EntryLostWithItsConnectionIsResentAtOnce") {
  FakeControls group(decodeRouteList);
  group.run(milliseconds(1500));
  const std::string document = routeListDocument(1, Routes, TimeoutMs);
  const std::size_t follower = followerOf(group);
  // Messages sent now don't arrive, and then the connection is closed.
  group.isolate(follower);
  const auto done = put(group, group.leader(), 1, document);
  group.run(milliseconds(100));
  CHECK(*done == true);
  group.disconnect(follower);
  group.endIsolation(follower);
  group.reconnect(follower);
  group.run(milliseconds(50));
  CHECK(group.node(follower).document() == document);
}

TEST_CASE("Control_EntryWithoutAConnectionIsSentOnTheNextOne") {
  FakeControls group(decodeRouteList);
  group.run(milliseconds(1500));
  const std::string document = routeListDocument(1, Routes, TimeoutMs);
  const std::size_t follower = followerOf(group);
  group.disconnect(follower);
  const auto done = put(group, group.leader(), 1, document);
  group.run(milliseconds(200));
  CHECK(*done == true);
  group.reconnect(follower);
  group.run(milliseconds(50));
  CHECK(group.node(follower).document() == document);
}
