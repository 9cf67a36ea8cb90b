// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Lending a connection to another VM: for one statement or transaction,
/// in the order of the queue, and refused as not run if nothing was sent.

#include "proxy/internal/Lender.h"
#include "proxy/tests/FakeIo.h"

#include <doctest/doctest.h>

using namespace stepledge;
using namespace stepledge::proxy;

namespace {

/// A pool with one connection to one instance.
class SingleConnectionPool : public ILendablePool {
public:
  InstanceConnection *
  findLendable(TimePoint now, const std::string &service,
               const InstanceId &instance,
               const std::optional<OrganisationId> &organisation) override {
    (void)now;
    (void)service;
    (void)instance;
    if (organisation && Connection.Organisation != organisation)
      return nullptr;
    return HasConnection && Connection.isFree() ? &Connection : nullptr;
  }
  bool reaches(const std::string &service,
               const InstanceId &instance) override {
    (void)service;
    (void)instance;
    return IsReachable;
  }
  bool isSilentSince(const std::string &service, const InstanceId &instance,
                     TimePoint sentAt) override {
    (void)service;
    (void)instance;
    (void)sentAt;
    return !IsReachable;
  }
  bool expectsFreeConnection(TimePoint now,
                             const InstanceId &instance) override {
    (void)now;
    (void)instance;
    return IsFreeExpected;
  }
  int lendableConnections(TimePoint now, const std::string &service,
                          const InstanceId &instance) override {
    (void)now;
    (void)service;
    (void)instance;
    return UsableConnections;
  }
  LendingCapacity lendingCapacity(TimePoint now, const std::string &service,
                                  const InstanceId &instance) override {
    (void)now;
    (void)service;
    (void)instance;
    LendingCapacity capacity;
    capacity.OwnConnections = HasConnection;
    return capacity;
  }
  InstanceConnection *connection(ConnectionId id) override {
    return id == Connection.Id ? &Connection : nullptr;
  }
  void transmitLent(TimePoint now, InstanceConnection &connection,
                    const std::vector<OutgoingCommand> &batch) override {
    for (const auto &it : batch) {
      connection.Sent.push_back({it.Reason, now});
      Sent.push_back(it.Command);
    }
  }
  void takeBack(TimePoint now, InstanceConnection &connection) override {
    (void)now;
    (void)connection;
    ++ReturnCount;
  }
  void abandonLent(TimePoint now, InstanceConnection &connection) override {
    (void)now;
    connection.IsAbandoned = true;
  }

  InstanceConnection Connection;
  std::vector<InstanceCommand> Sent;
  int ReturnCount = 0;
  bool HasConnection = true;
  int UsableConnections = 1;
  bool IsReachable = true;
  bool IsFreeExpected = true;
};

struct Fixture {
  Fixture() {
    Pool.Connection.Id = ConnectionId{1};
    Pool.Connection.IsReady = true;
  }

  void ask(std::uint64_t number, bool isFirst, const char *id,
           CommandKind kind = CommandKind::ClientText) {
    BorrowRequest request;
    request.Service = isFirst ? "db" : "";
    request.Instance = InstanceId(isFirst ? "i" : "");
    request.IsFirst = isFirst;
    InstanceCommand command;
    command.Kind = kind;
    command.Id = id;
    request.Commands.push_back(command);
    Lending.request(Now, {"10.0.0.9", number}, request);
  }

  void askWithObjective(std::uint64_t number, int priority, Duration objective,
                        Duration age = {}) {
    BorrowRequest request;
    request.Service = "db";
    request.Instance = InstanceId("i");
    request.IsFirst = true;
    request.Commands.emplace_back();
    request.Commands.back().Kind = CommandKind::ClientText;
    request.Commands.back().Id = std::to_string(number);
    request.Needs.Rank = {priority, objective, Now - age, {}};
    Lending.request(Now, {"10.0.0.9", number}, request);
  }

