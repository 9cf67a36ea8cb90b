// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Which reads keep off an overloaded primary for the sake of statements
/// that no other instance can run.

#ifndef STEPLEDGE_PROXY_INTERNAL_LOADSHEDDER_H
#define STEPLEDGE_PROXY_INTERNAL_LOADSHEDDER_H

#include "base/types/Time.h"

#include <map>
#include <string>

namespace stepledge::proxy {

struct ShedOptions {
  /// Where the primary takes so many times its usual time to answer, it is
  /// overloaded: while all replicas lagged, 0.92 of the worth was served with
  /// shedding and 0.85 without (simulated days).
  double Above = 1.7;
  /// The same while statements wait for the service at this VM: then the longer
  /// time is no chance. At 1.3 without a queue, a quiet day lost 0.009.
  double AboveInQueue = 1.3;
  /// A primary counts as needed for so long after a statement that only it can
  /// run: some statement times.
  Duration NeededTime = milliseconds(1000);
  /// One read that would be shed goes through in each such time, so that none
  /// is starved while an overload lasts.
  Duration ProbeInterval = milliseconds(1000);
};

class LoadShedder {
public:
  explicit LoadShedder(ShedOptions options = {}) : Options(options) {}

  /// A statement came that only the primary of \p service can run.
  void notePrimaryNeeded(TimePoint now, const std::string &service);
  /// Whether a read that replicas could run too, if they were not behind, has
  /// to be shed. \p congestion is how many times as long as usual the primary
  /// takes; \p hasQueue says that others wait for it here. A read that is let
  /// through as a probe uses the probe up.
  bool sheds(TimePoint now, const std::string &service, double congestion,
             bool hasQueue);

private:
  struct State {
    TimePoint NeededAt{};
    TimePoint ProbedAt{};
  };

  ShedOptions Options;
  std::map<std::string, State> Services;
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_INTERNAL_LOADSHEDDER_H
