// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Single decisions of the proxy, each with the failure it is meant for.

#include "proxy/tests/ProxyFixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>

using namespace stepledge;
using namespace stepledge::proxy;
using proxy::tests::FakeIo;
using proxy::tests::markOf;
using Fixture = proxy::tests::ProxyFixture;
using control::ReadPolicy;

TEST_CASE("Proxy_UnknownDatabaseIsRejected") {
  Fixture it;
  const auto client = it.connect("nowhere");
  CHECK(it.Io.Rejected.at(client).Code == ReplyCode::UnknownDatabase);
}

TEST_CASE("Proxy_ClientBeforeTheFirstConfigurationWaits") {
  FakeIo io;
  Proxy core(Fixture::options(), io, io, io);
  const TimePoint now(std::chrono::seconds(10));
  core.clientConnected(now, ClientId{1}, DatabaseId("current"));
  CHECK(io.Rejected.empty());
  CHECK(io.Accepted.empty());
  control::Configuration configuration;
  configuration.Version = 4;
  Fixture::addRoute(configuration, "current", ReadPolicy::Current);
  core.applyConfiguration(now, configuration);
  CHECK(io.Accepted.contains(ClientId{1}));
}

TEST_CASE("Proxy_ClientWithoutAConfigurationIsSentAwayInTime") {
  FakeIo io;
  Proxy core(Fixture::options(), io, io, io);
  const TimePoint now(std::chrono::seconds(10));
  core.clientConnected(now, ClientId{1}, DatabaseId("current"));
  core.tick(now + milliseconds(1000));
  CHECK(io.Closed.contains(ClientId{1}));
}

TEST_CASE("Proxy_CurrentReadRunsInsideATransactionOfThePrimary") {
  Fixture it;
  it.warmUp();
  const auto client = it.connect("current");
  it.ask(client, StatementKind::Read, "READ x");
  // The read itself must not go out before the lead is proved.
  CHECK(!it.carrierOf("READ x"));
  it.answerOwn(markOf(3, 120));
  const auto carrier = it.carrierOf("READ x");
  REQUIRE(carrier);
  CHECK(it.instanceOf(*carrier) == "p");
  CHECK(it.Io.Sent[*carrier].back().Kind == CommandKind::Rollback);
  it.answer(*carrier,
            Fixture::replyAt(markOf(3, 120), SessionState::InTransaction));
  CHECK(it.lastAnswer(client).Code == ReplyCode::Success);
  CHECK(it.lastAnswer(client).Signature == "signed");
  CHECK(it.lastAnswer(client).State == SessionState::Idle);
}

TEST_CASE("Proxy_CurrentReadIsNotSentToADeposedPrimary") {
  Fixture it;
  it.warmUp();
  const auto client = it.connect("current");
  it.ask(client, StatementKind::Read, "READ x");
  for (auto &[id, commands] : it.Io.Sent)
    if (!commands.empty() && commands.front().Kind == CommandKind::Begin &&
        it.instanceOf(id) == "p") {
      it.answer(id, Fixture::refusal(ReplyCode::ReadOnly));
      break;
    }
  CHECK(!it.carrierOf("READ x"));
  CHECK(it.Io.Answers[client].empty());
  // Nothing was run, so the refusal at the limit may say so.
  for (int i = 0; i < 10; ++i)
    it.advance(milliseconds(100));
  CHECK(it.lastAnswer(client).Code == ReplyCode::Busy);
}

TEST_CASE("Proxy_BoundedReadCarriesAPositionThatIsRecentEnough") {
  Fixture it;
  it.connectReplicas();
  const auto client = it.connect("bounded");
  it.ask(client, StatementKind::Read, "READ x");
  const auto carrier = it.carrierOf("READ x");
  REQUIRE(carrier);
  CHECK(it.instanceOf(*carrier) != "p");
  REQUIRE(it.Io.Sent[*carrier].back().MinimumPosition);
  CHECK(*it.Io.Sent[*carrier].back().MinimumPosition == markOf(3, 100));
}

TEST_CASE("Proxy_LaggingReplicaIsLeftForAnother") {
  Fixture it;
  it.warmUp();
  const auto client = it.connect("bounded");
  it.ask(client, StatementKind::Read, "READ x");
  const auto first = it.carrierOf("READ x");
  REQUIRE(first);
  const std::string lagging = it.instanceOf(*first);
  it.answer(*first, Fixture::refusal(ReplyCode::Lagging));
  CHECK(it.Io.Retried == std::vector{ReplyCode::Lagging});
  it.advance(milliseconds(10));
  it.answerOwn(markOf(3, 100));
  const auto second = it.carrierOf("READ x");
  REQUIRE(second);
  CHECK(it.instanceOf(*second) != lagging);
}

