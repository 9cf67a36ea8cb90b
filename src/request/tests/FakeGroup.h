// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A simulated group of three instances with logs, and the connections to
/// them, driven by one queue of seeded events. It is only as complete as the
/// tests need to break guarantees, and shares no decisions with the product.

#ifndef STEPLEDGE_REQUEST_TESTS_FAKEGROUP_H
#define STEPLEDGE_REQUEST_TESTS_FAKEGROUP_H

#include "base/types/Ids.h"
#include "base/types/Time.h"
#include "settings/types/Settings.h"
#include "upstream/types/Batch.h"

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace stepledge::request {

/// One log entry: a write "PUT NAME VALUE", or the beginning of a term.
struct FakeEntry {
  std::uint64_t InTerm = 0;
  std::string Name;
  std::int64_t Value = 0;
  /// Idempotency key and the ledger's columns for it.
  std::string Key;
  std::string Digest;
  std::string Result;
};

struct FakeInstance {
  std::string Role = "replica";
  std::uint64_t Promised = 1;
  std::vector<FakeEntry> Log;
  std::size_t Applied = 0;
  /// Index of the instance that it replicates, or -1.
  int ReplicatesFrom = 0;
  /// Unreachable for the other instances.
  bool IsPartitioned = false;
  /// Unreachable for callers too.
  bool IsIsolated = false;
  Duration Lag{0};

  std::uint64_t logTerm() const { return Log.empty() ? 0 : Log.back().InTerm; }
};

class FakeGroup {
public:
  using Done = std::function<void(const upstream::BatchResult &result)>;
  using Lost = std::function<void()>;

  FakeGroup(std::uint64_t seed, const settings::DialectSettings &dialect);

  /// \name The queue of events
  /// @{
  TimePoint now() const { return Now; }
  void after(Duration delay, std::function<void()> action);
  void runUntil(TimePoint end);
  bool chance(int percent);
  Duration upTo(std::int64_t microseconds);
  /// @}

  /// Runs \p batch after a delay and answers after another. The answer may be
  /// duplicated, and the connection may be lost before or after the run. Each
  /// \p connection has one open transaction at most.
  void run(std::uint64_t connection, int instance, const upstream::Batch &batch,
           const Done &done, const Lost &lost);
  /// Drops the connection and rolls back its open transaction.
  void dropConnection(std::uint64_t connection);

  /// Fences a majority at the next term and promotes the fenced instance with
  /// the most advanced log.
  void replacePrimary();
  /// Makes \p instance unreachable for callers and for the other instances;
  /// batches sent to it are never answered.
  void isolate(int instance);
  /// Ends partitions and lags.
  void reconnect();
  /// Does the same, and lets each instance follow the newest primary.
  void heal();
  int newestPrimary() const;
  const FakeInstance &instance(int n) const { return Instances[Index(n)]; }
  FakeInstance &instance(int n) { return Instances[Index(n)]; }
  int FaultPercent = 0;

private:
  using Index = std::size_t;

  struct Event {
    TimePoint At;
    std::uint64_t Order;
    std::function<void()> Action;
    bool operator>(const Event &other) const {
      return std::pair(At, Order) > std::pair(other.At, other.Order);
    }
  };

  struct OpenTransaction {
    int Instance = 0;
    bool IsOpen = false;
    bool HasFailed = false;
    std::vector<FakeEntry> Writes;
  };

  upstream::BatchResult execute(std::uint64_t connection, int instance,
                                const upstream::Batch &batch);
  upstream::StepResult executeStep(OpenTransaction &transaction,
                                   FakeInstance &it,
                                   const upstream::Step &step);
  upstream::StepResult commit(OpenTransaction &transaction, FakeInstance &it);
  upstream::StepResult insertKey(OpenTransaction &transaction,
                                 const FakeInstance &it,
                                 const upstream::Step &step);
  bool waitsForKey(std::uint64_t connection, int instance,
                   const upstream::Batch &batch) const;
  upstream::StepResult control(FakeInstance &it, const upstream::Step &step);
  upstream::StepResult observe(const FakeInstance &it) const;
  void replicate();
  void copyFrom(const FakeInstance &primary, FakeInstance &replica);

  settings::DialectSettings Dialect;
  std::mt19937_64 Random;
  TimePoint Now;
  std::uint64_t LastOrder = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  std::vector<FakeInstance> Instances;
  std::map<std::uint64_t, OpenTransaction> Transactions;
};

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_TESTS_FAKEGROUP_H
