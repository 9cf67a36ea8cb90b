// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Instances with too few connections for all VMs: connections of the
/// homes, and borrowing by the other VMs.

#include "proxy/tests/ProxyFixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace stepledge;
using namespace stepledge::proxy;
using proxy::tests::markOf;
using Fixture = proxy::tests::ProxyFixture;
using control::ReadPolicy;

namespace {

/// Adds other VMs in front of the same instances to \p it, with too few
/// connections for each VM to have its own.
void shareWithSixVms(Fixture &it) {
  // Eight connections for six VMs: two homes, and two non-home VMs with one
  // each.
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
    it.answerProxyCommands(markOf(3, 100));
  }
}

/// Lets each lender that gets \p text refuse it with \p wait as the expected
/// wait; returns these lenders.
std::vector<std::string> refuseAll(Fixture &it, const std::string &text,
                                   Duration wait) {
  std::vector<std::string> lenders;
  for (auto carrier = it.carrierOf(text); carrier;
       carrier = it.carrierOf(text)) {
    lenders.push_back(it.Io.Opened.at(*carrier).LenderIp);
    REQUIRE(lenders.size() < 10);
    it.Core.lenderRefused(it.Now, *carrier, LendingEnd::Full, wait);
    it.answer(*carrier, Fixture::refusal(ReplyCode::Busy));
  }
  return lenders;
}

/// A VM that borrows from four others, all of them connected.
void borrowFromConnected(Fixture &it) {
  shareWithSixVms(it);
  for (const char *ip : {"1", "2", "3", "4", "5", "6"})
    it.Io.ConnectedLenders.insert(std::string("10.9.9.") + ip);
  // The primary answers the proxy's own queries, and no statement is left.
  for (int i = 0; i < 50; ++i) {
    it.advance(milliseconds(100));
    it.answerProxyCommands(markOf(3, 100));
  }
}

/// Another VM borrows a connection to the primary for a write.
void lendWrite(Fixture &it, const char *text) {
  BorrowRequest request;
  request.Service = "db";
  request.Instance = InstanceId("p");
  request.IsFirst = true;
  request.Commands.emplace_back().Kind = CommandKind::ClientText;
  request.Commands.back().Id = "lent";
  request.Commands.back().Text = text;
  it.Core.lender().request(it.Now, {"10.9.9.6", 1}, request);
}

/// The VM's own connections to the primary.
std::ptrdiff_t ownAtPrimary(const Fixture &it) {
  return std::count_if(it.Io.Opened.begin(), it.Io.Opened.end(),
                       [](const auto &target) {
                         return target.second.Instance == InstanceId("p") &&
                                !target.second.isBorrowed();
                       });
}

} // namespace

TEST_CASE("Proxy_NonHomeVmClosesAConnectionThatOnlyItsOwnQueriesUse") {
  Fixture it;
  it.warmUp();
  REQUIRE(ownAtPrimary(it) > 0);
  shareWithSixVms(it);
  CHECK(ownAtPrimary(it) == 0);
}