TEST_CASE("Proxy_OwnReadNeedsTheSessionsLastCommit") {
  Fixture it;
  it.warmUp();
  const auto client = it.connect("own");
  it.ask(client, StatementKind::Write, "WRITE x 1");
  const auto writer = it.carrierOf("WRITE x 1");
  REQUIRE(writer);
  CHECK(it.instanceOf(*writer) == "p");
  it.answer(*writer, Fixture::replyAt(markOf(3, 777)));
  it.ask(client, StatementKind::Read, "READ x");
  it.answerOwn(markOf(3, 777));
  const auto reader = it.carrierOf("READ x");
  REQUIRE(reader);
  const auto &command = it.Io.Sent[*reader].front();
  const bool isAtPrimary = it.instanceOf(*reader) == "p";
  CHECK((isAtPrimary || command.MinimumPosition == markOf(3, 777)));
  if (command.MinimumPosition)
    CHECK(*command.MinimumPosition == markOf(3, 777));
}

TEST_CASE("Proxy_WriteWithoutAnAnswerIsInDoubtAndNeverRepeated") {
  Fixture it;
  it.warmUp();
  const auto client = it.connect("current");
  it.ask(client, StatementKind::Write, "WRITE x 1");
  const auto carrier = it.carrierOf("WRITE x 1");
  REQUIRE(carrier);
  it.Io.Sent.erase(*carrier);
  it.Core.connectionLost(it.Now, *carrier);
  CHECK(it.lastAnswer(client).Code == ReplyCode::OutcomeUnknown);
  it.advance(milliseconds(500));
  CHECK(!it.carrierOf("WRITE x 1"));
}

TEST_CASE("Proxy_WriteRefusedAsNotRunIsSentAgain") {
  Fixture it;
  it.warmUp();
  const auto client = it.connect("current");
  it.ask(client, StatementKind::Write, "WRITE x 1");
  const auto carrier = it.carrierOf("WRITE x 1");
  REQUIRE(carrier);
  it.answer(*carrier, Fixture::refusal(ReplyCode::Busy));
  CHECK(it.Io.Answers[client].empty());
  it.advance(milliseconds(100));
  CHECK(it.carrierOf("WRITE x 1"));
}

TEST_CASE("Proxy_TransactionStaysOnOneConnection") {
  Fixture it;
  it.warmUp();
  const auto client = it.connect("current");
  it.ask(client, StatementKind::Begin, "BEGIN");
  CHECK(it.lastAnswer(client).State == SessionState::InTransaction);
  it.ask(client, StatementKind::Write, "WRITE x 1");
  it.answerOwn(markOf(3, 100));
  const auto first = it.carrierOf("WRITE x 1");
  REQUIRE(first);
  it.answer(*first,
            Fixture::replyAt(markOf(3, 100), SessionState::InTransaction));
  it.ask(client, StatementKind::Read, "READ y");
  CHECK(it.carrierOf("READ y") == first);
  // Another client's statement must not run inside that transaction.
  const auto other = it.connect("current");
  it.ask(other, StatementKind::Write, "WRITE z 2");
  CHECK(it.carrierOf("WRITE z 2") != first);
}

TEST_CASE("Proxy_LostTransactionIsAborted") {
  Fixture it;
  it.warmUp();
  const auto client = it.connect("current");
  it.ask(client, StatementKind::Begin, "BEGIN");
  it.ask(client, StatementKind::Write, "WRITE x 1");
  it.answerOwn(markOf(3, 100));
  const auto carrier = it.carrierOf("WRITE x 1");
  REQUIRE(carrier);
  it.answer(*carrier,
            Fixture::replyAt(markOf(3, 100), SessionState::InTransaction));
  it.ask(client, StatementKind::Read, "READ y");
  it.Io.Sent.erase(*carrier);
  it.Core.connectionLost(it.Now, *carrier);
  CHECK(it.lastAnswer(client).Code == ReplyCode::Aborted);
  CHECK(it.lastAnswer(client).State == SessionState::Failed);
  it.ask(client, StatementKind::Rollback, "ROLLBACK");
  CHECK(it.lastAnswer(client).State == SessionState::Idle);
}