  /// Runs borrows of 40 ms each one after the other, then removes the
  /// connection.
  void learnHoldTime() {
    for (std::uint64_t number = 1000; number < 1050; ++number) {
      askWithObjective(number, 1, milliseconds(250));
      Now += milliseconds(40);
      answer(SessionState::Idle);
      // The connection is idle in between, so that it isn't fully used.
      Now += milliseconds(60);
    }
    Pool.HasConnection = false;
  }

  bool isRefused(std::uint64_t number) {
    return Io.BorrowerEnds.contains({"10.0.0.9", number});
  }

  void answer(SessionState state) {
    const Purpose reason = Pool.Connection.Sent.front().Reason;
    Pool.Connection.Sent.pop_front();
    StatementReply reply;
    reply.State = state;
    Lending.answered(Now, Pool.Connection, reason, reply);
  }

  tests::FakeIo Io;
  SingleConnectionPool Pool;
  scheduling::QueueScheduler Scheduler;
  Lender Lending{Pool, Io, Io, Scheduler};
  TimePoint Now = TimePoint(std::chrono::seconds(1));
};

} // namespace

TEST_CASE("Lender_HoldsAConnectionUntilTheSessionIsIdle") {
  Fixture it;
  it.ask(1, true, "", CommandKind::Begin);
  it.answer(SessionState::InTransaction);
  it.ask(2, true, "b");
  CHECK(it.Pool.Sent.size() == 1);
  it.ask(1, false, "a");
  it.answer(SessionState::InTransaction);
  it.ask(1, false, "", CommandKind::Rollback);
  CHECK(it.Pool.ReturnCount == 0);
  it.answer(SessionState::Idle);
  CHECK(it.Pool.ReturnCount == 1);
  it.Lending.tick(it.Now);
  REQUIRE(it.Pool.Sent.size() == 4);
  CHECK(it.Pool.Sent.back().Id == "b");
}

TEST_CASE("Lender_DoesNotRunCommandsOfAnEndedBorrow") {
  Fixture it;
  it.ask(1, true, "", CommandKind::Begin);
  it.answer(SessionState::InTransaction);
  it.Pool.Connection.Borrower.reset();
  it.Lending.connectionLost({"10.0.0.9", 1});
  // The commit was on its way when the connection broke.
  it.ask(1, false, "commit");
  CHECK(it.Pool.Sent.size() == 1);
  CHECK(it.Io.BorrowerEnds[{"10.0.0.9", 1}] == LendingEnd::Lost);
}

TEST_CASE("Lender_ReportsASilentInstanceToItsBorrower") {
  Fixture it;
  it.ask(1, true, "", CommandKind::Begin);
  it.answer(SessionState::InTransaction);
  it.Pool.IsReachable = false;
  it.Lending.tick(it.Now);
  // No answer is pending, so the borrower doesn't wait.
  CHECK(it.Io.BorrowerEnds.empty());
  it.ask(1, false, "a");
  it.Lending.tick(it.Now);
  CHECK(it.Io.BorrowerEnds.empty());
  it.Now += LenderOptions().SilenceTimeout;
  it.Lending.tick(it.Now);
  CHECK(it.Io.BorrowerEnds[{"10.0.0.9", 1}] == LendingEnd::Silent);
  // An answer that still arrives is passed on to the borrower.
  const auto answers = it.Io.BorrowerReplies[{"10.0.0.9", 1}].size();
  it.answer(SessionState::InTransaction);
  CHECK(it.Io.BorrowerReplies[{"10.0.0.9", 1}].size() == answers + 1);
}

