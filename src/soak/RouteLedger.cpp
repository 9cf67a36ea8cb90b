// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "soak/RouteLedger.h"

#include <algorithm>

namespace stepledge::soak {

void RouteLedger::willSend(std::uint64_t version,
                           const std::set<std::string> &routes) {
  const std::lock_guard lock(Mutex);
  for (const auto &it : routes)
    Spans.try_emplace(it, Span{version, version}).first->second.Last = version;
}

void RouteLedger::acknowledged(Clock::time_point now, std::uint64_t version) {
  const std::lock_guard lock(Mutex);
  AcknowledgedAt.try_emplace(version, now);
}

std::optional<RouteLedger::Clock::time_point>
RouteLedger::overtakenAt(std::uint64_t version) const {
  std::optional<Clock::time_point> first;
  for (auto it = AcknowledgedAt.upper_bound(version);
       it != AcknowledgedAt.end(); ++it)
    first = std::min(first.value_or(it->second), it->second);
  return first;
}

std::optional<RouteLedger::Clock::time_point>
RouteLedger::droppedAt(const std::string &route) const {
  const std::lock_guard lock(Mutex);
  const auto it = Spans.find(route);
  return it == Spans.end() ? std::nullopt : overtakenAt(it->second.Last);
}

RouteLedger::Span RouteLedger::spanOf(const std::string &route) const {
  const std::lock_guard lock(Mutex);
  const auto it = Spans.find(route);
  return it == Spans.end() ? Span{} : it->second;
}

std::vector<std::string>
RouteLedger::droppedSince(Clock::time_point since) const {
  const std::lock_guard lock(Mutex);
  std::vector<std::string> names;
  for (const auto &[name, span] : Spans)
    if (const auto at = overtakenAt(span.Last); at && *at >= since)
      names.push_back(name);
  return names;
}

std::vector<std::string> RouteLedger::kept() const {
  const std::lock_guard lock(Mutex);
  std::vector<std::string> names;
  if (AcknowledgedAt.empty())
    return names;
  const auto newest = AcknowledgedAt.rbegin()->first;
  for (const auto &[name, span] : Spans)
    if (span.First <= newest && newest <= span.Last)
      names.push_back(name);
  return names;
}

} // namespace stepledge::soak
