// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Judges the ends of clients' connections: a VM that is alive doesn't
/// end one whose client waits for an answer. From any thread.

#ifndef STEPLEDGE_SOAK_ENDJUDGE_H
#define STEPLEDGE_SOAK_ENDJUDGE_H

#include "soak/HarmBook.h"

#include <atomic>
#include <chrono>
#include <optional>
#include <string>

namespace stepledge::soak {

/// A connection that ended before the answer to its statement came.
struct UnansweredEnd {
  std::string Vm;
  std::string Client;
  std::string Statement;
  std::chrono::steady_clock::time_point SentAt;
  std::chrono::steady_clock::time_point EndedAt;
};

class EndJudge {
public:
  using Clock = std::chrono::steady_clock;

  /// Times are told since \p start.
  explicit EndJudge(Clock::time_point start) : Start(start) {}

  /// Until \p until something else than \p vm may end its connections, or the
  /// VM itself isn't alive.
  void disturbed(const std::string &vm, Clock::time_point until);
  /// Gives the fault, if it is one.
  std::optional<std::string> ended(const UnansweredEnd &end);
  /// How many ends it was told of.
  int seen() const { return Seen; }
  int found() const { return Found; }

private:
  Clock::time_point Start;
  HarmBook Excuses;
  std::atomic<int> Seen{0};
  std::atomic<int> Found{0};
};

} // namespace stepledge::soak

#endif // STEPLEDGE_SOAK_ENDJUDGE_H
