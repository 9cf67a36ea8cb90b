// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "entry/InstanceSources.h"

#include <algorithm>
#include <vector>

namespace stepledge::entry {

void InstanceSources::connected(TimePoint now, const std::string &ip) {
  FreshAt[ip] = now;
  // NOTE: what was asked on an earlier connection is forgotten there.
  Sources.erase(ip);
}

void InstanceSources::lost(const std::string &ip) {
  FreshAt.erase(ip);
  Sources.erase(ip);
}

void InstanceSources::heardFresh(TimePoint now, const std::string &ip) {
  if (const auto it = FreshAt.find(ip); it != FreshAt.end())
    it->second = now;
}

bool InstanceSources::isFresh(TimePoint now, const std::string &ip) const {
  const auto it = FreshAt.find(ip);
  return it != FreshAt.end() && now - it->second <= Options.StaleLimit;
}

SourceChange InstanceSources::review(TimePoint now) {
  SourceChange change;
  std::vector<std::string> stale;
  for (const auto &it : Sources)
    if (!isFresh(now, it))
      stale.push_back(it);
  for (const auto &[ip, at] : FreshAt) {
    const bool isFull = Sources.size() >= Options.Sources;
    if (isFull && stale.empty())
      break;
    if (Sources.contains(ip) || !isFresh(now, ip))
      continue;
    // NOTE: an older state is better than none, so a stale one goes only for a
    // fresh one.
    if (isFull && now - ReplacedAt < Options.ReplacePause)
      break;
    if (isFull) {
      ReplacedAt = now;
      Sources.erase(stale.back());
      change.Unwanted.insert(stale.back());
      stale.pop_back();
    }
    Sources.insert(ip);
    change.Wanted.insert(ip);
  }
  if (Sources.empty() && !FreshAt.empty()) {
    const auto newest = std::max_element(
        FreshAt.begin(), FreshAt.end(),
        [](const auto &a, const auto &b) { return a.second < b.second; });
    Sources.insert(newest->first);
    change.Wanted.insert(newest->first);
  }
  return change;
}

} // namespace stepledge::entry
