// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "bench/BenchModule.h"
#include "bench/HistoryChecker.h"
#include "bench/internal/BenchClock.h"
#include "bench/internal/CallerClient.h"
#include "bench/internal/Quantiles.h"

#include "absl/strings/str_cat.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <mutex>
#include <ostream>
#include <random>
#include <thread>

namespace stepledge::bench {

namespace {

constexpr double StartSeconds = 20;
constexpr int DeadlineMs = 8000;
constexpr int BrowseAgeMs = 5000;
constexpr int Callers = 9;
/// A session's requests before the next session begins.
constexpr int SessionLength = 40;

struct Tally {
  std::atomic<int> Reads{0};
  std::atomic<int> FromReplica{0};
  /// Reads that a policy of "primary after a write" would send to replicas.
  std::atomic<int> BaselineReplica{0};
  std::atomic<int> Stale{0};
  std::atomic<int> AgeViolations{0};
  std::atomic<int> Refused{0};
  std::mutex Lock;
  std::vector<double> Ms;
};

class Caller {
public:
  Caller(Cluster &cluster, int number, const ExperimentOptions &options,
         Tally &tally, const CounterHistory &counter)
      : Group(cluster), Number(number), Options(options), Sum(tally),
        Counter(counter),
        Chance(options.Seed * 1000 + 7 + static_cast<std::uint64_t>(number)) {}

  void run(const std::string &session) {
    CallerClient client(Group.callers(Number % 3));
    const int writeShare = Options.Traffic == Profile::Kiln ? 5 : 30;
    for (int n = 0; n < Options.Requests; ++n) {
      if (n % SessionLength == 0) {
        client.setSession(session);
        HasWritten = false;
      }
      // The balancer sends each request where it likes.
      if (n % 10 == 0)
        client.moveTo(Group.callers(static_cast<int>(Chance() % 3)));
      if (static_cast<int>(Chance() % 100) < writeShare)
        write(client);
      else if (Chance() % 2 == 0)
        readOwn(client);
      else
        readCounter(client);
    }
  }

private:
  void write(CallerClient &client) {
    const long value = Next++;
    const auto reply = client.write(
        "bookings", "INSERT OR REPLACE INTO mine VALUES ($1, $2)",
        {std::to_string(Number), std::to_string(value)}, "", DeadlineMs);
    HasWritten = true;
    if (reply.ran())
      Acknowledged = value;
  }

  void readOwn(CallerClient &client) {
    const auto reply = client.read(
        "bookings",
        absl::StrCat("SELECT value FROM mine WHERE who = '", Number, "'"), {},
        BrowseAgeMs, DeadlineMs);
    count(reply);
    const long floor = HasWritten ? Acknowledged : 0;
    if (reply.ran() && valueOf(reply) < floor)
      ++Sum.Stale;
  }

  void readCounter(CallerClient &client) {
    const double start = secondsNow();
    const auto reply = client.read("bookings", "SELECT value FROM counter", {},
                                   BrowseAgeMs, DeadlineMs);
    count(reply);
    if (!reply.ran())
      return;
    const double age = reply.Body.value("age_ms", 0.0) / 1000;
    if (age * 1000 > BrowseAgeMs ||
        Counter.isTooOld(valueOf(reply), start, age))
      ++Sum.AgeViolations;
  }

  static long valueOf(const CallerReply &reply) {
    const auto text = reply.cell();
    return text.empty() ? 0 : std::stol(text);
  }

  void count(const CallerReply &reply) {
    ++Sum.Reads;
    Sum.FromReplica += reply.ran() && reply.fromReplica() ? 1 : 0;
    Sum.BaselineReplica += HasWritten ? 0 : 1;
    Sum.Refused += reply.ran() ? 0 : 1;
    const std::lock_guard<std::mutex> guard(Sum.Lock);
    Sum.Ms.push_back(reply.Seconds * 1000);
  }

  Cluster &Group;
  int Number;
  const ExperimentOptions &Options;
  Tally &Sum;
  const CounterHistory &Counter;
  std::mt19937_64 Chance;
  long Next = 1;
  long Acknowledged = 0;
  bool HasWritten = false;
};

} // namespace

int runReads(const TrialPlaces &places, const ExperimentOptions &options,
             std::ostream &out) {
  ClusterPlan plan;
  plan.Groups[0].LagMs = {0, 5, 2000};
  Cluster cluster(plan, places);
  if (!cluster.waitReady(StartSeconds))
    return 1;
  CallerClient setUp(cluster.callers(0));
  for (const char *sql : {"CREATE TABLE mine (who TEXT PRIMARY KEY, value "
                          "TEXT)",
                          "CREATE TABLE counter (value TEXT)",
                          "INSERT INTO counter VALUES ('0')"})
    setUp.write("bookings", sql, {}, "", DeadlineMs);
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));

  CounterHistory counter;
  std::atomic<bool> stop{false};
  std::thread counting([&] {
    CallerClient client(cluster.callers(1));
    for (long n = 1; !stop; ++n) {
      const auto reply =
          client.write("bookings", "UPDATE counter SET value = $1",
                       {std::to_string(n)}, "", DeadlineMs);
      if (reply.ran())
        counter.acknowledged(n, reply.EndedAt);
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  });
  Tally tally;
  std::vector<std::thread> callers;
  callers.reserve(Callers);
  for (int n = 0; n < Callers; ++n)
    callers.emplace_back([&, n] {
      Caller(cluster, n, options, tally, counter).run(setUp.session());
    });
  for (auto &it : callers)
    it.join();
  stop = true;
  counting.join();

  const auto share = [&](int n) {
    return static_cast<double>(n) / std::max(1, tally.Reads.load());
  };
  const nlohmann::json line = {
      {"experiment", "reads"},
      {"profile", std::string(nameIn(ProfileNames, options.Traffic))},
      {"reads", tally.Reads.load()},
      {"replica_share", share(tally.FromReplica)},
      {"baseline_replica_share", share(tally.BaselineReplica)},
      {"stale_reads", tally.Stale.load()},
      {"age_violations", tally.AgeViolations.load()},
      {"refused", tally.Refused.load()},
      {"p50_ms", quantile(tally.Ms, 0.5)},
      {"p99_ms", quantile(tally.Ms, 0.99)}};
  out << "Replicas lag 5 ms and 2 s; browsing allows 5 s.\n"
      << line.dump() << std::endl;
  return tally.Stale + tally.AgeViolations == 0 ? 0 : 1;
}

} // namespace stepledge::bench