TEST_CASE("Proxy_HomesLeaveConnectionsOfTheInstanceFree") {
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
  // Idle transactions, each on a connection of its own.
  for (int i = 0; i < 12; ++i) {
    const auto client = it.connect("current");
    const std::string text = "WRITE x " + std::to_string(i);
    it.ask(client, StatementKind::Begin, "BEGIN");
    it.ask(client, StatementKind::Write, text.c_str());
    for (int n = 0; n < 5; ++n) {
      it.advance(milliseconds(10));
      it.answerProxyCommands(markOf(3, 100));
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
  // Six homes with four each, and seven non-home VMs with one each, make 31 of
  // 53.
  CHECK(own == 4);
}

TEST_CASE("Proxy_HomeOpensSpareConnectionsWhileTransactionsAreIdle") {
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
  const auto begin = [&it](int i) {
    const auto client = it.connect("current");
    const std::string text = "WRITE x " + std::to_string(i);
    it.ask(client, StatementKind::Begin, "BEGIN");
    it.ask(client, StatementKind::Write, text.c_str());
    for (int n = 0; n < 5; ++n) {
      it.advance(milliseconds(10));
      it.answerProxyCommands(markOf(3, 100));
    }
    if (const auto carrier = it.carrierOf(text))
      it.answer(*carrier,
                Fixture::replyAt(markOf(3, 100), SessionState::InTransaction));
  };
  for (int i = 0; i < 4; ++i)
    begin(i);
  REQUIRE(ownAtPrimary(it) == 4);
  it.advance(milliseconds(800));
  for (int i = 4; i < 12; ++i)
    begin(i);
  // Six homes with seven each, and seven non-home VMs with one each, make up
  // the 49 usable connections.
  CHECK(ownAtPrimary(it) > 4);
  CHECK(ownAtPrimary(it) <= 7);
}

TEST_CASE("Proxy_HomeOpensOnlyItsPartOfTheFreeConnectionsAfterAStart") {
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
  // Clients reconnect and leave their transactions idle.
  for (int i = 0; i < 6; ++i) {
    const auto client = it.connect("current");
    const std::string text = "WRITE x " + std::to_string(i);
    it.ask(client, StatementKind::Begin, "BEGIN");
    it.ask(client, StatementKind::Write, text.c_str());
    for (int n = 0; n < 5; ++n) {
      it.advance(milliseconds(10));
      it.answerProxyCommands(markOf(3, 100));
    }
    if (const auto carrier = it.carrierOf(text))
      it.answer(*carrier,
                Fixture::replyAt(markOf(3, 100), SessionState::InTransaction));
  }
  // The instance still counts 28 lost connections, so 18 are left for six
  // homes.
  CHECK(ownAtPrimary(it) == 3);
}

TEST_CASE("Proxy_StatementGoesToAConnectedLenderWithoutATick") {
  Fixture it;
  shareWithSixVms(it);
  for (const char *ip : {"1", "2", "3", "4", "5", "6"})
    it.Io.ConnectedLenders.insert(std::string("10.9.9.") + ip);
  // No statement for so long that no connection is left from the last one.
  it.advance(milliseconds(5000));
  const auto client = it.connect("current");
  it.ask(client, StatementKind::Write, "WRITE x 1");
  const auto carrier = it.carrierOf("WRITE x 1");
  REQUIRE(carrier);
  CHECK(it.Io.Opened.at(*carrier).isBorrowed());
}

// Guards against counting statements on borrowed connections as this VM's own
// load at the instance: it refused to lend a free connection.
TEST_CASE("Proxy_LendsItsOwnConnectionWhileItBorrows") {
  Fixture it;
  it.warmUp();
  borrowFromConnected(it);
  for (int i = 0; i < MaxRunningStatements; ++i) {
    const std::string text = "WRITE x " + std::to_string(i);
    it.ask(it.connect("current"), StatementKind::Write, text.c_str());
    const auto carrier = it.carrierOf(text);
    REQUIRE(carrier);
    REQUIRE(it.Io.Opened.at(*carrier).isBorrowed());
  }
  lendWrite(it, "WRITE x lent");
  for (int i = 0; i < 5; ++i)
    it.advance(milliseconds(10));
  const auto carrier = it.carrierOf("WRITE x lent");
  REQUIRE(carrier);
  CHECK(!it.Io.Opened.at(*carrier).isBorrowed());
}

TEST_CASE("Proxy_EndTellsBorrowersAndOwnClientsOfBorrowedStatements") {
  Fixture it;
  it.warmUp();
  lendWrite(it, "WRITE x lent");
  REQUIRE(it.carrierOf("WRITE x lent"));
  shareWithSixVms(it);
  const auto client = it.connect("current");
  it.ask(client, StatementKind::Write, "WRITE x 1");
  it.advance(milliseconds(30));
  const auto carrier = it.carrierOf("WRITE x 1");
  REQUIRE(carrier);
  REQUIRE(it.Io.Opened.at(*carrier).isBorrowed());
  it.Core.beginShutdown();
  it.Core.endAllWork(it.Now);
  CHECK(it.lastAnswer(client).Code == ReplyCode::OutcomeUnknown);
  // The borrow ends at its lender, too.
  CHECK(!it.Io.Opened.contains(*carrier));
  CHECK(it.Io.BorrowerEnds[{"10.9.9.6", 1}] == LendingEnd::Lost);
  CHECK(!it.Core.lender().isLending());
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
  it.Ready.insert(ConnectionId{}); // From here the test accepts connections.
  ClientStatement statement;
  statement.Id = "w";
  statement.Kind = StatementKind::Write;
  statement.Text = "WRITE x 1";
  it.Core.statementReceived(it.Now, client, statement);
  const auto connectionTo =
      [&](bool isBorrowed) -> std::optional<ConnectionId> {
    for (const auto &[id, target] : it.Io.Opened)
      if (target.Instance == InstanceId("p2") &&
          target.isBorrowed() == isBorrowed)
        return id;
    return std::nullopt;
  };
  const auto own = connectionTo(false);
  REQUIRE(own);
  it.Core.connectionReady(it.Now, *own,
                          Fixture::refusal(ReplyCode::TooManyConnections));
  it.Now += milliseconds(30);
  it.Core.tick(it.Now);
  const auto borrowed = connectionTo(true);
  REQUIRE(borrowed);
  it.Core.connectionReady(it.Now, *borrowed, {});
  CHECK(it.carrierOf("WRITE x 1") == borrowed);
  // Once the instance may have a free connection again, the VM opens an own
  // one.
  it.Now += milliseconds(150);
  it.Core.tick(it.Now);
  CHECK(connectionTo(false));
}

TEST_CASE("Proxy_RefusalOfALenderDoesNotCountAsAnInstanceAnswer") {
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
  const auto observations = it.Core.primaryObservations(it.Now);
  REQUIRE(observations.size() == 1);
  // The control VMs replace a primary that most VMs report silent for this
  // long.
  CHECK(observations.front().SilentFor >= milliseconds(700));
}

namespace {

/// Opens a transaction on a borrowed connection, with its first write answered.
ConnectionId borrowForATransaction(Fixture &it, ClientId client) {
  shareWithSixVms(it);
  for (const char *ip : {"1", "2", "3", "4", "5", "6"})
    it.Io.ConnectedLenders.insert(std::string("10.9.9.") + ip);
  const ConnectionId carrier = it.beginTransaction(client);
  REQUIRE(it.Io.Opened.at(carrier).isBorrowed());
  return carrier;
}

} // namespace

TEST_CASE("Proxy_TransactionIsAbortedIfTheLenderReportsSilence") {
  Fixture it;
  const auto client = it.connect("current");
  const auto carrier = borrowForATransaction(it, client);
  it.ask(client, StatementKind::Write, "WRITE y 1");
  it.Core.lenderSilent(it.Now, carrier);
  CHECK(it.lastAnswer(client).Code == ReplyCode::Aborted);
  CHECK(!it.Io.Opened.contains(carrier));
}

TEST_CASE("Proxy_CommitContinuesIfTheLenderReportsSilence") {
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

TEST_CASE("Proxy_SingleWriteContinuesIfTheLenderReportsSilence") {
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

TEST_CASE("Proxy_RefusesAtOnceIfNoHomeHasCapacity") {
  Fixture it;
  borrowFromConnected(it);
  const auto first = it.connect("current");
  it.ask(first, StatementKind::Write, "WRITE x 1");
  const auto asked = refuseAll(it, "WRITE x 1", milliseconds(5000));
  CHECK(std::set(asked.begin(), asked.end()).size() == asked.size());
  CHECK(static_cast<int>(asked.size()) <= ProxyOptions().MaxFullLenders);
  // No time has passed.
  CHECK(it.lastAnswer(first).Code == ReplyCode::Busy);
  CHECK(it.lastAnswer(first).Detail.find("retry after") != std::string::npos);
  // The next statements ask no lender, except for one that probes whether there
  // is capacity again.
  int sent = 0;
  for (int i = 0; i < 5; ++i) {
    const auto client = it.connect("current");
    const std::string text = "WRITE y " + std::to_string(i);
    it.ask(client, StatementKind::Write, text.c_str());
    sent += static_cast<int>(refuseAll(it, text, milliseconds(5000)).size());
    CHECK(it.lastAnswer(client).Code == ReplyCode::Busy);
  }
  CHECK(sent <= 1);
  // A reported wait expires.
  it.advance(overload::ReportedWaitOptions().MaxValidity);
  it.ask(it.connect("current"), StatementKind::Write, "WRITE z 1");
  CHECK(it.carrierOf("WRITE z 1"));
}

TEST_CASE("Proxy_BorrowsFromTheHomeWithTheLeastReportedWait") {
  Fixture it;
  borrowFromConnected(it);
  it.ask(it.connect("current"), StatementKind::Write, "WRITE x 1");
  const auto first = it.carrierOf("WRITE x 1");
  REQUIRE(first);
  const std::string full = it.Io.Opened.at(*first).LenderIp;
  it.Core.lenderRefused(it.Now, *first, LendingEnd::Full, milliseconds(5000));
  it.answer(*first, Fixture::refusal(ReplyCode::Busy));
  const auto next = it.carrierOf("WRITE x 1");
  REQUIRE(next);
  const std::string free = it.Io.Opened.at(*next).LenderIp;
  CHECK(free != full);
  it.answer(*next, Fixture::replyAt(markOf(3, 100)));
  it.advance(milliseconds(5));
  it.ask(it.connect("current"), StatementKind::Write, "WRITE x 2");
  const auto last = it.carrierOf("WRITE x 2");
  REQUIRE(last);
  CHECK(it.Io.Opened.at(*last).LenderIp != full);
}

TEST_CASE("Proxy_LenderThatReportsNoWaitIsAskedAgainAfterAPause") {
  Fixture it;
  borrowFromConnected(it);
  const auto client = it.connect("current");
  it.ask(client, StatementKind::Write, "WRITE x 1");
  CHECK(refuseAll(it, "WRITE x 1", Duration{}).size() > 1);
  CHECK(it.Io.Answers[client].empty());
  it.advance(ProxyOptions().FullLenderPause + milliseconds(5));
  CHECK(it.carrierOf("WRITE x 1"));
}

TEST_CASE("Proxy_WriteWaitsForANewPrimaryUpToItsQueueLimit") {
  Fixture it;
  it.warmUp();
  membership::InstanceRecord record;
  record.Id = InstanceId("p");
  record.Service = "db";
  record.Hall = HallId("a");
  record.State = membership::InstanceState::Gone;
  record.Sequence = 2;
  it.Core.applyInstance(it.Now, record);
  const auto client = it.connect("current");
  it.ask(client, StatementKind::Write, "WRITE x 1");
  // Longer than a statement with its timeout waits for a free connection.
  for (int i = 0; i < 65; ++i)
    it.advance(milliseconds(10));
  CHECK(it.Io.Answers[client].empty());
  for (int i = 0; i < 10; ++i)
    it.advance(milliseconds(10));
  CHECK(it.lastAnswer(client).Code == ReplyCode::Busy);
}
