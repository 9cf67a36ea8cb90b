// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

// Real daemons and stand-ins, with the failures that only processes have. No
// test looks at how long anything took.

#include "bench/BenchModule.h"
#include "bench/internal/CallerClient.h"
#include "bench/internal/Cluster.h"

#include "base/types/ResultCode.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <sstream>
#include <thread>

using namespace stepledge;
using namespace stepledge::bench;

namespace {

constexpr double StartSeconds = 30;
constexpr int LongDeadlineMs = 20000;
constexpr const char *Create = "CREATE TABLE booking (slot TEXT PRIMARY KEY, "
                               "who TEXT)";
constexpr const char *Insert = "INSERT INTO booking VALUES ($1, $2)";
constexpr const char *Count = "SELECT count(*) FROM booking";

TrialPlaces places() { return placesBeside(STEPLEDGE_BENCH_PROGRAM); }

std::string openTransaction(CallerClient &client) {
  const auto reply = client.post("/v1/databases/bookings/transactions",
                                 {{"deadline_ms", LongDeadlineMs}});
  return reply.ran() ? reply.Body.value("transaction", "") : "";
}

CallerReply step(CallerClient &client, const std::string &transaction,
                 int sequence, const std::string &slot) {
  return client.post("/v1/transactions/" + transaction + "/statements",
                     {{"sequence", sequence},
                      {"statement", Insert},
                      {"parameters", {slot, "ann"}},
                      {"deadline_ms", LongDeadlineMs}});
}

CallerReply commit(CallerClient &client, const std::string &transaction,
                   int sequence) {
  return client.post("/v1/transactions/" + transaction + "/commit",
                     {{"sequence", sequence}, {"deadline_ms", LongDeadlineMs}});
}

/// Asks until the answer is one that ran.
CallerReply readUntilRan(CallerClient &client, const std::string &sql) {
  CallerReply reply;
  for (int n = 0; n < 200 && !reply.ran(); ++n)
    reply = client.read("bookings", sql, {}, 0, 1000);
  return reply;
}

bool isCode(const CallerReply &reply, ResultCode code) {
  return reply.code() == static_cast<int>(code);
}

} // namespace

TEST_CASE("Process_DemoGoesAsPromised") {
  std::ostringstream out;
  const int code = runDemo(places(), out);
  INFO(out.str());
  CHECK(code == 0);
}

TEST_CASE("Process_TransactionThroughOtherVmsReachesItsOwner") {
  Cluster cluster({}, places());
  REQUIRE(cluster.waitReady(StartSeconds));
  CallerClient client(cluster.callers(0));
  REQUIRE(client.write("bookings", Create, {}, "", LongDeadlineMs).ran());
  const auto transaction = openTransaction(client);
  REQUIRE_FALSE(transaction.empty());
  client.moveTo(cluster.callers(1));
  const auto first = step(client, transaction, 1, "mon-9");
  INFO(first.Body.dump());
  CHECK(first.ran());
  CHECK(isCode(step(client, transaction, 1, "mon-9"),
               ResultCode::TransactionSequence));
  client.moveTo(cluster.callers(2));
  CHECK(step(client, transaction, 2, "mon-10").ran());
  const auto committed = commit(client, transaction, 3);
  CHECK(committed.ran());
  CHECK(readUntilRan(client, Count).cell() == "2");
  // The decision was made at the owner; any VM explains it.
  const auto id = committed.Body.value("decision", "");
  CHECK(client.get("/v1/explain/" + id).find("majority") != std::string::npos);
}

TEST_CASE("Process_ProxyLostInMidTransaction") {
  Cluster cluster({}, places());
  REQUIRE(cluster.waitReady(StartSeconds));
  CallerClient client(cluster.callers(0));
  REQUIRE(client.write("bookings", Create, {}, "", LongDeadlineMs).ran());
  const auto transaction = openTransaction(client);
  REQUIRE(step(client, transaction, 1, "mon-9").ran());
  cluster.daemon(0).kill();
  client.moveTo(cluster.callers(1));
  const auto refused = step(client, transaction, 2, "mon-10");
  // Not handed over, or handed over and never answered: both are honest.
  const bool isHonest = isCode(refused, ResultCode::OwnerUnreachable) ||
                        isCode(refused, ResultCode::OwnerSilent);
  INFO(refused.Body.dump());
  CHECK(isHonest);
  CHECK(readUntilRan(client, Count).cell() == "0");
}

