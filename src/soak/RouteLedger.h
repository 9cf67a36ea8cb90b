// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Which of a soak's routes come and go with which version of the
/// configuration, and since when one is gone for good. From any thread.

#ifndef STEPLEDGE_SOAK_ROUTELEDGER_H
#define STEPLEDGE_SOAK_ROUTELEDGER_H

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace stepledge::soak {

class RouteLedger {
public:
  using Clock = std::chrono::steady_clock;

  /// The versions that have a route: a name is never used again.
  struct Span {
    std::uint64_t First = 0;
    std::uint64_t Last = 0;
  };

  /// \p version, which has \p routes and no others, may be in force from now
  /// on.
  void willSend(std::uint64_t version, const std::set<std::string> &routes);
  void acknowledged(Clock::time_point now, std::uint64_t version);

  /// Since when a version that is newer than all that have \p route is
  /// acknowledged.
  std::optional<Clock::time_point> droppedAt(const std::string &route) const;
  Span spanOf(const std::string &route) const;
  /// Routes that were dropped at \p since or later.
  std::vector<std::string> droppedSince(Clock::time_point since) const;
  /// The routes of the newest acknowledged version.
  std::vector<std::string> kept() const;

private:
  std::optional<Clock::time_point> overtakenAt(std::uint64_t version) const;

  mutable std::mutex Mutex;
  std::map<std::string, Span> Spans;
  std::map<std::uint64_t, Clock::time_point> AcknowledgedAt;
};

} // namespace stepledge::soak

#endif // STEPLEDGE_SOAK_ROUTELEDGER_H
