// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The proxy while one instance has to do the work of all, or all of its
/// connections are in use.

#include "proxy/tests/ProxyFixture.h"

#include <doctest/doctest.h>

#include <string>

using namespace stepledge;
using namespace stepledge::proxy;
using proxy::tests::markOf;
using Fixture = proxy::tests::ProxyFixture;

namespace {

/// The reply of a replica at position 50 of 100.
StatementReply laggingReply() {
  auto reply = Fixture::refusal(ReplyCode::Lagging);
  reply.Position = markOf(3, 50);
  return reply;
}

/// Sends a bounded read that a replica refuses since it is behind; returns the
/// replica.
std::string sendReadThatReplicaRefuses(Fixture &it, const char *text) {
  it.ask(it.connect("bounded"), StatementKind::Read, text);
  const auto carrier = it.carrierOf(text);
  REQUIRE(carrier);
  std::string replica = it.instanceOf(*carrier);
  REQUIRE(replica != "p");
  it.answer(*carrier, laggingReply());
  return replica;
}

std::size_t statementsSentTo(Fixture &it, const std::string &prefix) {
  std::size_t n = 0;
  for (const auto &[id, commands] : it.Io.Sent)
    for (const auto &command : commands)
      n += it.instanceOf(id).starts_with(prefix) && !command.Id.empty();
  return n;
}

/// Adds \p vms VMs in front of instances that allow twelve connections, without
/// homes.
void shareWith(Fixture &it, std::uint64_t version, int vms) {
  control::Configuration configuration;
  configuration.Version = version;
  configuration.Services["db"] = {"db", 12, 0};
  Fixture::addRoute(configuration, "current", control::ReadPolicy::Current);
  it.Core.applyConfiguration(it.Now, configuration);
  std::vector<membership::EntryVm> entries;
  for (int i = 1; i <= vms; ++i)
    entries.push_back(
        {"10.9.9." + std::to_string(i), HallId(i <= 2 ? "a" : "b")});
  it.Core.setEntries(entries);
}

/// At most two connections for each VM.
void shareWithFourVms(Fixture &it) {
  shareWith(it, 2, 4);
  for (int i = 0; i < 40; ++i) {
    it.advance(milliseconds(100));
    it.answerProxyCommands(markOf(3, 100));
  }
}

std::size_t ownConnectionsTo(Fixture &it, const std::string &instance) {
  std::size_t n = 0;
  for (const auto &[id, target] : it.Io.Opened)
    n += target.Instance.str() == instance && !target.isBorrowed();
  return n;
}

/// Opens a transaction that stays idle on its connection.
void openTransaction(Fixture &it, const std::string &text) {
  const auto client = it.connect("current");
  it.ask(client, StatementKind::Begin, "BEGIN");
  it.ask(client, StatementKind::Write, text.c_str());
  for (int i = 0; i < 6; ++i) {
    it.advance(milliseconds(10));
    it.answerProxyCommands(markOf(3, 100));
  }
  const auto carrier = it.carrierOf(text);
  REQUIRE(carrier);
  it.answer(*carrier,
            Fixture::replyAt(markOf(3, 100), SessionState::InTransaction));
}

/// Sends a write to a VM whose connections to the primary are all in
/// transactions.
void sendWriteWithoutFreeConnection(Fixture &it) {
  it.warmUp();
  shareWithFourVms(it);
  openTransaction(it, "WRITE a 1");
  openTransaction(it, "WRITE b 1");
  it.ask(it.connect("current"), StatementKind::Write, "WRITE c 1");
  for (int i = 0; i < 6; ++i) {
    it.advance(milliseconds(10));
    it.answerProxyCommands(markOf(3, 100));
  }
}

void moveToAnotherHall(Fixture &it, const char *id,
                       membership::InstanceRole role) {
  membership::InstanceRecord record;
  record.Id = InstanceId(id);
  record.Service = "db";
  record.Hall = HallId("b");
  record.Role = role;
  record.Slots = 3;
  record.Sequence = 2;
  it.Core.applyInstance(it.Now, record);
}

/// Sends a bounded read to the proxy; answers it and returns true if it reached
/// an instance.
bool tryBoundedRead(Fixture &it, const std::string &text) {
  it.ask(it.connect("bounded"), StatementKind::Read, text.c_str());
  for (int n = 0; n < 10 && !it.carrierOf(text); ++n) {
    it.advance(milliseconds(2));
    it.answerProxyCommands(markOf(3, 100));
  }
  const auto carrier = it.carrierOf(text);
  if (carrier)
    it.answer(*carrier, Fixture::replyAt(markOf(3, 100)));
  it.answerProxyCommands(markOf(3, 100));
  return carrier.has_value();
}

void removeReplicas(Fixture &it) {
  for (const char *id : {"r1", "r2"}) {
    membership::InstanceRecord record;
    record.Id = InstanceId(id);
    record.Service = "db";
    record.State = membership::InstanceState::Gone;
    record.Sequence = 2;
    it.Core.applyInstance(it.Now, record);
  }
}

/// Runs writes of \p database one by one, each answered after \p took.
void runWrites(Fixture &it, const char *database, int count, Duration took) {
  for (int i = 0; i < count; ++i) {
    const std::string text =
        std::string("WRITE ") + database + std::to_string(it.LastId);
    it.ask(it.connect(database), StatementKind::Write, text.c_str());
    for (int n = 0; n < 10 && !it.carrierOf(text); ++n) {
      it.advance(milliseconds(1));
      it.answerProxyCommands(markOf(3, 100));
    }
    const auto carrier = it.carrierOf(text);
    INFO(text, " n ", i, " last ",
         it.Io.Lines.empty() ? "" : it.Io.Lines.back());
    REQUIRE(carrier);
    it.advance(took);
    it.answerProxyCommands(markOf(3, 100));
    it.answer(*carrier, Fixture::replyAt(markOf(3, 100)));
  }
}

/// Other VMs have filled the primary's queue, and there is no replica to use
/// instead.
void congestPrimary(Fixture &it) {
  it.warmUp();
  runWrites(it, "current", 40, milliseconds(5));
  runWrites(it, "current", 20, milliseconds(60));
  removeReplicas(it);
}

} // namespace

