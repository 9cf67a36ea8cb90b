// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Clients of organisations: which connections carry their statements,
/// and what happens when a key is withdrawn.

#include "proxy/tests/OrganisationFixture.h"

#include <set>
#include <string>
#include <vector>

using namespace stepledge;
using namespace stepledge::proxy;
using namespace stepledge::proxy::tests;

TEST_CASE("Organisation_UnknownKeyIsRefusedAtOnce") {
  OrganisationFixture it;
  const auto client = it.connectWith("current", "nobody's");
  REQUIRE(it.Io.Rejected.contains(client));
  CHECK(it.Io.Rejected[client].Code == ReplyCode::Unauthorised);
  CHECK(it.Io.Rejected[client].Detail.find("nobody's") == std::string::npos);
  CHECK(it.Core.sessionCount() == 0);
}

TEST_CASE("Organisation_KeyThatANewerConfigurationMayHaveIsRefusedForNow") {
  OrganisationFixture it;
  ConfigurationSource source;
  source.NewestAnnounced = it.Core.configurationVersion() + 1;
  it.Core.setSource(source);
  const auto client = it.connectWith("current", "nobody's");
  REQUIRE(it.Io.Rejected.contains(client));
  CHECK(it.Io.Rejected[client].Code == ReplyCode::Busy);
}

TEST_CASE("Organisation_PublicRouteAsksForNoKey") {
  OrganisationFixture it;
  it.NextConfiguration.Routes[DatabaseId("current")].IsPublic = true;
  it.applyNextConfiguration();
  const auto client = it.connectWith("current", "nobody's");
  CHECK(it.Io.Accepted.contains(client));
  it.ask(client, StatementKind::Write, "WRITE x 1");
  const auto carrier = it.carrierOf("WRITE x 1");
  REQUIRE(carrier);
  CHECK(it.Io.Opened.at(*carrier).Organisation == OrganisationId());
}

TEST_CASE("Organisation_StatementsRunOnItsOwnConnectionsOnly") {
  OrganisationFixture it;
  for (int i = 0; i < 40; ++i) {
    const std::string name = i % 3 == 0 ? "red" : i % 3 == 1 ? "blue" : "green";
    const std::string text = "WRITE x " + std::to_string(i);
    it.ask(it.connectWith("current", name + "-key"), StatementKind::Write,
           text.c_str());
    for (int step = 0; step < 10 && !it.carrierOf(text); ++step) {
      it.advance(milliseconds(10));
      it.answerProxyCommands(markOf(3, 100));
    }
    const auto carrier = it.carrierOf(text);
    REQUIRE(carrier);
    CHECK(it.Io.Opened.at(*carrier).Organisation == OrganisationId(name));
    it.answer(*carrier, it.replyAt(markOf(3, 100)));
  }
}

TEST_CASE("Organisation_ItsFreeConnectionIsReplacedForAnother") {
  OrganisationFixture it;
  // This VM may have one connection to each instance.
  it.NextConfiguration.Services["db"].MaxConnections = 1;
  it.applyNextConfiguration();
  for (const char *name : {"red", "blue", "green", "red"}) {
    const std::string text = std::string("WRITE by ") + name;
    it.ask(it.connectWith("current", std::string(name) + "-key"),
           StatementKind::Write, text.c_str());
    it.answerProxyCommands(markOf(3, 100));
    it.advance(milliseconds(30));
    it.answerProxyCommands(markOf(3, 100));
    const auto carrier = it.carrierOf(text);
    REQUIRE(carrier);
    CHECK(it.ownOpen("p") == 1);
    it.answer(*carrier, it.replyAt(markOf(3, 100)));
  }
}

TEST_CASE("Organisation_IdleSessionIsClosedWhenItsKeyIsWithdrawn") {
  OrganisationFixture it;
  const auto red = it.connectWith("current", "red-key");
  const auto blue = it.connectWith("current", "blue-key");
  it.removeKey("red");
  REQUIRE(it.Io.Rejected.contains(red));
  CHECK(it.Io.Rejected[red].Code == ReplyCode::Unauthorised);
  CHECK_FALSE(it.Io.Rejected.contains(blue));
  CHECK(it.Io.Rejected.contains(it.connectWith("current", "red-key")));
}

TEST_CASE("Organisation_WaitingStatementIsRefusedWhenItsKeyIsWithdrawn") {
  OrganisationFixture it;
  it.losePrimary();
  const auto red = it.connectWith("current", "red-key");
  it.ask(red, StatementKind::Write, "WRITE x 1");
  REQUIRE(it.Io.Answers[red].empty());
  it.removeKey("red");
  CHECK(it.lastAnswer(red).Code == ReplyCode::Unauthorised);
  CHECK(it.Core.sessionCount() == 0);
}

