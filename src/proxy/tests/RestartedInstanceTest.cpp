// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file How the proxy handles instances that restart under the same id.

#include "proxy/tests/ProxyFixture.h"

using namespace stepledge;
using namespace stepledge::proxy;
using namespace stepledge::proxy::tests;

namespace {

constexpr std::uint64_t FirstStartMs = 1'800'000'000'000;
constexpr std::uint64_t SecondStartMs = FirstStartMs + 60'000;

membership::InstanceRecord recordOf(const char *id, bool isPrimary,
                                    std::uint64_t startMs,
                                    std::uint64_t sequence) {
  membership::InstanceRecord record;
  record.Id = InstanceId(id);
  record.Service = "db";
  record.Address = "10.0.0.9:1";
  record.Hall = HallId("a");
  record.Role = isPrimary ? membership::InstanceRole::Primary
                          : membership::InstanceRole::Replica;
  record.Slots = 3;
  record.StartTimeMs = startMs;
  record.Sequence = sequence;
  return record;
}

/// Reports the first incarnation of each instance to the proxy.
void announceFirstIncarnations(ProxyFixture &it) {
  it.Core.applyInstance(it.Now, recordOf("p", true, FirstStartMs, 9));
  it.Core.applyInstance(it.Now, recordOf("r1", false, FirstStartMs, 9));
  it.Core.applyInstance(it.Now, recordOf("r2", false, FirstStartMs, 9));
  it.warmUp();
}

std::set<ConnectionId> connectionsTo(ProxyFixture &it, const char *id) {
  std::set<ConnectionId> ids;
  for (const auto &[connection, target] : it.Io.Opened)
    if (target.Instance == InstanceId(id))
      ids.insert(connection);
  return ids;
}

} // namespace

TEST_CASE("RestartedInstance_NoConnectionOfTheEarlierIncarnationIsReused") {
  ProxyFixture it;
  announceFirstIncarnations(it);
  const auto before = connectionsTo(it, "p");
  REQUIRE(!before.empty());
  it.Core.applyInstance(it.Now, recordOf("p", true, SecondStartMs, 1));
  for (const auto id : connectionsTo(it, "p"))
    CHECK(!before.contains(id));
}

TEST_CASE("RestartedInstance_TransactionOfTheEarlierIncarnationIsAborted") {
  ProxyFixture it;
  announceFirstIncarnations(it);
  const auto client = it.connect("current");
  it.beginTransaction(client);
  it.Core.applyInstance(it.Now, recordOf("p", true, SecondStartMs, 1));
  it.ask(client, StatementKind::Write, "WRITE x 2");
  CHECK(it.lastAnswer(client).Code == ReplyCode::Aborted);
  CHECK(!it.carrierOf("WRITE x 2"));
}

TEST_CASE("RestartedInstance_UnansweredCommitHasUnknownOutcome") {
  ProxyFixture it;
  announceFirstIncarnations(it);
  const auto client = it.connect("current");
  it.beginTransaction(client);
  it.ask(client, StatementKind::Commit, "COMMIT");
  REQUIRE(it.carrierOf("COMMIT"));
  it.Core.applyInstance(it.Now, recordOf("p", true, SecondStartMs, 1));
  CHECK(it.lastAnswer(client).Code == ReplyCode::OutcomeUnknown);
}

TEST_CASE("RestartedInstance_EmptyPrimaryIsNotAcceptedByItsOwnReport") {
  ProxyFixture it;
  announceFirstIncarnations(it);
  it.Core.applyInstance(it.Now, recordOf("p", true, SecondStartMs, 1));
  CHECK(it.Core.primaryObservations(it.Now).empty());
  // It also begins a read-write transaction, which otherwise proves that it is
  // the primary; its log has none of the acknowledged commits.
  it.advance(milliseconds(150));
  it.answerProxyCommands(markOf(1, 0));
  CHECK(it.Core.primaryObservations(it.Now).empty());
  it.Core.applyPromotion(it.Now, "db", {InstanceId("r1"), FirstStartMs, 7});
  REQUIRE(it.Core.primaryObservations(it.Now).size() == 1);
  CHECK(it.Core.primaryObservations(it.Now)[0].Primary == InstanceId("r1"));
}

TEST_CASE("RestartedInstance_PromotionOfTheEarlierIncarnationIsVoid") {
  ProxyFixture it;
  announceFirstIncarnations(it);
  it.Core.applyPromotion(it.Now, "db", {InstanceId("r1"), FirstStartMs, 7});
  REQUIRE(it.Core.primaryObservations(it.Now)[0].Primary == InstanceId("r1"));
  it.Core.applyInstance(it.Now, recordOf("r1", false, SecondStartMs, 1));
  const auto observations = it.Core.primaryObservations(it.Now);
  CHECK((observations.empty() || observations[0].Primary != InstanceId("r1")));
}

TEST_CASE("RestartedInstance_LateReportOfAnotherVmChangesNothing") {
  ProxyFixture it;
  announceFirstIncarnations(it);
  it.Core.applyInstance(it.Now, recordOf("r1", false, SecondStartMs, 4));
  auto late = recordOf("r1", false, FirstStartMs, 30);
  late.State = membership::InstanceState::Gone;
  const auto before = connectionsTo(it, "r1");
  it.Core.applyInstance(it.Now, late);
  CHECK(connectionsTo(it, "r1") == before);
  // Nor does an older record of the same incarnation.
  auto old = recordOf("p", false, FirstStartMs, 3);
  it.Core.applyInstance(it.Now, old);
  REQUIRE(it.Core.primaryObservations(it.Now).size() == 1);
  CHECK(it.Core.primaryObservations(it.Now)[0].Primary == InstanceId("p"));
}

TEST_CASE("RestartedInstance_NewIncarnationDoesNotCountAsSilent") {
  ProxyFixture it;
  announceFirstIncarnations(it);
  for (const char *id : {"r1", "r2"})
    it.Core.applyInstance(it.Now, recordOf(id, false, SecondStartMs, 1));
  it.Core.applyInstance(it.Now, recordOf("p", true, SecondStartMs, 1));
  const auto observations = it.Core.primaryObservations(it.Now);
  REQUIRE(observations.size() == 1);
  CHECK(observations[0].StartTimeMs == SecondStartMs);
  CHECK(observations[0].SilentFor == Duration{});
}