TEST_CASE("Overload_ReplicaThatLacksThePositionIsNotAskedAgainAtOnce") {
  Fixture it;
  it.connectReplicas();
  const auto replica = sendReadThatReplicaRefuses(it, "READ first");
  it.ask(it.connect("bounded"), StatementKind::Read, "READ second");
  it.advance(milliseconds(10));
  it.answerProxyCommands(markOf(3, 100));
  CHECK(statementsSentTo(it, replica) == 0);
}

TEST_CASE("Overload_ReplicaThatWasBehindIsAskedAgainAfterAPause") {
  Fixture it;
  it.connectReplicas();
  const auto replica = sendReadThatReplicaRefuses(it, "READ first");
  it.advance(milliseconds(30));
  it.answerProxyCommands(markOf(3, 100));
  for (const char *text : {"READ second", "READ third", "READ fourth"}) {
    it.ask(it.connect("bounded"), StatementKind::Read, text);
    it.advance(milliseconds(30));
    it.answerProxyCommands(markOf(3, 100));
  }
  CHECK(statementsSentTo(it, replica) >= 1);
}

TEST_CASE("Overload_VmWhoseConnectionsAreAllInTransactionsBorrows") {
  Fixture it;
  sendWriteWithoutFreeConnection(it);
  const auto carrier = it.carrierOf("WRITE c 1");
  REQUIRE(carrier);
  CHECK(it.Io.Opened.at(*carrier).isBorrowed());
}

TEST_CASE("Overload_ConnectionsBeyondAShareThatShrankAreClosed") {
  Fixture it;
  it.warmUp();
  // With only two VMs, this one may have more connections.
  shareWith(it, 2, 2);
  it.advance(milliseconds(3500));
  for (const char *text : {"WRITE a 1", "WRITE b 1", "WRITE c 1"})
    openTransaction(it, text);
  REQUIRE(ownConnectionsTo(it, "p") >= 3);
  shareWith(it, 3, 4);
  it.advance(milliseconds(10));
  // No connection is taken from a transaction.
  CHECK(ownConnectionsTo(it, "p") >= 3);
  for (std::uint64_t client = 1; client <= 3; ++client)
    it.ask(ClientId{client}, StatementKind::Rollback, "ROLLBACK");
  for (int i = 0; i < 10; ++i) {
    it.advance(milliseconds(10));
    it.answerProxyCommands(markOf(3, 100));
  }
  CHECK(ownConnectionsTo(it, "p") == 2);
}

TEST_CASE("Overload_RefusalOfALenderDoesNotPauseTheStatement") {
  Fixture it;
  sendWriteWithoutFreeConnection(it);
  const auto first = it.carrierOf("WRITE c 1");
  REQUIRE(first);
  it.Core.lenderRefused(it.Now, *first, LendingEnd::Full);
  it.answer(*first, Fixture::refusal(ReplyCode::Busy));
  it.advance(milliseconds(1));
  const auto second = it.carrierOf("WRITE c 1");
  REQUIRE(second);
  CHECK(*second != *first);
}

