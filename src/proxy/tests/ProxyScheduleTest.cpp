// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Seeded schedules: many sessions before instances that lag, crash, fall
/// silent and are promoted. Each client gets the truth, and each statement runs
/// where it may.

#include "proxy/tests/SimulatedInstances.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <string>

using namespace stepledge;
using namespace stepledge::proxy;
using control::ReadPolicy;
using proxy::tests::SimulatedInstances;

namespace {

std::uint64_t numberFrom(const char *variable, std::uint64_t otherwise) {
  const char *text = std::getenv(variable);
  return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

constexpr Duration Staleness = milliseconds(1500);

/// A commit that its client was told of.
struct Acknowledged {
  std::string Write;
  TimePoint At{};
  std::uint64_t Client = 0;
};

/// One client that asks, waits for the answer, and asks again.
struct Client {
  ClientId Id;
  ReadPolicy Policy = ReadPolicy::Current;
  SimulatedInstances::ClientView View;
  bool IsAwaiting = false;
  StatementKind Asked = StatementKind::Read;
  AccessMode Mode = AccessMode::Read;
  std::string AskedId;
  TimePoint AskedAt{};
  bool IsOpen = false;
  bool HasFailed = false;
  std::vector<std::string> Writes;
};

class Play {
public:
  explicit Play(std::uint64_t seed)
      : Group(seed, 3), Core(options(), Group, Group) {
    Group.setProxy(Core);
    control::Configuration configuration;
    configuration.Version = 1;
    configuration.Services["db"] = {"db", 40, 0};
    configuration.TransactionIdleLimit = milliseconds(3000);
    for (const auto &[name, policy] :
         {std::pair("current", ReadPolicy::Current),
          std::pair("bounded", ReadPolicy::BoundedStaleness),
          std::pair("own", ReadPolicy::ReadYourWrites)}) {
      control::Route route;
      route.Database = DatabaseId(name);
      route.Service = "db";
      route.Policy = policy;
      route.StatementTimeout = milliseconds(800);
      route.LatencyObjective = milliseconds(200);
      route.MaxStaleness = Staleness;
      configuration.Routes[route.Database] = route;
    }
    Core.applyConfiguration(Now, configuration);
    Group.announceAll();
    for (std::uint64_t i = 0; i < 12; ++i) {
      Client client;
      client.Id = ClientId{i + 1};
      client.View.Client = i + 1;
      client.Policy = i % 3 == 0   ? ReadPolicy::Current
                      : i % 3 == 1 ? ReadPolicy::BoundedStaleness
                                   : ReadPolicy::ReadYourWrites;
      const char *names[] = {"current", "bounded", "own"};
      Core.clientConnected(Now, client.Id, DatabaseId(names[i % 3]));
      Clients.push_back(client);
    }
  }

  void run(int rounds) {
    for (int i = 0; i < rounds; ++i) {
      step();
      if (i % 40 == 39)
        disturb();
    }
    heal();
    for (int i = 0; i < 400; ++i)
      step();
    IsAsking = false;
    for (int i = 0; i < 300; ++i)
      step();
    for (const auto &it : Clients)
      CHECK_MESSAGE(!it.IsAwaiting, "no answer to " << it.AskedId);
    checkHistory();
    CHECK(Group.fault() == "");
    CHECK(Fault == "");
    CHECK(Succeeded > 100);
  }

private:
  static ProxyOptions options() {
    ProxyOptions options;
    options.OwnHall = HallId("a");
    return options;
  }

  std::uint64_t pick(std::uint64_t n) { return Group.random()() % n; }

  void step() {
    Now += milliseconds(5);
    Group.advance(Now);
    Core.tick(Now);
    if (++Steps % 100 == 0)
      Group.announceAll();
    for (auto &it : Clients) {
      takeAnswers(it);
      if (!it.IsAwaiting && IsAsking && pick(8) == 0)
        ask(it);
    }
  }

  void disturb() {
    const std::size_t instance = pick(Group.size());
    switch (pick(9)) {
    case 0:
      Group.resetConnections();
      break;
    case 1:
      if (instance != Group.primary())
        Group.crash(instance);
      break;
    case 2:
      Group.crash(Group.primary());
      Group.promote((Group.primary() + 1) % Group.size());
      break;
    case 3:
      Group.promote(instance);
      break;
    case 4:
      Group.setLag(instance, milliseconds(static_cast<int>(pick(2500))));
      break;
    case 5:
      Group.silence(instance, true);
      break;
    case 6:
      Group.setBusyShare(0.2);
      break;
    default:
      heal();
      break;
    }
  }

  void heal() {
    Group.setBusyShare(0.0);
    for (std::size_t i = 0; i < Group.size(); ++i) {
      Group.restart(i);
      Group.silence(i, false);
      Group.setLag(i, milliseconds(30));
    }
    Group.announceAll();
  }

  void ask(Client &client) {
    ClientStatement statement;
    statement.Id = "s" + std::to_string(++LastId);
    const std::uint64_t choice = pick(12);
    if (client.HasFailed) {
      statement.Kind = StatementKind::Rollback;
    } else if (client.IsOpen && choice < 3) {
      statement.Kind =
          choice == 0 ? StatementKind::Rollback : StatementKind::Commit;
    } else if (!client.IsOpen && choice == 3) {
      statement.Kind = StatementKind::Begin;
    } else if (!client.IsOpen && choice == 4) {
      statement.Kind = StatementKind::Set;
      statement.Name = "v" + std::to_string(pick(2));
      statement.Value = std::to_string(pick(3));
      client.View.Values[statement.Name] = statement.Value;
    } else if (!client.IsOpen && choice == 5) {
      statement.Kind = StatementKind::Prepare;
      statement.Name = "p" + std::to_string(pick(2));
      statement.Value = "shape" + std::to_string(pick(4));
      statement.Mode = pick(2) ? AccessMode::Write : AccessMode::Read;
      client.View.Prepared[statement.Name] = {statement.Mode, statement.Value};
    } else if (choice == 6 && !client.View.Prepared.empty()) {
      statement.Kind = StatementKind::Execute;
      statement.Name = client.View.Prepared.begin()->first;
      statement.Value = "x";
      statement.Mode = client.View.Prepared.begin()->second.Mode;
    } else if (choice < 9) {
      statement.Kind = StatementKind::Write;
      statement.Mode = AccessMode::Write;
    } else {
      statement.Kind = StatementKind::Read;
    }
    statement.Text = textOf(statement);
    client.IsAwaiting = true;
    client.Asked = statement.Kind;
    client.Mode = statement.Mode;
    client.AskedId = statement.Id;
    client.AskedAt = Now;
    Group.Views[statement.Id] = client.View;
    // NOTE: a transaction's reads are judged by its first statement.
    if (!client.IsOpen)
      Group.MustSee[statement.Id] = mustSee(client);
    if (statement.Mode == AccessMode::Write &&
        (statement.Kind == StatementKind::Write ||
         statement.Kind == StatementKind::Execute))
      client.Writes.push_back(statement.Id);
    Core.clientAsked(Now, client.Id, statement);
  }

  static std::string textOf(const ClientStatement &statement) {
    switch (statement.Kind) {
    case StatementKind::Commit:
      return "COMMIT";
    case StatementKind::Write:
      return "WRITE x " + statement.Id;
    default:
      return "READ x";
    }
  }

  std::set<std::string> mustSee(const Client &client) const {
    std::set<std::string> writes;
    for (const auto &it : Acks) {
      const bool isOwn = it.Client == client.View.Client;
      const bool isOld = it.At + Staleness <= Now;
      if (client.Policy == ReadPolicy::Current || isOld ||
          (client.Policy == ReadPolicy::ReadYourWrites && isOwn))
        writes.insert(it.Write);
    }
    return writes;
  }

  void takeAnswers(Client &client) {
    auto &answers = Group.Answers[client.Id];
    while (!answers.empty()) {
      const StatementReply reply = answers.front();
      answers.pop_front();
      if (!client.IsAwaiting) {
        Fault = "an answer to nothing";
        return;
      }
      take(client, reply);
    }
  }

  void take(Client &client, const StatementReply &reply) {
    client.IsAwaiting = false;
    const bool isLocal = client.Asked == StatementKind::Begin ||
                         client.Asked == StatementKind::Set ||
                         client.Asked == StatementKind::Prepare ||
                         client.Asked == StatementKind::Rollback;
    const bool isSuccess = reply.Code == ReplyCode::Success;
    Succeeded += isSuccess;
    if (isSuccess && !isLocal && reply.Signature != "signed " + client.AskedId)
      Fault = "a success without its signature: " + client.AskedId;
    const bool wasOpen = client.IsOpen;
    client.IsOpen = reply.State == SessionState::InTransaction;
    client.HasFailed = reply.State == SessionState::Failed;
    const bool ends = !client.IsOpen && !client.HasFailed;
    const bool isKept = isSuccess && (client.Asked == StatementKind::Commit ||
                                      (!wasOpen && !isLocal));
    if (isKept)
      for (const auto &it : client.Writes)
        Acks.push_back({it, Now, client.View.Client});
    // Every code but these says that nothing of the attempt is kept.
    const bool isPromise =
        !isSuccess && reply.Code != ReplyCode::OutcomeUnknown &&
        reply.Code != ReplyCode::TimedOut && reply.Code != ReplyCode::Malformed;
    const bool isRolledBack = client.Asked == StatementKind::Rollback;
    if (isPromise || (isRolledBack && isSuccess))
      for (const auto &it : client.Writes)
        Promised.insert(it);
    if (ends || isPromise)
      client.Writes.clear();
  }

  void checkHistory() {
    std::map<std::string, int> runs;
    for (const auto &commit : Group.history())
      for (const auto &it : commit.Writes)
        ++runs[it];
    for (const auto &[write, n] : runs) {
      if (n > 1)
        Fault = "a write was kept twice: " + write;
      if (Promised.contains(write))
        Fault = "a refused write was kept: " + write;
    }
  }

  TimePoint Now = TimePoint(std::chrono::seconds(10));
  SimulatedInstances Group;
  Proxy Core;
  std::vector<Client> Clients;
  std::vector<Acknowledged> Acks;
  std::set<std::string> Promised;
  std::uint64_t LastId = 0;
  int Steps = 0;
  int Succeeded = 0;
  bool IsAsking = true;
  std::string Fault;
};

} // namespace

TEST_CASE("Proxy_SchedulesKeepThePromises") {
  const std::uint64_t first = numberFrom("STEPLEDGE_FIRST_SEED", 1);
  const std::uint64_t count = numberFrom("STEPLEDGE_SEEDS", 40);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    CAPTURE(seed);
    Play(seed).run(1500);
  }
}

TEST_CASE("Proxy_SeedsThatFailed") {
  // 77: a commit was given up on and then refused as busy; its connection was
  // used again with the transaction still open.
  Play(77).run(1500);
}
