// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Instances with too few connections for all VMs: homes, and what the
/// others borrow.

#include "proxy/tests/ProxyFixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

using namespace stepledge;
using namespace stepledge::proxy;
using proxy::tests::markOf;
using Fixture = proxy::tests::ProxyFixture;
using control::ReadPolicy;

namespace {

/// Gives \p it other VMs before the same instances, with too few connections
/// for each to have its own.
void shareWithSixVms(Fixture &it) {
  // Eight connections for six VMs: two are homes, two are guests.
  control::Configuration configuration;
  configuration.Version = 2;
  configuration.Services["db"] = {"db", 12, 0};
  Fixture::addRoute(configuration, "current", ReadPolicy::Current);
  it.Core.applyConfiguration(it.Now, configuration);
  std::vector<membership::EntryVm> entries;
  for (const char *ip : {"1", "2", "3", "4", "5", "6"})
    entries.push_back({std::string("10.9.9.") + ip, HallId("a")});
  it.Core.setEntries(entries);
  for (int i = 0; i < 40; ++i) {
    it.advance(milliseconds(100));
    it.answerOwn(markOf(3, 100));
  }
}

} // namespace

TEST_CASE("Proxy_VmThatIsNoHomeClosesAConnectionThatOnlyItsQuestionsUse") {
  Fixture it;
  it.warmUp();
  const auto own = [&it] {
    return std::count_if(it.Io.Opened.begin(), it.Io.Opened.end(),
                         [](const auto &target) {
                           return target.second.Instance == InstanceId("p") &&
                                  !target.second.isBorrowed();
                         });
  };
  REQUIRE(own() > 0);
  shareWithSixVms(it);
  CHECK(own() == 0);
}

TEST_CASE("Proxy_HomesLeaveRoomAtTheInstance") {
  Fixture it;
  it.warmUp();
  control::Configuration configuration;
  configuration.Version = 2;
  configuration.Services["db"] = {"db", 53, 0};
  Fixture::addRoute(configuration, "current", ReadPolicy::Current);
  it.Core.applyConfiguration(it.Now, configuration);
  // This VM is the only one in the primary's hall, and so a home.
  std::vector<membership::EntryVm> entries{{"", HallId("a")}};
  for (int i = 1; i < 70; ++i)
    entries.push_back({"10.9.9." + std::to_string(i), HallId("b")});
  it.Core.setEntries(entries);
  it.advance(milliseconds(3500));
  // Transactions that rest, each on a connection of its own.
  for (int i = 0; i < 12; ++i) {
    const auto client = it.connect("current");
    const std::string text = "WRITE x " + std::to_string(i);
    it.ask(client, StatementKind::Begin, "BEGIN");
    it.ask(client, StatementKind::Write, text.c_str());
    for (int n = 0; n < 5; ++n) {
      it.advance(milliseconds(10));
      it.answerOwn(markOf(3, 100));
    }
    if (const auto carrier = it.carrierOf(text))
      it.answer(*carrier,
                Fixture::replyAt(markOf(3, 100), SessionState::InTransaction));
  }
  const auto own = std::count_if(
      it.Io.Opened.begin(), it.Io.Opened.end(), [](const auto &target) {
        return target.second.Instance == InstanceId("p") &&
               !target.second.isBorrowed();
      });
  // Six homes with four each, and seven guests, make 31 of 53.
  CHECK(own == 4);
}

TEST_CASE("Proxy_HomeServesOthersWhileTransactionsRest") {
  Fixture it;
  it.warmUp();
  control::Configuration configuration;
  configuration.Version = 2;
  configuration.Services["db"] = {"db", 53, 0};
  Fixture::addRoute(configuration, "current", ReadPolicy::Current);
  it.Core.applyConfiguration(it.Now, configuration);
  std::vector<membership::EntryVm> entries{{"", HallId("a")}};
  for (int i = 1; i < 70; ++i)
    entries.push_back({"10.9.9." + std::to_string(i), HallId("b")});
  it.Core.setEntries(entries);
  it.advance(milliseconds(3500));
  const auto own = [&it] {
    return std::count_if(it.Io.Opened.begin(), it.Io.Opened.end(),
                         [](const auto &target) {
                           return target.second.Instance == InstanceId("p") &&
                                  !target.second.isBorrowed();
                         });
  };
  const auto begin = [&it](int i) {
    const auto client = it.connect("current");
    const std::string text = "WRITE x " + std::to_string(i);
    it.ask(client, StatementKind::Begin, "BEGIN");
    it.ask(client, StatementKind::Write, text.c_str());
    for (int n = 0; n < 5; ++n) {
      it.advance(milliseconds(10));
      it.answerOwn(markOf(3, 100));
    }
    if (const auto carrier = it.carrierOf(text))
      it.answer(*carrier,
                Fixture::replyAt(markOf(3, 100), SessionState::InTransaction));
  };
  for (int i = 0; i < 4; ++i)
    begin(i);
  REQUIRE(own() == 4);
  it.advance(milliseconds(800));
  for (int i = 4; i < 12; ++i)
    begin(i);
  // Seven is what six homes and seven guests may have of 49 usable ones.
  CHECK(own() > 4);
  CHECK(own() <= 7);
}

