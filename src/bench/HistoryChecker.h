// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Judges what callers were told against what the database holds in the
/// end. It shares no code with the product's decisions.

#ifndef STEPLEDGE_BENCH_HISTORYCHECKER_H
#define STEPLEDGE_BENCH_HISTORYCHECKER_H

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace stepledge::bench {

enum class Told { Ran, NotRun, Unknown };

struct Breaches {
  /// Told as run, but not there.
  int Lost = 0;
  /// There more than once.
  int Doubled = 0;
  /// Told as not run, but there.
  int Dishonest = 0;

  bool none() const { return Lost + Doubled + Dishonest == 0; }
};

/// Rows that callers wrote, each with a name of its own. Safe to be called
/// from several threads.
class WriteHistory {
public:
  void told(const std::string &row, Told outcome);
  Breaches check(const std::vector<std::string> &rowsInTheEnd) const;
  std::size_t size() const;

private:
  mutable std::mutex Lock;
  std::map<std::string, Told> Outcomes;
};

/// One row that is counted upwards, and what readers saw of it.
class CounterHistory {
public:
  /// The counter's \p value was acknowledged at \p time (seconds).
  void acknowledged(long value, double time);
  /// Whether \p value is too old for a read that began at \p startedAt and
  /// was told \p age seconds.
  bool isTooOld(long value, double startedAt, double age) const;

private:
  mutable std::mutex Lock;
  std::vector<std::pair<double, long>> Values;
};

} // namespace stepledge::bench

#endif // STEPLEDGE_BENCH_HISTORYCHECKER_H
