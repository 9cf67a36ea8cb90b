// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "bench/BenchModule.h"
#include "bench/HistoryChecker.h"
#include "bench/internal/BenchClock.h"
#include "bench/internal/CallerClient.h"
#include "bench/internal/Quantiles.h"

#include "absl/strings/str_cat.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <ostream>
#include <thread>

namespace stepledge::bench {

namespace {

constexpr double StartSeconds = 20;
constexpr int DeadlineMs = 8000;
constexpr std::chrono::milliseconds Check{5};
constexpr std::chrono::milliseconds Calm{600};
/// A loss after which no write came back for so long counts as this much.
constexpr double LongestGap = 20;

enum class Loss { Killed, Cut, Frozen };
constexpr auto LossNames = std::to_array<NameEntry<Loss>>({
    {Loss::Killed, "killed"},
    {Loss::Cut, "cut off in silence"},
    {Loss::Frozen, "frozen"},
});

/// Writers that never stop, one at each VM, and when they were answered.
class Writers {
public:
  Writers(Cluster &cluster, int vms, std::uint64_t seed)
      : Group(cluster), Prefix(absl::StrCat("r", seed, "-")) {
    for (int vm = 0; vm < vms; ++vm)
      Threads.emplace_back([this, vm] { run(vm); });
  }
  ~Writers() { stop(); }
  Writers(const Writers &) = delete;
  Writers &operator=(const Writers &) = delete;

  void stop() {
    Stopping = true;
    for (auto &it : Threads)
      if (it.joinable())
        it.join();
  }

  /// The time of the first acknowledgement after \p time; 0 for none yet.
  double firstAfter(double time) const {
    const std::lock_guard<std::mutex> guard(Lock);
    for (const auto &it : Acknowledged)
      if (it.second > time)
        return it.first;
    return 0;
  }

  const WriteHistory &history() const { return History; }

private:
  void run(int vm) {
    CallerClient client(Group.callers(vm));
    for (int n = 0; !Stopping; ++n) {
      const auto row = absl::StrCat(Prefix, vm, "-", n);
      const double start = secondsNow();
      const auto reply =
          client.write("bookings", "INSERT INTO booking VALUES ($1, 'x')",
                       {row}, row, DeadlineMs);
      History.told(row, reply.ran()      ? Told::Ran
                        : reply.notRun() ? Told::NotRun
                                         : Told::Unknown);
      if (!reply.ran())
        continue;
      const std::lock_guard<std::mutex> guard(Lock);
      Acknowledged.emplace_back(reply.EndedAt, start);
    }
  }