TEST_CASE("Proxy_HomeUsesTheRoomThatIsLeftRightAfterAStart") {
  Fixture it;
  control::Configuration configuration;
  configuration.Version = 2;
  configuration.Services["db"] = {"db", 46, 0};
  Fixture::addRoute(configuration, "current", ReadPolicy::Current);
  it.Core.applyConfiguration(it.Now, configuration);
  std::vector<membership::EntryVm> entries{{"", HallId("a")}};
  for (int i = 1; i < 67; ++i)
    entries.push_back({"10.9.9." + std::to_string(i), HallId("b")});
  it.Core.setEntries(entries);
  it.advance(milliseconds(10));
  const auto own = [&it] {
    return std::count_if(it.Io.Opened.begin(), it.Io.Opened.end(),
                         [](const auto &target) {
                           return target.second.Instance == InstanceId("p") &&
                                  !target.second.isBorrowed();
                         });
  };
  // Clients come back with transactions and rest inside them.
  for (int i = 0; i < 6; ++i) {
    const auto client = it.connect("current");
    const std::string text = "WRITE x " + std::to_string(i);
    it.ask(client, StatementKind::Begin, "BEGIN");
    it.ask(client, StatementKind::Write, text.c_str());
    for (int n = 0; n < 5; ++n) {
      it.advance(milliseconds(10));
      it.answerOwn(markOf(3, 100));
    }
    if (const auto carrier = it.carrierOf(text))
      it.answer(*carrier,
                Fixture::replyAt(markOf(3, 100), SessionState::InTransaction));
  }
  // The instance counts 28 lost connections still: 18 are left for six homes.
  CHECK(own() == 3);
}

TEST_CASE("Proxy_StatementGoesToAConnectedLenderWithoutATick") {
  Fixture it;
  shareWithSixVms(it);
  for (const char *ip : {"1", "2", "3", "4", "5", "6"})
    it.Io.ConnectedLenders.insert(std::string("10.9.9.") + ip);
  // No statement for long enough that nothing is left of the last one.
  it.advance(milliseconds(5000));
  const auto client = it.connect("current");
  it.ask(client, StatementKind::Write, "WRITE x 1");
  const auto carrier = it.carrierOf("WRITE x 1");
  REQUIRE(carrier);
  CHECK(it.Io.Opened.at(*carrier).isBorrowed());
}

TEST_CASE("Proxy_LenderThatRefusesIsNotAskedAgainAtOnce") {
  Fixture it;
  shareWithSixVms(it);
  const auto client = it.connect("current");
  it.ask(client, StatementKind::Write, "WRITE x 1");
  it.advance(milliseconds(30));
  const auto first = it.carrierOf("WRITE x 1");
  REQUIRE(first);
  const auto lender = it.Io.Opened.at(*first);
  REQUIRE(lender.isBorrowed());
  it.Core.lenderRefused(it.Now, *first, LendingEnd::Full);
  it.answer(*first, Fixture::refusal(ReplyCode::Busy));
  for (int i = 0; i < 4; ++i)
    it.advance(milliseconds(30));
  CHECK(!it.Io.Opened.contains(*first));
  const auto next = it.carrierOf("WRITE x 1");
  REQUIRE(next);
  CHECK(it.Io.Opened.at(*next).LenderIp != lender.LenderIp);
}