TEST_CASE("Organisation_StatementInFlightIsAnsweredThenTheSessionEnds") {
  OrganisationFixture it;
  const auto red = it.connectWith("current", "red-key");
  const auto carrier = it.sendWrite(red, "WRITE x 1");
  it.removeKey("red");
  CHECK(it.Io.Answers[red].empty());
  it.answer(carrier, it.replyAt(markOf(3, 101)));
  CHECK(it.lastAnswer(red).Code == ReplyCode::Success);
  CHECK(it.Io.Rejected.contains(red));
}

TEST_CASE("Organisation_OpenTransactionIsRolledBackWhenItsKeyIsWithdrawn") {
  OrganisationFixture it;
  const auto red = it.connectWith("current", "red-key");
  const auto carrier = it.beginTransaction(red);
  it.removeKey("red");
  REQUIRE_FALSE(it.Io.Sent[carrier].empty());
  CHECK(it.Io.Sent[carrier].back().Kind == CommandKind::Rollback);
  it.answerProxyCommands(markOf(3, 100));
  it.ask(red, StatementKind::Commit, "COMMIT");
  CHECK(it.lastAnswer(red).Code == ReplyCode::Unauthorised);
  CHECK_FALSE(it.carrierOf("COMMIT"));
  it.ask(red, StatementKind::Rollback, "ROLLBACK");
  CHECK(it.lastAnswer(red).Code == ReplyCode::Success);
  CHECK(it.Io.Rejected.contains(red));
}

TEST_CASE("Organisation_CommitInFlightIsAnsweredWithItsOutcome") {
  OrganisationFixture it;
  const auto red = it.connectWith("current", "red-key");
  const auto carrier = it.beginTransaction(red);
  it.ask(red, StatementKind::Commit, "COMMIT");
  it.removeKey("red");
  it.answer(carrier, it.replyAt(markOf(3, 101)));
  CHECK(it.lastAnswer(red).Code == ReplyCode::Success);
  CHECK(it.Io.Rejected.contains(red));
}

TEST_CASE("Organisation_RestoredKeyServesAgain") {
  OrganisationFixture it;
  const auto red = it.connectWith("current", "red-key");
  it.beginTransaction(red);
  it.removeKey("red");
  it.NextConfiguration.Organisations[OrganisationId("red")].Keys = {
      KeyDigest::of("red-key")};
  it.applyNextConfiguration();
  it.answerProxyCommands(markOf(3, 100));
  it.ask(red, StatementKind::Rollback, "ROLLBACK");
  CHECK_FALSE(it.Io.Rejected.contains(red));
  it.sendWrite(red, "WRITE x 2");
}

TEST_CASE("Organisation_KeyMovedToAnotherUsesItsConnections") {
  OrganisationFixture it;
  const auto client = it.connectWith("current", "red-key");
  const auto before = it.beginTransaction(client);
  CHECK(it.Io.Opened.at(before).Organisation == OrganisationId("red"));
  it.NextConfiguration.Organisations[OrganisationId("red")].Keys.clear();
  it.NextConfiguration.Organisations[OrganisationId("blue")].Keys.insert(
      KeyDigest::of("red-key"));
  it.applyNextConfiguration();
  it.answerProxyCommands(markOf(3, 100));
  it.ask(client, StatementKind::Write, "WRITE x 2");
  CHECK(it.lastAnswer(client).Code == ReplyCode::Aborted);
  it.ask(client, StatementKind::Rollback, "ROLLBACK");
  const auto after = it.sendWrite(client, "WRITE x 3");
  CHECK(it.Io.Opened.at(after).Organisation == OrganisationId("blue"));
}

TEST_CASE("Organisation_BorrowerGetsAConnectionOfItsOrganisationOnly") {
  OrganisationFixture it;
  it.sendWrite(it.connectWith("current", "red-key"), "WRITE x 1");
  BorrowRequest request;
  request.Service = "db";
  request.Instance = InstanceId("p");
  request.Organisation = OrganisationId("blue");
  request.IsFirst = true;
  InstanceCommand command;
  command.Id = "b1";
  command.Text = "WRITE b 1";
  request.Commands = {command};
  it.Core.lender().request(it.Now, {"10.9.9.9", 1}, request);
  it.advance(milliseconds(10));
  const auto carrier = it.carrierOf("WRITE b 1");
  REQUIRE(carrier);
  CHECK(it.Io.Opened.at(*carrier).Organisation == OrganisationId("blue"));
}