TEST_CASE("Proxy_LostCommitIsInDoubt") {
  Fixture it;
  it.warmUp();
  const auto client = it.connect("current");
  it.ask(client, StatementKind::Begin, "BEGIN");
  it.ask(client, StatementKind::Write, "WRITE x 1");
  it.answerOwn(markOf(3, 100));
  const auto carrier = it.carrierOf("WRITE x 1");
  REQUIRE(carrier);
  it.answer(*carrier,
            Fixture::replyAt(markOf(3, 100), SessionState::InTransaction));
  it.ask(client, StatementKind::Commit, "COMMIT");
  it.Io.Sent.erase(*carrier);
  it.Core.connectionLost(it.Now, *carrier);
  CHECK(it.lastAnswer(client).Code == ReplyCode::OutcomeUnknown);
  CHECK(it.lastAnswer(client).State == SessionState::Idle);
}

TEST_CASE("Proxy_TransactionThatRestsIsRolledBackAndTold") {
  Fixture it;
  it.warmUp();
  const auto client = it.connect("current");
  it.ask(client, StatementKind::Begin, "BEGIN");
  it.ask(client, StatementKind::Write, "WRITE x 1");
  it.answerOwn(markOf(3, 100));
  const auto carrier = it.carrierOf("WRITE x 1");
  REQUIRE(carrier);
  it.answer(*carrier,
            Fixture::replyAt(markOf(3, 100), SessionState::InTransaction));
  it.advance(milliseconds(3500));
  it.answerOwn(markOf(3, 100));
  it.ask(client, StatementKind::Commit, "COMMIT");
  CHECK(it.lastAnswer(client).Code == ReplyCode::Aborted);
}

TEST_CASE("Proxy_SessionValuesGoWithTheStatement") {
  Fixture it;
  it.warmUp();
  const auto first = it.connect("current");
  it.ask(first, StatementKind::Set, "SET lang sv", "lang", "sv");
  CHECK(it.lastAnswer(first).Code == ReplyCode::Success);
  it.ask(first, StatementKind::Write, "WRITE x 1");
  const auto carrier = it.carrierOf("WRITE x 1");
  REQUIRE(carrier);
  CHECK(it.Io.Sent[*carrier].front().Kind == CommandKind::SetValue);
  it.answerOwn(markOf(3, 100));
  it.answer(*carrier, Fixture::replyAt(markOf(3, 101)));
  // A client without that value must not find it on the same connection.
  const auto second = it.connect("current");
  it.ask(second, StatementKind::Write, "WRITE y 1");
  const auto other = it.carrierOf("WRITE y 1");
  REQUIRE(other);
  if (*other == *carrier)
    CHECK(it.Io.Sent[*other].front().Kind == CommandKind::ResetSession);
  else
    CHECK(it.Io.Sent[*other].front().Text == "WRITE y 1");
}

TEST_CASE("Proxy_PreparedStatementsKeepTheirOwnersMeaning") {
  Fixture it;
  it.warmUp();
  const auto first = it.connect("current");
  it.ask(first, StatementKind::Prepare, "PREPARE s WRITE q1", "s", "q1");
  it.ask(first, StatementKind::Execute, "EXECUTE s x 1", "s", "x 1");
  it.answerOwn(markOf(3, 100));
  std::string firstName;
  for (auto &[id, commands] : it.Io.Sent)
    for (const auto &command : commands)
      if (command.Kind == CommandKind::ClientExecute)
        firstName = command.Name;
  CHECK(!firstName.empty());
  const auto second = it.connect("current");
  it.ask(second, StatementKind::Execute, "EXECUTE s x 1", "s", "x 1");
  CHECK(it.lastAnswer(second).Code == ReplyCode::UnknownStatement);
}

TEST_CASE("Proxy_NewestIsServedFirstUnderOverload") {
  Fixture it;
  it.warmUp();
  // All connections to the primary are taken by clients that wait.
  std::vector<ClientId> clients;
  for (int i = 0; i < 40; ++i) {
    clients.push_back(it.connect("current"));
    const std::string text = "WRITE x " + std::to_string(i);
    it.ask(clients.back(), StatementKind::Write, text.c_str());
    it.advance(milliseconds(8));
  }
  std::optional<ConnectionId> busy;
  for (auto &[id, commands] : it.Io.Sent)
    if (!commands.empty() && !commands.front().Id.empty())
      busy = id;
  REQUIRE(busy);
  it.answer(*busy, Fixture::replyAt(markOf(3, 101)));
  REQUIRE(!it.Io.Sent[*busy].empty());
  CHECK(it.Io.Sent[*busy].front().Text == "WRITE x 39");
}

