// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What a session carries from one service to another while its route
/// moves between them.

#include "proxy/tests/ProxyFixture.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>

using namespace stepledge;
using namespace stepledge::proxy;
using Fixture = stepledge::proxy::tests::ProxyFixture;
using stepledge::proxy::tests::markOf;

namespace {

constexpr const char *Services[] = {"db", "db2", "db3"};

/// Three services, each with a log of its own; the route "own" leads to one of
/// them.
struct Moving : Fixture {
  Moving() {
    moveTo("db");
    for (const char *service : {"db2", "db3"}) {
      addTo(service, "p", membership::InstanceRole::Primary);
      addTo(service, "r", membership::InstanceRole::Replica);
    }
    settle(20);
    // Reads open connections to the replicas.
    for (const std::string service : Services)
      for (int i = 0; i < 4; ++i) {
        moveTo(service.c_str());
        const std::string text = "READ " + service + std::to_string(i);
        ask(connect("own"), StatementKind::Read, text.c_str());
        answer(carried(text), replyAt(Ends.at(service)));
        settle(10);
      }
    moveTo("db");
  }

  void addTo(const std::string &service, const std::string &id,
             membership::InstanceRole role) {
    membership::InstanceRecord record;
    record.Id = InstanceId(id + "-" + service);
    record.Service = service;
    record.Address = "10.0.1.1:" + std::to_string(++LastPort);
    record.Hall = HallId("a");
    record.Role = role;
    record.Slots = 3;
    record.Sequence = 1;
    Core.applyInstance(Now, record);
  }

  void moveTo(const char *service) {
    Service = service;
    control::Configuration next;
    next.Version = Core.configurationVersion() + 1;
    for (const char *it : Services)
      next.Services[it] = {it, 40, 0};
    addRoute(next, "own", control::ReadPolicy::ReadYourWrites);
    next.Routes[DatabaseId("own")].Service = service;
    Core.applyConfiguration(Now, next);
  }

  std::string serviceOf(ConnectionId id) {
    const auto instance = instanceOf(id);
    const auto at = instance.find('-');
    return at == std::string::npos ? "db" : instance.substr(at + 1);
  }

  /// Runs for some steps; each service answers the proxy's own commands with
  /// the end of its log.
  void settle(int steps) {
    for (int i = 0; i < steps; ++i) {
      Now += milliseconds(25);
      Core.tick(Now);
      for (const auto &[id, target] : std::map(Io.Opened))
        if (Ready.insert(id).second)
          Core.connectionReady(Now, id, replyAt(Ends.at(serviceOf(id))));
      for (bool isChanged = true; std::exchange(isChanged, false);)
        for (auto &[id, commands] : Io.Sent)
          if (Io.Opened.contains(id) && !commands.empty() &&
              commands.front().Id.empty()) {
            answer(id, replyAt(Ends.at(serviceOf(id))));
            isChanged = true;
            break;
          }
    }
  }

  /// The connection on which the statement is the next to be answered, soon.
  ConnectionId carried(const std::string &text) {
    const auto isNext = [&] {
      const auto carrier = carrierOf(text);
      return carrier && Io.Sent[*carrier].front().Text == text;
    };
    for (int i = 0; i < 12 && !isNext(); ++i)
      settle(1);
    REQUIRE(isNext());
    return *carrierOf(text);
  }

  /// The client's write is answered as the newest of the service's log.
  void write(ClientId client, const std::string &text, std::uint64_t number) {
    ask(client, StatementKind::Write, text.c_str());
    const ConnectionId writer = carried(text);
    Ends.at(Service) = markOf(Ends.at(Service).WrittenIn.Number, number);
    answer(writer, replyAt(Ends.at(Service)));
    settle(1);
  }

  /// The position that the client's read requires of the replica that it is
  /// sent to.
  Mark requiredBy(ClientId client, const std::string &text) {
    ask(client, StatementKind::Read, text.c_str());
    const ConnectionId reader = carried(text);
    CHECK(serviceOf(reader) == Service);
    const auto &command = Io.Sent[reader].front();
    REQUIRE(command.Text == text);
    const auto required = command.MinimumPosition;
    REQUIRE(required);
    answer(reader, replyAt(Ends.at(Service)));
    return *required;
  }

  int LastPort = 0;
  std::string Service;
  std::map<std::string, Mark> Ends{
      {"db", markOf(3, 100)}, {"db2", markOf(9, 10)}, {"db3", markOf(5, 500)}};
};

} // namespace

TEST_CASE_FIXTURE(Moving, "MovedRoute_ReadNeedsTheCommitAtItsOwnService") {
  // The commit at the other service replaced it, and the session's read lacked
  // its own write.
  const auto client = connect("own");
  moveTo("db2");
  write(client, "WRITE x 1", 777);
  moveTo("db");
  write(client, "WRITE y 1", 120);
  moveTo("db2");
  CHECK(requiredBy(client, "READ x") == markOf(9, 777));
}

TEST_CASE_FIXTURE(Moving, "MovedRoute_ReadNeedsNoCommitOfAnotherService") {
  // Its replicas may never reach the other log's position.
  const auto client = connect("own");
  moveTo("db2");
  write(client, "WRITE x 1", 777);
  moveTo("db");
  CHECK(requiredBy(client, "READ y") == markOf(3, 100));
}

TEST_CASE_FIXTURE(Moving, "MovedRoute_ThreeServicesInTurnKeepTheirCommits") {
  const auto client = connect("own");
  for (const char *service : Services) {
    moveTo(service);
    write(client, std::string("WRITE ") + service, 900);
  }
  for (const char *service : Services) {
    CAPTURE(std::string(service));
    moveTo(service);
    CHECK(requiredBy(client, std::string("READ of ") + service) ==
          Ends.at(service));
  }
}

TEST_CASE_FIXTURE(Moving, "MovedRoute_WriteAnsweredAfterTheMoveIsOfItsOwnLog") {
  const auto client = connect("own");
  moveTo("db2");
  ask(client, StatementKind::Write, "WRITE x 1");
  settle(1);
  const auto writer = carrierOf("WRITE x 1");
  REQUIRE(writer);
  moveTo("db");
  Ends.at("db2") = markOf(9, 777);
  answer(*writer, replyAt(markOf(9, 777)));
  CHECK(requiredBy(client, "READ y") == markOf(3, 100));
  moveTo("db2");
  CHECK(requiredBy(client, "READ x") == markOf(9, 777));
}

TEST_CASE_FIXTURE(Moving, "MovedRoute_CommitOfAnOpenTransactionIsOfItsOwnLog") {
  const auto client = connect("own");
  ask(client, StatementKind::Begin, "BEGIN");
  ask(client, StatementKind::Write, "WRITE z 1");
  settle(1);
  const auto carrier = carrierOf("WRITE z 1");
  REQUIRE(carrier);
  answer(*carrier, replyAt(Ends.at("db"), SessionState::InTransaction));
  moveTo("db2");
  ask(client, StatementKind::Commit, "COMMIT");
  REQUIRE(carrierOf("COMMIT") == carrier);
  Ends.at("db") = markOf(3, 777);
  answer(*carrier, replyAt(markOf(3, 777)));
  write(client, "WRITE w 1", 20);
  moveTo("db");
  CHECK(requiredBy(client, "READ z") == markOf(3, 777));
}