TEST_CASE("Process_ResendThroughAnotherVmRunsOnce") {
  Cluster cluster({}, places());
  REQUIRE(cluster.waitReady(StartSeconds));
  CallerClient client(cluster.callers(0));
  REQUIRE(client.write("bookings", Create, {}, "", LongDeadlineMs).ran());
  const std::vector<std::string> slot = {"mon-9", "ann"};
  REQUIRE(client.write("bookings", Insert, slot, "k1", LongDeadlineMs).ran());
  cluster.daemon(0).kill();
  client.moveTo(cluster.callers(1));
  const auto again =
      client.write("bookings", Insert, slot, "k1", LongDeadlineMs);
  CHECK(again.ran());
  CHECK(again.Body.value("replayed", false));
  CHECK(readUntilRan(client, Count).cell() == "1");
  const auto other =
      client.write("bookings", Insert, {"mon-10", "ann"}, "k1", LongDeadlineMs);
  CHECK(isCode(other, ResultCode::KeyReused));
}

TEST_CASE("Process_PrimaryKilledWhileWritten") {
  // Every acknowledged row is there once; every row refused as not run isn't.
  Cluster cluster({}, places());
  REQUIRE(cluster.waitReady(StartSeconds));
  CallerClient setUp(cluster.callers(0));
  REQUIRE(setUp.write("bookings", Create, {}, "", LongDeadlineMs).ran());
  std::atomic<bool> stop{false};
  std::vector<std::string> ran;
  std::vector<std::string> notRun;
  std::atomic<int> acknowledged{0};
  std::thread writer([&] {
    CallerClient client(cluster.callers(1));
    for (int n = 0; !stop && n < 5000; ++n) {
      const auto slot = "s" + std::to_string(n);
      const auto reply = client.write("bookings", Insert, {slot, "ann"},
                                      "key-" + slot, LongDeadlineMs);
      if (reply.ran())
        ran.push_back(slot);
      if (reply.notRun())
        notRun.push_back(slot);
      acknowledged = static_cast<int>(ran.size());
    }
  });
  const auto waitFor = [&](int n) {
    for (int check = 0; check < 1500 && acknowledged < n; ++check)
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
  };
  waitFor(30);
  cluster.instance("bookings-1").kill();
  // The VMs replace it by themselves.
  const int before = acknowledged;
  waitFor(before + 30);
  stop = true;
  writer.join();
  CHECK(acknowledged >= before + 30);
  CallerClient reader(cluster.callers(2));
  const auto reply = readUntilRan(reader, "SELECT slot FROM booking");
  REQUIRE(reply.ran());
  std::map<std::string, int> found;
  for (const auto &row : reply.Body["rows"])
    ++found[row[0].get<std::string>()];
  for (const auto &it : ran) {
    INFO(it);
    CHECK(found[it] == 1);
  }
  for (const auto &it : notRun) {
    INFO(it);
    CHECK(found[it] == 0);
  }
}

TEST_CASE("Process_CutOffPrimaryAcknowledgesNothing") {
  Cluster cluster({}, places());
  REQUIRE(cluster.waitReady(StartSeconds));
  CallerClient client(cluster.callers(0));
  REQUIRE(client.write("bookings", Create, {}, "", LongDeadlineMs).ran());
  // The replicas no longer get the primary's log.
  cluster.fault("bookings-2", "cut", 1);
  cluster.fault("bookings-3", "cut", 1);
  const auto reply =
      client.write("bookings", Insert, {"mon-9", "ann"}, "", 500);
  INFO(reply.Body.dump());
  CHECK_FALSE(reply.ran());
  CHECK_FALSE(reply.notRun());
}

