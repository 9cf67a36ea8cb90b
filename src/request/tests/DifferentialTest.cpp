// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

// Compares the product with a naive model that has a single copy of the data,
// under seeded schedules of lag, loss, duplicated answers and replacements.
// The checker uses only the answers to callers and the final logs.
//
// RC_PARAMS in the environment ("seed=... max_success=...") selects other or
// more schedules; a failing one is printed with its seed.

#include "base/ResultTable.h"
#include "request/RequestModule.h"
#include "request/tests/FakeGroup.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace stepledge;
using namespace stepledge::request;

namespace {

constexpr int ProxyCount = 2;
constexpr int SessionCount = 5;
constexpr int RoundCount = 40;
const DatabaseId Database("bookings");

void addPeers(int proxy, settings::Settings &out) {
  out.VmNumber = static_cast<std::uint64_t>(proxy) + 1;
  out.Hall = HallId("hall" + std::to_string(proxy));
  // Short, so that the drivers of several proxies often act at once.
  out.Failover.Suspect = milliseconds(40);
  out.Failover.Stagger = milliseconds(5);
  out.Failover.Rest = milliseconds(50);
  for (int n = 0; n < ProxyCount; ++n)
    if (n != proxy)
      out.Peers.push_back({VmId("vm" + std::to_string(n)),
                           HallId("hall" + std::to_string(n)),
                           {},
                           static_cast<std::uint64_t>(n) + 1});
}

/// Who replaces a lost primary.
enum class Replacer { Operators, Proxies };

settings::Settings settingsOf(int proxy, Replacer replacer) {
  settings::Settings out;
  if (replacer == Replacer::Proxies)
    addPeers(proxy, out);
  out.Vm = VmId("vm" + std::to_string(proxy));
  settings::DatabaseSettings database;
  database.Id = Database;
  for (int n = 0; n < 3; ++n)
    database.Instances.push_back({InstanceId(std::to_string(n)),
                                  HallId(std::to_string(n)),
                                  {"", static_cast<std::uint16_t>(n)},
                                  10,
                                  3});
  out.Databases.push_back(database);
  out.Timing.Observe = milliseconds(10);
  out.Timing.Silence = milliseconds(100);
  return out;
}

/// One coordinator with its connections to the fake group.
class Proxy {
public:
  using AnswerHandler = std::function<void(const CallerAnswer &answer)>;

  using QueryHandler =
      std::function<void(int number, const AskOtherHalls &question)>;

  Proxy(FakeGroup &group, int number, std::uint64_t seed, Replacer replacer,
        QueryHandler onQuery)
      : Group(group), Number(number),
        Base(static_cast<std::uint64_t>(number) << 32),
        OnQuery(std::move(onQuery)),
        Coordinator(makeRequestCoordinator(settingsOf(number, replacer), seed,
                                           group.now())) {
    sendEvent(TimePassed{});
  }

  bool isSilent() const {
    return Coordinator->isPrimarySilent(Database, Group.now());
  }
  void receive(const PeerReport &report) { sendEvent(report); }

  void submit(CallerRequest request, AnswerHandler onAnswer) {
    request.Id = RequestId{++Requests};
    AnswerHandlers[request.Id] = std::move(onAnswer);
    sendEvent(RequestArrived{std::move(request)});
  }

private:
  void sendEvent(const Event &event) {
    for (const auto &it : Coordinator->onEvent(event, Group.now()))
      std::visit([this](const auto &effect) { apply(effect); }, it);
    scheduleWake();
  }

  void scheduleWake() {
    const auto wake = Coordinator->nextWake();
    if (!wake ||
        (IsScheduled && ScheduledFor <= *wake && ScheduledFor > Group.now()))
      return;
    IsScheduled = true;
    ScheduledFor = std::max(*wake, Group.now() + Duration{1});
    const auto mine = ScheduledFor;
    Group.after(mine - Group.now(), [this, mine] {
      if (ScheduledFor != mine)
        return;
      IsScheduled = false;
      sendEvent(TimePassed{});
    });
  }

  void apply(const OpenConnection &it) {
    Instances[it.Connection] = std::stoi(it.Instance.str());
    const auto id = it.Connection;
    Group.after(Group.upTo(2000),
                [this, id] { sendEvent(ConnectionOpened{id}); });
  }
  void apply(const CloseConnection &it) {
    const auto number = Base + it.Connection.Number;
    // The instance notices it only later.
    Group.after(Group.upTo(3000),
                [this, number] { Group.dropConnection(number); });
  }
  void apply(const RunBatch &it) {
    const auto id = it.Connection;
    Group.run(
        Base + id.Number, Instances.at(id), it.Batch,
        [this, id](const upstream::BatchResult &result) {
          sendEvent(BatchFinished{id, result});
        },
        [this, id] {
          sendEvent(ConnectionLost{id, "lost"});
        });
  }
  void apply(const SendAnswer &it) {
    const auto found = AnswerHandlers.find(it.Answer.Id);
    if (found == AnswerHandlers.end())
      return;
    const auto onAnswer = std::move(found->second);
    AnswerHandlers.erase(found);
    onAnswer(it.Answer);
  }
  void apply(const RecordDecision &) {}
  void apply(const AskOtherHalls &it) { OnQuery(Number, it); }