TEST_CASE("Organisation_ExhaustedQuotaIsRefusedAtOnceWithARetryTime") {
  OrganisationFixture it;
  it.NextConfiguration.Routes[DatabaseId("current")].Priority = 3;
  it.applyNextConfiguration();
  const auto red = it.connectWith("current", "red-key");
  it.Quota.Verdict = quota::QuotaVerdict::Exhausted;
  it.ask(red, StatementKind::Write, "WRITE x 1");
  CHECK(it.lastAnswer(red).Code == ReplyCode::Busy);
  CHECK(it.lastAnswer(red).Detail.find("70 ms") != std::string::npos);
  CHECK(it.lastAnswer(red).Detail.find("priority 3") != std::string::npos);
  CHECK(it.Quota.Priorities == std::vector<int>{3});
  CHECK(it.Io.RefusedByQuota == std::vector<int>{3});
  CHECK_FALSE(it.carrierOf("WRITE x 1"));
}

TEST_CASE("Organisation_StatementWaitsUntilItsQuotaIsKnown") {
  OrganisationFixture it;
  const auto red = it.connectWith("current", "red-key");
  it.Quota.Verdict = quota::QuotaVerdict::Pending;
  it.ask(red, StatementKind::Write, "WRITE x 1");
  it.advance(milliseconds(20));
  CHECK(it.Io.Answers[red].empty());
  CHECK_FALSE(it.carrierOf("WRITE x 1"));
  it.Quota.Verdict = quota::QuotaVerdict::Granted;
  it.Core.quotaChanged(it.Now, OrganisationId("red"));
  it.connectAll();
  it.answerProxyCommands(markOf(3, 100));
  CHECK(it.carrierOf("WRITE x 1"));
}

TEST_CASE("Organisation_TransactionCountsOnceAndNotForItsRetries") {
  OrganisationFixture it;
  const auto red = it.connectWith("current", "red-key");
  it.Quota.Asked.clear();
  it.beginTransaction(red);
  it.ask(red, StatementKind::Write, "WRITE x 2");
  it.answerProxyCommands(markOf(3, 100));
  CHECK(it.Quota.Asked == std::vector<OrganisationId>{OrganisationId("red")});
  const auto carrier = it.carrierOf("WRITE x 2");
  REQUIRE(carrier);
  it.answer(*carrier, it.refusal(ReplyCode::Busy, SessionState::InTransaction));
  it.advance(milliseconds(30));
  CHECK(it.Quota.Asked.size() == 1);
  const auto blue = it.connectWith("current", "blue-key");
  const auto single = it.sendWrite(blue, "WRITE y 1");
  it.answer(single, it.refusal(ReplyCode::Busy));
  it.advance(milliseconds(30));
  it.advance(milliseconds(30));
  CHECK(it.carrierOf("WRITE y 1"));
  CHECK(it.Quota.Asked.size() == 2);
}

namespace {

/// Forty VMs in two halls share instances that allow 29 connections; this VM is
/// not a home.
void shareWithFortyVms(OrganisationFixture &it) {
  it.NextConfiguration.Services["db"].MaxConnections = 29;
  it.applyNextConfiguration();
  std::vector<membership::EntryVm> entries;
  for (int i = 1; i <= 40; ++i)
    entries.push_back(
        {"10.9.9." + std::to_string(i), HallId(i <= 20 ? "a" : "b")});
  it.Core.setEntries(entries);
}

/// The lenders that a write asks in turn; none has a free connection.
std::set<std::string> lendersAskedForWrite(OrganisationFixture &it,
                                           const char *text) {
  std::set<std::string> asked;
  it.ask(it.connectWith("current", "red-key"), StatementKind::Write, text);
  for (int i = 0; i < 60; ++i) {
    it.advance(milliseconds(10));
    for (const auto &[id, target] : std::map(it.Io.Opened)) {
      if (!target.isBorrowed() || target.Instance != InstanceId("p"))
        continue;
      // NOTE: the proxy's own probes use another order.
      if (target.Organisation == OrganisationId("red"))
        asked.insert(target.LenderIp);
      it.Core.lenderRefused(it.Now, id, LendingEnd::Full);
      while (!it.Io.Sent[id].empty())
        it.answer(id, OrganisationFixture::refusal(ReplyCode::Busy));
    }
  }
  return asked;
}

/// Requests a borrow from this VM, which is not a home; true if it opens a
/// connection.
bool opensForBorrower(OrganisationFixture &it, std::uint64_t number) {
  for (const auto &[id, target] : std::map(it.Io.Opened))
    if (target.Instance == InstanceId("p"))
      it.Core.connectionLost(it.Now, id);
  std::erase_if(it.Io.Opened, [](const auto &each) {
    return each.second.Instance == InstanceId("p");
  });
  BorrowRequest request;
  request.Service = "db";
  request.Instance = InstanceId("p");
  request.Organisation = OrganisationId("blue");
  request.IsFirst = true;
  request.Commands = {InstanceCommand()};
  it.Core.lender().request(it.Now, {"10.9.9.9", number}, request);
  return it.ownOpen("p") > 0;
}

} // namespace