TEST_CASE("Lender_RefusesUnsentCommandsAsNotRun") {
  Fixture it;
  it.Pool.HasConnection = false;
  it.ask(1, true, "a");
  it.Lending.tick(it.Now + milliseconds(100));
  CHECK(it.Io.BorrowerReplies.empty());
  it.Lending.tick(it.Now + milliseconds(200));
  REQUIRE(it.Io.BorrowerReplies[{"10.0.0.9", 1}].size() == 1);
  CHECK(it.Io.BorrowerReplies[{"10.0.0.9", 1}].front().Code == ReplyCode::Busy);
  CHECK(it.Io.BorrowerEnds[{"10.0.0.9", 1}] == LendingEnd::Full);
  it.Pool.IsReachable = false;
  it.ask(2, true, "b");
  CHECK(it.Io.BorrowerEnds[{"10.0.0.9", 2}] == LendingEnd::Unreachable);
  it.Lending.stop();
  it.ask(3, true, "c");
  CHECK(it.Io.BorrowerEnds[{"10.0.0.9", 3}] == LendingEnd::Stopping);
  CHECK(it.Pool.Sent.empty());
}

TEST_CASE("Lender_TellsEachBorrowerAsTheVmEnds") {
  Fixture it;
  it.ask(1, true, "a");
  it.ask(2, true, "b");
  it.Lending.stop();
  it.Lending.endAllBorrows(it.Now);
  // The first may run, and its connection ends with the process.
  CHECK(it.Io.BorrowerEnds[{"10.0.0.9", 1}] == LendingEnd::Lost);
  CHECK(it.Io.BorrowerReplies[{"10.0.0.9", 1}].empty());
  // The second was never sent.
  CHECK(it.Io.BorrowerEnds[{"10.0.0.9", 2}] == LendingEnd::Stopping);
  REQUIRE(it.Io.BorrowerReplies[{"10.0.0.9", 2}].size() == 1);
  CHECK(it.Io.BorrowerReplies[{"10.0.0.9", 2}].front().Code == ReplyCode::Busy);
  CHECK(it.Pool.Sent.size() == 1);
  CHECK(it.Pool.Connection.IsAbandoned);
  CHECK(!it.Lending.isLending());
}

TEST_CASE("Lender_AbandonsTheConnectionOfAGoneBorrower") {
  Fixture it;
  it.ask(1, true, "", CommandKind::Begin);
  it.Lending.endAll(it.Now, "10.0.0.9");
  CHECK(it.Pool.Connection.IsAbandoned);
  CHECK(!it.Pool.Connection.Borrower);
  CHECK(!it.Lending.isLending());
}

TEST_CASE("Lender_SendsABorrowThatWasQueuedTwiceOnce") {
  Fixture it;
  it.Pool.HasConnection = false;
  it.ask(1, true, "a");
  it.Lending.end(it.Now, {"10.0.0.9", 1});
  it.ask(1, true, "b");
  it.Pool.HasConnection = true;
  it.Lending.tick(it.Now);
  REQUIRE(it.Pool.Sent.size() == 1);
  CHECK(it.Pool.Sent.front().Id == "b");
  // The connection is free again while the first request is still in the queue.
  it.Pool.Connection.Borrower.reset();
  it.Pool.Connection.Sent.clear();
  it.Lending.serveQueue(it.Now, "db", InstanceId("i"));
  CHECK(it.Pool.Sent.size() == 1);
}

TEST_CASE("Lender_RefusesAtOnceWhileAllConnectionsAreIdleInTransactions") {
  Fixture it;
  it.ask(1, true, "", CommandKind::Begin);
  it.answer(SessionState::InTransaction);
  it.Pool.IsFreeExpected = false;
  it.ask(2, true, "b");
  CHECK(it.Io.BorrowerEnds[{"10.0.0.9", 2}] == LendingEnd::Full);
}

// Guards against a reported wait that was never measured: borrowers refused
// their clients' statements because of it.
TEST_CASE("Lender_ReportsNoWaitWhileAllConnectionsAreIdleInTransactions") {
  Fixture it;
  it.learnHoldTime();
  it.Pool.IsFreeExpected = false;
  it.askWithObjective(1, 1, milliseconds(250));
  CHECK(it.Io.BorrowerEnds[{"10.0.0.9", 1}] == LendingEnd::Full);
  CHECK(it.Io.ReportedWaits[{"10.0.0.9", 1}] == Duration{});
}