  FakeGroup &Group;
  int Number;
  std::uint64_t Base;
  QueryHandler OnQuery;
  std::unique_ptr<IRequestCoordinator> Coordinator;
  std::map<RequestId, AnswerHandler> AnswerHandlers;
  std::map<ConnectionId, int> Instances;
  std::uint64_t Requests = 0;
  bool IsScheduled = false;
  TimePoint ScheduledFor;
};

/// The answer that a caller got to a write.
struct ReportedWrite {
  std::string Name;
  std::int64_t Value = 0;
  ResultClass Class = ResultClass::Unknown;
  TimePoint At;
};

/// The naive model: a name's value is the last acknowledged one.
class History {
public:
  void add(const ReportedWrite &write) { Writes.push_back(write); }

  /// The lowest value that a read of the data of \p freshAt may return.
  std::int64_t lowestValueAt(const std::string &name, TimePoint freshAt) const {
    std::int64_t value = 0;
    for (const auto &it : Writes)
      if (it.Name == name && it.Class == ResultClass::Ran && it.At <= freshAt)
        value = std::max(value, it.Value);
    return value;
  }

  const std::vector<ReportedWrite> &writes() const { return Writes; }

private:
  std::vector<ReportedWrite> Writes;
};

/// One session; only it writes its name, with increasing values.
struct Session {
  std::string Name;
  session::SessionMarks Marks;
  std::int64_t Next = 1;
  std::int64_t Acknowledged = 0;
  bool IsBusy = false;
};

class Trial {
public:
  explicit Trial(std::uint64_t seed, Replacer by = Replacer::Operators)
      : By(by), Random(seed),
        Group(seed ^ 0x5eed, settings::DialectSettings{}) {
    Group.FaultPercent = static_cast<int>(Random() % 4);
    for (int n = 1; n < 3; ++n)
      if (Random() % 2 == 0)
        Group.instance(n).Lag = milliseconds(1);
    for (int n = 0; n < ProxyCount; ++n)
      All.push_back(std::make_unique<Proxy>(
          Group, n, seed + 1, by,
          [this](int asker, const AskOtherHalls &it) { ask(asker, it); }));
    for (int n = 0; n < SessionCount; ++n) {
      Session it;
      it.Name = "s" + std::to_string(n);
      Callers.push_back(it);
    }
  }

  void run() {
    Group.runUntil(TimePoint(milliseconds(50)));
    for (int round = 0; round < RoundCount; ++round) {
      for (auto &it : Callers)
        if (!it.IsBusy && Random() % 3 != 0)
          submitRandom(it);
      if (Random() % 12 == 0)
        losePrimary();
      if (Random() % 8 == 0)
        heal();
      Group.runUntil(Group.now() + milliseconds(15));
    }
    heal();
    Group.FaultPercent = 0;
    Group.runUntil(Group.now() + milliseconds(3000));
    // A system that refuses everything would keep all guarantees; so once all
    // faults have ended, each session's write must be acknowledged.
    for (auto &it : Callers)
      submitFinalWrite(it);
    Group.runUntil(Group.now() + milliseconds(3000));
    checkEnd();
  }

private:
  void heal() {
    if (By == Replacer::Operators)
      Group.heal();
    else
      Group.reconnect();
  }

  void losePrimary() {
    if (By == Replacer::Operators)
      return Group.replacePrimary();
    const int primary = Group.newestPrimary();
    if (primary >= 0)
      Group.isolate(primary);
  }

  void ask(int asker, const AskOtherHalls &question) {
    for (int n = 0; n < ProxyCount; ++n) {
      if (n == asker || Group.chance(20))
        continue;
      Group.after(Group.upTo(3000), [this, asker, n, question] {
        const bool isSilent = All[static_cast<std::size_t>(n)]->isSilent();
        const PeerReport report{question.Database,
                                VmId("vm" + std::to_string(n)),
                                question.Current, isSilent};
        Group.after(Group.upTo(3000), [this, asker, report] {
          All[static_cast<std::size_t>(asker)]->receive(report);
        });
      });
    }
  }

  void submitRandom(Session &it) {
    CallerRequest request;
    request.Database = Database;
    request.Marks = it.Marks;
    request.Deadline = Group.now() + milliseconds(400);
    it.IsBusy = true;
    if (Random() % 2 == 0)
      write(it, std::move(request));
    else
      read(it, std::move(request));
  }