TEST_CASE("Proxy_VmWithoutAConnectionBorrowsWhileTheInstanceIsFull") {
  Fixture it;
  it.warmUp();
  it.Core.setEntries({{"10.9.9.1", HallId("a")}, {"10.9.9.2", HallId("a")}});
  it.addInstance("p2", membership::InstanceRole::Primary, "10.0.0.4:1");
  it.Core.applyPromotion(it.Now, "db", {InstanceId("p2"), 0, 9});
  const auto client = it.connect("current");
  it.Ready.insert(ConnectionId{}); // Connections are taken by hand from here.
  ClientStatement statement;
  statement.Id = "w";
  statement.Kind = StatementKind::Write;
  statement.Text = "WRITE x 1";
  it.Core.clientAsked(it.Now, client, statement);
  const auto openTo = [&](bool isBorrowed) -> std::optional<ConnectionId> {
    for (const auto &[id, target] : it.Io.Opened)
      if (target.Instance == InstanceId("p2") &&
          target.isBorrowed() == isBorrowed)
        return id;
    return std::nullopt;
  };
  const auto own = openTo(false);
  REQUIRE(own);
  it.Core.connectionReady(it.Now, *own,
                          Fixture::refusal(ReplyCode::TooManyConnections));
  it.Now += milliseconds(30);
  it.Core.tick(it.Now);
  const auto borrowed = openTo(true);
  REQUIRE(borrowed);
  it.Core.connectionReady(it.Now, *borrowed, {});
  CHECK(it.carrierOf("WRITE x 1") == borrowed);
  // Once there may be room again, an own one is tried.
  it.Now += milliseconds(150);
  it.Core.tick(it.Now);
  CHECK(openTo(false));
}

TEST_CASE("Proxy_RefusalOfALenderIsNoAnswerOfTheInstance") {
  Fixture it;
  shareWithSixVms(it);
  const auto client = it.connect("current");
  it.ask(client, StatementKind::Write, "WRITE x 1");
  it.advance(milliseconds(30));
  const auto carrier = it.carrierOf("WRITE x 1");
  REQUIRE(carrier);
  REQUIRE(it.Io.Opened.at(*carrier).isBorrowed());
  it.Core.lenderRefused(it.Now, *carrier, LendingEnd::Unreachable);
  it.answer(*carrier, Fixture::refusal(ReplyCode::Busy));
  it.Now += milliseconds(700);
  const auto sights = it.Core.primarySights(it.Now);
  REQUIRE(sights.size() == 1);
  // Control replaces a primary that most VMs miss for this long.
  CHECK(sights.front().SilentFor >= milliseconds(700));
}

namespace {

/// A transaction on a connection that another VM lends, whose first write has
/// been answered.
ConnectionId borrowForATransaction(Fixture &it, ClientId client) {
  shareWithSixVms(it);
  for (const char *ip : {"1", "2", "3", "4", "5", "6"})
    it.Io.ConnectedLenders.insert(std::string("10.9.9.") + ip);
  const ConnectionId carrier = it.beginTransaction(client);
  REQUIRE(it.Io.Opened.at(carrier).isBorrowed());
  return carrier;
}

} // namespace

TEST_CASE("Proxy_TransactionIsAbortedWhereTheLenderHearsNothing") {
  Fixture it;
  const auto client = it.connect("current");
  const auto carrier = borrowForATransaction(it, client);
  it.ask(client, StatementKind::Write, "WRITE y 1");
  it.Core.lenderSilent(it.Now, carrier);
  CHECK(it.lastAnswer(client).Code == ReplyCode::Aborted);
  CHECK(!it.Io.Opened.contains(carrier));
}

TEST_CASE("Proxy_CommitGoesOnWhereTheLenderHearsNothing") {
  Fixture it;
  const auto client = it.connect("current");
  const auto carrier = borrowForATransaction(it, client);
  it.ask(client, StatementKind::Commit, "COMMIT");
  const auto answers = it.Io.Answers[client].size();
  it.Core.lenderSilent(it.Now, carrier);
  CHECK(it.Io.Answers[client].size() == answers);
  it.answer(carrier, Fixture::replyAt(markOf(3, 101)));
  CHECK(it.lastAnswer(client).Code == ReplyCode::Success);
}

TEST_CASE("Proxy_SingleWriteGoesOnWhereTheLenderHearsNothing") {
  Fixture it;
  const auto client = it.connect("current");
  borrowForATransaction(it, client);
  const auto other = it.connect("current");
  it.ask(other, StatementKind::Write, "WRITE z 1");
  const auto carrier = it.carrierOf("WRITE z 1");
  REQUIRE(carrier);
  it.Core.lenderSilent(it.Now, *carrier);
  CHECK(it.Io.Answers[other].empty());
}