TEST_CASE("Proxy_PrimaryIsReachedByALenderWhenTheDirectPathIsSilent") {
  Fixture it;
  it.warmUp();
  it.Core.setEntries({{"10.9.9.9", HallId("b")}});
  const auto client = it.connect("current");
  it.ask(client, StatementKind::Read, "READ x");
  // No answer comes on the direct connections.
  for (int i = 0; i < 8; ++i)
    it.advance(milliseconds(80));
  bool usesLender = false;
  for (const auto &[id, target] : it.Io.Opened)
    usesLender |=
        target.Instance == InstanceId("p") && target.LenderIp == "10.9.9.9";
  CHECK(usesLender);
}

TEST_CASE("Proxy_NewPrimaryIsFoundWithoutControl") {
  Fixture it;
  it.warmUp();
  // The old primary refuses, and nobody tells of a successor.
  const auto client = it.connect("current");
  it.ask(client, StatementKind::Write, "WRITE x 1");
  const auto old = it.carrierOf("WRITE x 1");
  REQUIRE(old);
  it.answer(*old, Fixture::refusal(ReplyCode::ReadOnly));
  std::optional<ConnectionId> found;
  for (int i = 0; i < 12 && !found; ++i) {
    it.advance(milliseconds(30));
    for (auto &[id, commands] : std::map(it.Io.Sent)) {
      if (commands.empty() || commands.front().Kind != CommandKind::Begin)
        continue;
      const bool leads = it.instanceOf(id) == "r1";
      it.answer(id, leads ? Fixture::replyAt(markOf(4, 101),
                                             SessionState::InTransaction)
                          : Fixture::refusal(ReplyCode::ReadOnly));
      if (!it.Io.Sent[id].empty())
        it.answer(id, Fixture::replyAt(markOf(4, 101)));
    }
    const auto carrier = it.carrierOf("WRITE x 1");
    if (carrier && it.instanceOf(*carrier) == "r1")
      found = carrier;
  }
  CHECK(found);
}

TEST_CASE("Proxy_LeavingPrimaryGetsNoNewWorkAfterItsTime") {
  Fixture it;
  it.warmUp();
  membership::InstanceRecord leaving;
  leaving.Id = InstanceId("p");
  leaving.Service = "db";
  leaving.Address = "10.0.0.1:1";
  leaving.Role = membership::InstanceRole::Primary;
  leaving.State = membership::InstanceState::Leaving;
  it.Core.applyInstance(it.Now, leaving);
  const auto client = it.connect("current");
  it.ask(client, StatementKind::Write, "WRITE x 1");
  CHECK(it.carrierOf("WRITE x 1"));
  for (int i = 0; i < 62; ++i) {
    it.advance(milliseconds(100));
    it.answerOwn(markOf(3, 100));
  }
  it.ask(it.connect("current"), StatementKind::Write, "WRITE y 1");
  it.advance(milliseconds(100));
  CHECK(!it.carrierOf("WRITE y 1"));
}

TEST_CASE("Proxy_ChangedRouteBindsFromTheNextTransaction") {
  Fixture it;
  it.warmUp();
  const auto client = it.connect("current");
  it.ask(client, StatementKind::Begin, "BEGIN");
  it.ask(client, StatementKind::Write, "WRITE x 1");
  it.answerOwn(markOf(3, 100));
  control::Configuration next;
  next.Version = 2;
  next.Services["db"] = {"db", 40, 0};
  it.Core.applyConfiguration(it.Now, next);
  const auto carrier = it.carrierOf("WRITE x 1");
  REQUIRE(carrier);
  it.answer(*carrier,
            Fixture::replyAt(markOf(3, 100), SessionState::InTransaction));
  it.ask(client, StatementKind::Commit, "COMMIT");
  CHECK(it.carrierOf("COMMIT") == carrier);
  it.answer(*carrier, Fixture::replyAt(markOf(3, 101)));
  it.ask(client, StatementKind::Read, "READ x");
  CHECK(it.lastAnswer(client).Code == ReplyCode::UnknownDatabase);
}

TEST_CASE("Proxy_OlderConfigurationIsNotTaken") {
  Fixture it;
  control::Configuration older;
  older.Version = 1;
  it.Core.applyConfiguration(it.Now, older);
  const auto client = it.connect("current");
  CHECK(it.Io.Accepted.contains(client));
}

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
  it.Core.applyPromotion(it.Now, "db", InstanceId("p2"), 9);
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
