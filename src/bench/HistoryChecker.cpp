// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "bench/HistoryChecker.h"

namespace stepledge::bench {

void WriteHistory::told(const std::string &row, Told outcome) {
  const std::lock_guard<std::mutex> guard(Lock);
  Outcomes[row] = outcome;
}

Breaches
WriteHistory::check(const std::vector<std::string> &rowsInTheEnd) const {
  const std::lock_guard<std::mutex> guard(Lock);
  std::map<std::string, int> found;
  for (const auto &it : rowsInTheEnd)
    ++found[it];
  Breaches out;
  for (const auto &[row, outcome] : Outcomes) {
    const auto it = found.find(row);
    const int n = it == found.end() ? 0 : it->second;
    out.Lost += outcome == Told::Ran && n == 0 ? 1 : 0;
    out.Dishonest += outcome == Told::NotRun && n > 0 ? 1 : 0;
    out.Doubled += n > 1 ? 1 : 0;
  }
  return out;
}

std::size_t WriteHistory::size() const {
  const std::lock_guard<std::mutex> guard(Lock);
  return Outcomes.size();
}

void CounterHistory::acknowledged(long value, double time) {
  const std::lock_guard<std::mutex> guard(Lock);
  Values.emplace_back(time, value);
}

bool CounterHistory::isTooOld(long value, double startedAt, double age) const {
  const std::lock_guard<std::mutex> guard(Lock);
  for (auto it = Values.rbegin(); it != Values.rend(); ++it)
    if (it->first <= startedAt - age)
      return value < it->second;
  return false;
}

} // namespace stepledge::bench