TEST_CASE("Overload_BoundedReadsAreShedFromACongestedPrimary") {
  Fixture it;
  congestPrimary(it);
  tryBoundedRead(it, "READ through");
  const auto late = it.connect("bounded");
  it.ask(late, StatementKind::Read, "READ later");
  it.ask(it.connect("own"), StatementKind::Read, "READ own");
  for (int i = 0; i < 4; ++i) {
    it.advance(milliseconds(5));
    it.answerProxyCommands(markOf(3, 100));
  }
  CHECK(it.carrierOf("READ own"));
  CHECK(!it.carrierOf("READ later"));
  // It is refused within an eighth of its objective, with nothing sent.
  it.advance(milliseconds(12));
  CHECK(it.lastAnswer(late).Code == ReplyCode::Busy);
  CHECK(it.lastAnswer(late).Detail.find("overloaded") != std::string::npos);
}

TEST_CASE("Overload_ReadOnlyTransactionsAreShedFromACongestedPrimary") {
  Fixture it;
  congestPrimary(it);
  tryBoundedRead(it, "READ through");
  const auto reader = it.connect("own");
  it.ask(reader, StatementKind::BeginRead, "BEGIN READ");
  it.ask(reader, StatementKind::Read, "READ many");
  const auto writer = it.connect("own");
  it.ask(writer, StatementKind::Begin, "BEGIN");
  it.ask(writer, StatementKind::Read, "READ before a write");
  for (int i = 0; i < 8; ++i) {
    it.advance(milliseconds(5));
    it.answerProxyCommands(markOf(3, 100));
  }
  CHECK(it.carrierOf("READ before a write"));
  CHECK(!it.carrierOf("READ many"));
  CHECK(it.lastAnswer(reader).Code == ReplyCode::Busy);
  CHECK(it.lastAnswer(reader).State == SessionState::Failed);
}

TEST_CASE(
    "Overload_BoundedReadsUseACongestedPrimaryThatNoOtherStatementNeeds") {
  Fixture it;
  congestPrimary(it);
  it.advance(milliseconds(1100));
  it.answerProxyCommands(markOf(3, 100));
  CHECK(tryBoundedRead(it, "READ first"));
  CHECK(tryBoundedRead(it, "READ second"));
}

TEST_CASE("Overload_SomeBoundedReadsAreLetThroughAsProbes") {
  Fixture it;
  congestPrimary(it);
  int served = 0;
  for (int i = 0; i < 30; ++i) {
    served += tryBoundedRead(it, "READ " + std::to_string(i));
    runWrites(it, "current", 1, milliseconds(80));
  }
  // One per second while the congestion lasts.
  CHECK(served >= 2);
  CHECK(served <= 5);
}

TEST_CASE("Overload_ReadWaitsBrieflyBeforeItGoesToAnotherHall") {
  Fixture it;
  it.connectReplicas();
  // Of the three, only r1 stays in this VM's hall.
  moveToAnotherHall(it, "p", membership::InstanceRole::Primary);
  moveToAnotherHall(it, "r2", membership::InstanceRole::Replica);
  std::string text;
  for (int i = 0; i == 0 || it.carrierOf(text); ++i) {
    REQUIRE(i < 8);
    text = "READ " + std::to_string(i);
    it.ask(it.connect("bounded"), StatementKind::Read, text.c_str());
    const auto carrier = it.carrierOf(text);
    CHECK((!carrier || it.instanceOf(*carrier) == "r1"));
  }
  it.advance(milliseconds(5));
  CHECK(!it.carrierOf(text));
  it.advance(milliseconds(12));
  it.answerProxyCommands(markOf(3, 100));
  const auto carrier = it.carrierOf(text);
  REQUIRE(carrier);
  CHECK(it.instanceOf(*carrier) != "r1");
}

TEST_CASE("Overload_ReadsStayInThePrimarysHallUntilThePrimaryIsCongested") {
  Fixture it;
  it.connectReplicas();
  moveToAnotherHall(it, "r1", membership::InstanceRole::Replica);
  moveToAnotherHall(it, "r2", membership::InstanceRole::Replica);
  runWrites(it, "current", 40, milliseconds(10));
  it.ask(it.connect("bounded"), StatementKind::Read, "READ early");
  REQUIRE(it.carrierOf("READ early"));
  CHECK(it.instanceOf(*it.carrierOf("READ early")) == "p");
  it.answer(*it.carrierOf("READ early"), Fixture::replyAt(markOf(3, 100)));
  // Other VMs have filled the primary's queue.
  runWrites(it, "current", 20, milliseconds(60));
  it.ask(it.connect("bounded"), StatementKind::Read, "READ late");
  REQUIRE(it.carrierOf("READ late"));
  CHECK(it.instanceOf(*it.carrierOf("READ late")) != "p");
}