TEST_CASE("Lender_RefusesAtOnceABorrowerThatNeedsAFreeConnectionNow") {
  Fixture it;
  it.Pool.HasConnection = false;
  it.Pool.IsFreeExpected = true;
  const auto ask = [&](std::uint64_t number, bool needsFreeNow) {
    BorrowRequest request;
    request.Service = "db";
    request.Instance = InstanceId("i");
    request.IsFirst = true;
    request.Needs.NeedsFreeNow = needsFreeNow;
    request.Commands.emplace_back();
    it.Lending.request(it.Now, {"10.0.0.9", number}, request);
  };
  ask(1, true);
  CHECK(it.Io.BorrowerEnds[{"10.0.0.9", 1}] == LendingEnd::Full);
  ask(2, false);
  CHECK(!it.Io.BorrowerEnds.contains({"10.0.0.9", 2}));
}

TEST_CASE("Lender_SendsTheReasonBeforeTheReplies") {
  Fixture it;
  it.Pool.IsReachable = false;
  it.ask(1, true, "a");
  // A borrower that received the replies first would ask this lender again.
  CHECK(it.Io.ReportOrder == std::vector<std::string>{"end", "reply"});
}

TEST_CASE("Lender_ServesTheOrganisationUnderItsFairShareFirst") {
  Fixture it;
  it.Scheduler.setRates(
      {{OrganisationId("red"), 10}, {OrganisationId("blue"), 10}});
  it.Scheduler.noteUse(it.Now, {"db", InstanceId("i")}, OrganisationId("red"),
                       milliseconds(20));
  it.Pool.HasConnection = false;
  const auto ask = [&](std::uint64_t number, const char *organisation) {
    BorrowRequest request;
    request.Service = "db";
    request.Instance = InstanceId("i");
    request.IsFirst = true;
    request.Commands.emplace_back();
    request.Commands.back().Id = organisation;
    request.Needs.Rank = {1, milliseconds(150), it.Now,
                          OrganisationId(organisation)};
    it.Lending.request(it.Now, {"10.0.0.9", number}, request);
  };
  ask(1, "red");
  ask(2, "blue");
  it.Pool.HasConnection = true;
  it.Lending.serveQueue(it.Now, "db", InstanceId("i"));
  CHECK(it.Pool.Sent.back().Id == "blue");
}

TEST_CASE("Lender_ServesTheMostUrgentFirstUnderOverload") {
  Fixture it;
  it.Pool.HasConnection = false;
  const auto ask = [&](std::uint64_t number, int priority, Duration objective,
                       Duration age) {
    BorrowRequest request;
    request.Service = "db";
    request.Instance = InstanceId("i");
    request.IsFirst = true;
    request.Commands.emplace_back();
    request.Commands.back().Id = std::to_string(number);
    request.Needs.Rank = {priority, objective, it.Now - age, {}};
    it.Lending.request(it.Now, {"10.0.0.9", number}, request);
  };
  ask(1, 2, milliseconds(500), milliseconds(140));
  ask(2, 2, milliseconds(250), milliseconds(20));
  ask(3, 1, milliseconds(150), milliseconds(200));
  ask(4, 1, milliseconds(150), milliseconds(10));
  it.Pool.HasConnection = true;
  std::string order;
  for (int i = 0; i < 4; ++i) {
    it.Lending.serveQueue(it.Now, "db", InstanceId("i"));
    order += it.Pool.Sent.back().Id;
    it.answer(SessionState::Idle);
  }
  // The third is late already; the others are served by priority and objective.
  CHECK(order == "4213");
}