TEST_CASE("Process_PlannedStopCutsOffNoRequest") {
  ClusterPlan plan;
  plan.Groups[0].ServiceMs = 20;
  plan.ExtraSettings = "[timing]\ndrain_notice_ms = 300\n";
  Cluster cluster(plan, places());
  REQUIRE(cluster.waitReady(StartSeconds));
  CallerClient setUp(cluster.callers(0));
  REQUIRE(setUp.write("bookings", Create, {}, "", LongDeadlineMs).ran());
  std::atomic<int> answered{0};
  std::atomic<int> cut{0};
  std::vector<std::thread> callers;
  callers.reserve(4);
  for (int caller = 0; caller < 4; ++caller) {
    callers.emplace_back([&] {
      CallerClient client(cluster.callers(0));
      for (int n = 0; n < 400; ++n) {
        const auto reply =
            client.read("bookings", Count, {}, 0, LongDeadlineMs);
        if (reply.Body.is_null()) {
          // A connection refused after the stop is no request cut off, but
          // one that was open and got no answer is.
          cut += client.statusOf("/live") == 0 ? 0 : 1;
          return;
        }
        if (isCode(reply, ResultCode::Stopping))
          return;
        ++answered;
      }
    });
  }
  for (int check = 0; check < 5000 && answered < 20; ++check)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  CHECK(answered >= 20);
  cluster.daemon(0).sendTerm();
  for (auto &it : callers)
    it.join();
  CHECK(cluster.daemon(0).wait() == 0);
  CHECK(cut == 0);
}

TEST_CASE("Process_LeavingPrimaryHandsOverWithoutACutRequest") {
  Cluster cluster({}, places());
  REQUIRE(cluster.waitReady(StartSeconds));
  CallerClient setUp(cluster.callers(0));
  REQUIRE(setUp.write("bookings", Create, {}, "", LongDeadlineMs).ran());
  std::atomic<bool> stop{false};
  std::atomic<int> ran{0};
  std::vector<std::string> refusals(3);
  std::vector<std::thread> writers;
  writers.reserve(3);
  for (int vm = 0; vm < 3; ++vm) {
    writers.emplace_back([&, vm] {
      CallerClient client(cluster.callers(vm));
      for (int n = 0; !stop && n < 100000; ++n) {
        const auto slot = std::to_string(vm) + "-" + std::to_string(n);
        // Without a key: whatever is cut off would be unknown.
        const auto reply =
            client.write("bookings", Insert, {slot, "ann"}, "", LongDeadlineMs);
        ran += reply.ran() ? 1 : 0;
        if (!reply.ran())
          refusals[static_cast<std::size_t>(vm)] += reply.Body.dump();
      }
    });
  }
  const auto roleOf = [&](const std::string &name) {
    return cluster.control(name, "SELECT standin('role')");
  };
  cluster.fault("bookings-1", "leaving", 1);
  for (int check = 0; check < 1000 && roleOf("bookings-1") == "primary";
       ++check)
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  const int before = ran;
  for (int check = 0; check < 1000 && ran < before + 30; ++check)
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  stop = true;
  for (auto &it : writers)
    it.join();
  CHECK(roleOf("bookings-1") == "replica");
  CHECK(ran >= before + 30);
  for (const auto &it : refusals)
    CHECK(it == "");
}

TEST_CASE("Process_LimitsHoldAtEveryInstance") {
  ClusterPlan plan;
  plan.Groups[0].ServiceMs = 2;
  Cluster cluster(plan, places());
  REQUIRE(cluster.waitReady(StartSeconds));
  CallerClient setUp(cluster.callers(0));
  REQUIRE(setUp.write("bookings", Create, {}, "", LongDeadlineMs).ran());
  std::vector<std::thread> callers;
  callers.reserve(12);
  std::atomic<int> ran{0};
  std::vector<std::string> refusals(12);
  for (int caller = 0; caller < 12; ++caller) {
    callers.emplace_back([&, caller] {
      CallerClient client(cluster.callers(caller % 3));
      // A session that has seen the table is not shown data from before it.
      client.setSession(setUp.session());
      for (int n = 0; n < 50; ++n) {
        const auto reply =
            client.read("bookings", Count, {}, 5000, LongDeadlineMs);
        ran += reply.ran() ? 1 : 0;
        if (!reply.ran())
          refusals[static_cast<std::size_t>(caller)] += reply.Body.dump();
      }
    });
  }
  for (auto &it : callers)
    it.join();
  for (const auto &it : refusals)
    CHECK(it == "");
  CHECK(ran.load() == 600);
  for (const auto &name : cluster.instanceNames()) {
    INFO(name);
    const auto peak =
        cluster.control(name, "SELECT standin('peak_connections')");
    CHECK(std::stoi(peak) <= plan.Groups[0].Connections);
  }
}