TEST_CASE("Organisation_NonHomeVmsAreNotAskedRightAfterAStart") {
  // After a power loss the instances count the lost connections for 3 s more,
  // and a connection that a non-home VM opens then is missing for the homes.
  OrganisationFixture it;
  shareWithFortyVms(it);
  const auto homes = lendersAskedForWrite(it, "WRITE x 1");
  CHECK(homes.size() == 4);
  CHECK_FALSE(opensForBorrower(it, 1));
  it.advance(milliseconds(4000));
  CHECK(lendersAskedForWrite(it, "WRITE x 2").size() > homes.size());
  CHECK(opensForBorrower(it, 2));
}

namespace {

const char *const SevenOrganisations[] = {"red",    "blue",  "green", "white",
                                          "yellow", "black", "brown"};

/// This VM, whose address is empty, and three others share instances that
/// allow 40 connections; all are homes, and all are connected.
void shareWithThreeVms(OrganisationFixture &it) {
  it.NextConfiguration.Services["db"].MaxConnections = 40;
  for (const char *name : SevenOrganisations) {
    auto &added = it.NextConfiguration.Organisations[OrganisationId(name)];
    added.Id = OrganisationId(name);
    added.Keys = {KeyDigest::of(std::string(name) + "-key")};
  }
  it.applyNextConfiguration();
  std::vector<membership::EntryVm> entries{{"", HallId("a")}};
  for (const char *ip : {"10.9.9.1", "10.9.9.2", "10.9.9.3"}) {
    entries.push_back({ip, HallId("a")});
    it.Io.ConnectedLenders.insert(ip);
  }
  it.Core.setEntries(entries);
  it.advance(milliseconds(4000));
}

/// Runs a write of the organisation; gives its lender, which is empty where an
/// own connection served it.
std::string runWrite(OrganisationFixture &it, const std::string &organisation) {
  const std::string text = "WRITE x " + std::to_string(it.LastId);
  it.ask(it.connectWith("current", organisation + "-key"), StatementKind::Write,
         text.c_str());
  for (int i = 0; i < 10 && !it.carrierOf(text); ++i) {
    it.advance(milliseconds(10));
    it.answerProxyCommands(markOf(3, 100));
  }
  const auto carrier = it.carrierOf(text);
  REQUIRE(carrier);
  std::string lender = it.Io.Opened.at(*carrier).LenderIp;
  it.answer(*carrier, it.replyAt(markOf(3, 101)));
  return lender;
}

void loseLender(OrganisationFixture &it, const std::string &ip) {
  for (const auto &[id, target] : std::map(it.Io.Opened))
    if (target.LenderIp == ip) {
      it.Io.closeConnection(id);
      it.Core.connectionLost(it.Now, id);
    }
}

} // namespace

// Guards against a statement that waits for connections of other organisations,
// which never serve it: for as long as a lender was paused, another one was
// asked only if it lent nothing to anybody here.
TEST_CASE("Organisation_NextLenderIsAskedAlsoIfItLendsForAnother") {
  for (const char *lost : {"10.9.9.1", "10.9.9.2", "10.9.9.3"}) {
    OrganisationFixture it;
    shareWithThreeVms(it);
    std::map<std::string, std::string> lenders;
    for (const char *name : SevenOrganisations)
      lenders[name] = runWrite(it, name);
    loseLender(it, lost);
    for (const auto &[name, lender] : lenders)
      if (lender == lost)
        CHECK(runWrite(it, name) != lost);
  }
}

TEST_CASE("Organisation_OneUnderItsFairShareIsServedFirst") {
  OrganisationFixture it;
  // This VM may have one connection to each instance.
  it.NextConfiguration.Services["db"].MaxConnections = 1;
  it.applyNextConfiguration();
  it.ask(it.connectWith("current", "red-key"), StatementKind::Write,
         "WRITE red 1");
  it.answerProxyCommands(markOf(3, 100));
  it.advance(milliseconds(30));
  it.answerProxyCommands(markOf(3, 100));
  const auto carrier = it.carrierOf("WRITE red 1");
  REQUIRE(carrier);
  it.ask(it.connectWith("current", "red-key"), StatementKind::Write,
         "WRITE red 2");
  it.ask(it.connectWith("current", "blue-key"), StatementKind::Write,
         "WRITE blue");
  it.advance(milliseconds(10));
  CHECK(!it.carrierOf("WRITE red 2"));
  CHECK(!it.carrierOf("WRITE blue"));
  it.answer(*carrier, it.replyAt(markOf(3, 101)));
  CHECK(it.carrierOf("WRITE blue"));
  CHECK(!it.carrierOf("WRITE red 2"));
  CHECK(it.Core.deferredOrganisations(it.Now) == 1);
}