  Cluster &Group;
  std::string Prefix;
  std::atomic<bool> Stopping{false};
  std::vector<std::thread> Threads;
  mutable std::mutex Lock;
  /// When each was answered and when it was begun.
  std::vector<std::pair<double, double>> Acknowledged;
  WriteHistory History;
};

std::string primaryOf(Cluster &cluster, const std::string &without) {
  for (const auto &name : cluster.instanceNames())
    if (name != without &&
        cluster.control(name, "SELECT standin('role')") == "primary")
      return name;
  return {};
}

void lose(Cluster &cluster, const std::string &instance, Loss loss) {
  if (loss == Loss::Killed)
    cluster.instance(instance).kill();
  else if (loss == Loss::Cut)
    cluster.fault(instance, "cut", 1);
  else
    cluster.instance(instance).freeze();
}

void bringBack(Cluster &cluster, const std::string &instance, Loss loss) {
  if (loss == Loss::Killed)
    cluster.startInstance(instance);
  else if (loss == Loss::Cut)
    cluster.fault(instance, "cut", 0);
  else
    cluster.instance(instance).thaw();
}

/// Waits until all instances follow one primary again.
bool waitWhole(Cluster &cluster) {
  const double end = secondsNow() + LongestGap;
  while (secondsNow() < end) {
    int replicas = 0;
    std::string terms;
    bool same = true;
    for (const auto &name : cluster.instanceNames()) {
      const auto role = cluster.control(name, "SELECT standin('role')");
      const auto term = cluster.control(name, "SELECT standin('log_term')");
      replicas += role == "replica" ? 1 : 0;
      same = same && (terms.empty() || terms == term);
      terms = term;
    }
    if (replicas == 2 && same)
      return true;
    std::this_thread::sleep_for(Check);
  }
  return false;
}

struct LossRun {
  std::vector<double> GapsMs;
  Breaches Found;
  std::size_t Writes = 0;
  int NotWhole = 0;
};

/// Loses the primary \p losses times, in turn in each way.
LossRun run(const TrialPlaces &places, int losses, std::uint64_t seed,
            const std::string &extra, std::ostream &out) {
  ClusterPlan plan;
  plan.ExtraSettings = extra;
  Cluster cluster(plan, places);
  LossRun result;
  if (!cluster.waitReady(StartSeconds))
    return result;
  CallerClient setUp(cluster.callers(0));
  setUp.write("bookings", "CREATE TABLE booking (slot TEXT, who TEXT)", {}, "",
              DeadlineMs);
  Writers writers(cluster, plan.Vms, seed);
  for (int n = 0; n < losses; ++n) {
    std::this_thread::sleep_for(Calm);
    const auto loss = static_cast<Loss>(n % 3);
    const auto primary = primaryOf(cluster, "");
    const double lostAt = secondsNow();
    lose(cluster, primary, loss);
    double back = 0;
    while (back == 0 && secondsNow() - lostAt < LongestGap) {
      std::this_thread::sleep_for(Check);
      back = writers.firstAfter(lostAt);
    }
    const double gap = back == 0 ? LongestGap : back - lostAt;
    result.GapsMs.push_back(gap * 1000);
    out << "  " << primary << " " << nameIn(LossNames, loss) << ": "
        << static_cast<int>(gap * 1000) << " ms" << std::endl;
    bringBack(cluster, primary, loss);
    result.NotWhole += waitWhole(cluster) ? 0 : 1;
  }
  writers.stop();
  CallerReply rows;
  for (int n = 0; n < 50 && !rows.ran(); ++n)
    rows = setUp.read("bookings", "SELECT slot FROM booking", {}, 0, 2000);
  std::vector<std::string> found;
  if (rows.ran())
    for (const auto &row : rows.Body["rows"])
      found.push_back(row[0].get<std::string>());
  result.Found = writers.history().check(found);
  result.Writes = writers.history().size();
  return result;
}

} // namespace

int runFailover(const TrialPlaces &places, const ExperimentOptions &options,
                std::ostream &out) {
  const std::string limits = "[limits]\nresult_rows = 1000000\nresult_bytes "
                             "= 100000000\n";
  out << "The primary is lost while it is written to:" << std::endl;
  const auto found = run(places, options.Losses, options.Seed,
                         limits + "[failover]\nrest_ms = 500\n", out);
  out << "The same with a fixed timeout of 3 s:" << std::endl;
  const auto baseline =
      run(places, options.BaselineLosses, options.Seed + 1,
          limits + "[failover]\nrest_ms = 500\nsuspect_ms = 3000\n", out);
  const nlohmann::json line = {
      {"experiment", "failover"},
      {"losses", found.GapsMs.size()},
      {"writes", found.Writes},
      {"gap_ms_p50", quantile(found.GapsMs, 0.5)},
      {"gap_ms_p99", quantile(found.GapsMs, 0.99)},
      {"lost", found.Found.Lost},
      {"doubled", found.Found.Doubled},
      {"dishonest", found.Found.Dishonest},
      {"not_whole_again", found.NotWhole},
      {"baseline_gap_ms_p50", quantile(baseline.GapsMs, 0.5)}};
  out << line.dump() << std::endl;
  return found.Found.none() && !found.GapsMs.empty() ? 0 : 1;
}

} // namespace stepledge::bench
