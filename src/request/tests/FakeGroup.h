// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Three instances with logs, and the connections to them, in one queue
/// of seeded events. Just enough of a database group to break promises with:
/// it is no part of the product and shares none of its decisions.

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

/// One write: "PUT NAME VALUE", or the beginning of a term.
struct FakeEntry {
  std::uint64_t InTerm = 0;
  std::string Name;
  std::int64_t Value = 0;
  /// Idempotency key, and what the ledger holds under it.
  std::string Key;
  std::string Digest;
  std::string Result;
};

struct FakeInstance {
  std::string Role = "replica";
  std::uint64_t Promised = 1;
  std::vector<FakeEntry> Log;
  std::size_t Applied = 0;
  /// Which one it copies, or -1.
  int Following = 0;
  /// Hears and tells nothing to the other instances.
  bool CutFromGroup = false;
  /// Hears nothing from callers either.
  bool Isolated = false;
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

  /// Runs \p batch after a delay and answers after another. The answer may
  /// come twice, and the connection may be lost on either way. One open
  /// transaction per \p connection.
  void run(std::uint64_t connection, int instance, const upstream::Batch &batch,
           const Done &done, const Lost &lost);
  /// The connection is gone: its open transaction is rolled back.
  void forget(std::uint64_t connection);

  /// Fences a majority at the next term and promotes the furthest of it.
  void replacePrimary();
  /// Neither callers nor the other instances reach it; what was sent to it is
  /// never answered.
  void isolate(int instance);
  /// Ends cuts and lags.
  void reconnect();
  /// The same, and lets every instance follow the newest primary.
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
    bool Open = false;
    bool Failed = false;
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
  std::uint64_t Orders = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  std::vector<FakeInstance> Instances;
  std::map<std::uint64_t, OpenTransaction> Transactions;
};

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_TESTS_FAKEGROUP_H