  Proxy &anyProxy() { return *All[Random() % All.size()]; }

  void write(Session &it, CallerRequest request) {
    const auto value = it.Next++;
    const auto key =
        Random() % 2 == 0 ? it.Name + "-" + std::to_string(value) : "";
    request.Operation =
        WriteCall{{"PUT " + it.Name + " " + std::to_string(value), {}}, key};
    anyProxy().submit(std::move(request),
                      [this, &it, value](const CallerAnswer &answer) {
                        const auto result = resultRow(answer.Code).Class;
                        Reported.add({it.Name, value, result, Group.now()});
                        if (result == ResultClass::Ran)
                          it.Acknowledged = value;
                        updateSession(it, answer);
                      });
  }

  void submitFinalWrite(Session &it) {
    RC_ASSERT(!it.IsBusy);
    CallerRequest request;
    request.Database = Database;
    request.Deadline = Group.now() + milliseconds(2000);
    it.IsBusy = true;
    write(it, std::move(request));
  }

  void read(Session &it, CallerRequest request) {
    const auto &other = Callers[Random() % Callers.size()].Name;
    const auto maxAge = milliseconds(Random() % 3 == 0 ? 0 : 300);
    const auto name = Random() % 2 == 0 ? it.Name : other;
    request.Operation = ReadCall{{"GET " + name, {}}, maxAge};
    const auto floor = name == it.Name ? it.Acknowledged : 0;
    anyProxy().submit(std::move(request), [this, &it, name, floor,
                                           maxAge](const CallerAnswer &answer) {
      if (answer.Code == ResultCode::Done)
        checkRead(name, floor, maxAge, answer);
      updateSession(it, answer);
    });
  }

  void checkRead(const std::string &name, std::int64_t floor, Duration maxAge,
                 const CallerAnswer &answer) const {
    const auto value = std::stoll(answer.Result.Rows[0][0].value_or("0"));
    // The session reads its own acknowledged writes.
    RC_ASSERT(value >= floor);
    // The read includes all writes acknowledged before the reported age.
    RC_ASSERT(answer.Age.has_value());
    if (maxAge.count() > 0)
      RC_ASSERT(*answer.Age <= maxAge);
    RC_ASSERT(value >= Reported.lowestValueAt(name, Group.now() - *answer.Age));
  }

  void updateSession(Session &it, const CallerAnswer &answer) {
    it.IsBusy = false;
    it.Marks = answer.Marks;
    if (answer.Code != ResultCode::HistoryLost)
      return;
    // After this code the caller begins a new session, which has no marks.
    it.Marks = {};
    it.Acknowledged = 0;
  }

  void checkEnd() const {
    const int primary = Group.newestPrimary();
    RC_ASSERT(primary >= 0);
    std::map<std::pair<std::string, std::int64_t>, int> found;
    for (const auto &it : Group.instance(primary).Log)
      if (!it.Name.empty())
        ++found[{it.Name, it.Value}];
    for (const auto &it : Reported.writes()) {
      const auto n = found[{it.Name, it.Value}];
      RC_ASSERT(n <= 1);
      if (it.Class == ResultClass::Ran)
        RC_ASSERT(n == 1);
      if (it.Class == ResultClass::NotRun)
        RC_ASSERT(n == 0);
    }
    for (const auto &it : Callers)
      RC_ASSERT(it.Acknowledged == it.Next - 1);
  }

  Replacer By;
  std::mt19937_64 Random;
  FakeGroup Group;
  std::vector<std::unique_ptr<Proxy>> All;
  std::vector<Session> Callers;
  History Reported;
};

} // namespace

// Runs the same schedules every time unless RC_PARAMS selects others.
void fixSeed() { setenv("RC_PARAMS", "seed=20261202 max_success=150", 0); }

// Seeds whose schedules once violated a guarantee.
TEST_CASE("Differential_FormerlyFailingSeeds") {
  fixSeed();
  bool isDone = false;
  const bool holds = rc::check("formerly failing seeds pass", [&isDone] {
    if (std::exchange(isDone, true))
      return;
    for (const auto seed :
         {0ULL, 303847ULL, 14113ULL, 17166794928746ULL, 65073808766934965ULL})
      Trial(seed).run();
  });
  CHECK(holds);
}

TEST_CASE("Differential_SessionsAgainstASingleCopy") {
  fixSeed();
  const bool holds = rc::check("guarantees hold under any schedule",
                               [](std::uint64_t seed) { Trial(seed).run(); });
  CHECK(holds);
}

// The same, with the proxies replacing lost primaries, at times concurrently.
TEST_CASE("Differential_ProxiesReplaceThePrimary") {
  fixSeed();
  const bool holds = rc::check(
      "guarantees hold while proxies race to replace the primary",
      [](std::uint64_t seed) { Trial(seed, Replacer::Proxies).run(); });
  CHECK(holds);
}