TEST_CASE("Lender_RefusesAtOnceABorrowThatCannotBeServedInTime") {
  Fixture it;
  it.learnHoldTime();
  std::uint64_t number = 1;
  while (number < 30 && !it.isRefused(number)) {
    it.askWithObjective(++number, 0, milliseconds(240));
    // Nothing was sent, and no time has passed.
    REQUIRE(it.Pool.Sent.size() == 50);
  }
  // The queue takes about 240 ms of borrows of 40 ms each, and as many late
  // ones.
  CHECK(number > 4);
  CHECK(number < 14);
  CHECK(it.Io.BorrowerEnds[{"10.0.0.9", number}] == LendingEnd::Full);
  CHECK(it.Io.ReportedWaits[{"10.0.0.9", number}] > milliseconds(100));
  CHECK(it.Io.Lines.back().find("expected_wait_ms=") != std::string::npos);
  // A borrow with a longer objective is still queued.
  it.askWithObjective(100, 0, milliseconds(1200));
  CHECK(!it.isRefused(100));
}

TEST_CASE("Lender_FloodOfOnePriorityDoesNotBlockMoreUrgentBorrows") {
  Fixture it;
  it.learnHoldTime();
  for (std::uint64_t number = 1; number < 60; ++number)
    it.askWithObjective(number, 2, milliseconds(250));
  REQUIRE(it.isRefused(59));
  it.askWithObjective(100, 0, milliseconds(250));
  CHECK(!it.isRefused(100));
  it.Pool.HasConnection = true;
  it.Lending.tick(it.Now);
  CHECK(it.Pool.Sent.back().Id == "100");
}

TEST_CASE("Lender_LateBorrowIsServedAfterTheOthers") {
  Fixture it;
  it.learnHoldTime();
  // It can be answered, but not in time.
  it.askWithObjective(1, 0, milliseconds(200), milliseconds(190));
  REQUIRE(!it.isRefused(1));
  it.askWithObjective(2, 1, milliseconds(250));
  REQUIRE(!it.isRefused(2));
  it.Pool.HasConnection = true;
  it.Lending.tick(it.Now);
  CHECK(it.Pool.Sent.back().Id == "2");
  it.answer(SessionState::Idle);
  it.Lending.tick(it.Now);
  CHECK(it.Pool.Sent.back().Id == "1");
}

TEST_CASE("Lender_RefusesQueuedBorrowsWhenConnectionsAreLost") {
  Fixture it;
  it.learnHoldTime();
  it.Pool.UsableConnections = 8;
  for (std::uint64_t number = 1; number <= 16; ++number)
    it.askWithObjective(number, 0, milliseconds(240));
  REQUIRE(it.Io.BorrowerEnds.empty());
  // All connections but one are lost.
  it.Pool.UsableConnections = 1;
  it.Lending.tick(it.Now);
  CHECK(it.Io.BorrowerEnds.size() > 2);
  CHECK(it.Io.BorrowerEnds.size() < 14);
}

TEST_CASE("Lender_BorrowWithoutAnObjectiveWaitsForTheQueueTimeout") {
  Fixture it;
  it.learnHoldTime();
  for (std::uint64_t number = 1; number <= 40; ++number)
    it.askWithObjective(number, 0, {});
  CHECK(it.Io.BorrowerEnds.empty());
  it.Lending.tick(it.Now + LenderOptions().QueueTimeout);
  CHECK(it.Io.BorrowerEnds.empty());
  it.Lending.tick(it.Now + LenderOptions().QueueTimeout + milliseconds(1));
  CHECK(it.Io.BorrowerEnds.size() == 40);
}

TEST_CASE("Lender_ReportsNoWaitWithoutAnEstimate") {
  Fixture it;
  it.Pool.HasConnection = false;
  for (std::uint64_t number = 1; number <= 20; ++number)
    it.askWithObjective(number, 0, milliseconds(1200));
  it.Lending.tick(it.Now + LenderOptions().QueueTimeout);
  CHECK(it.Io.BorrowerEnds.empty());
  it.Lending.tick(it.Now + LenderOptions().QueueTimeout + milliseconds(1));
  REQUIRE(it.Io.BorrowerEnds.size() == 20);
  CHECK(it.Io.ReportedWaits[{"10.0.0.9", 1}] == Duration{});
}
