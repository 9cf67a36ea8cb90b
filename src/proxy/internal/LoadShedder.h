// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Decides which reads an overloaded primary sheds in favour of
/// statements that no other instance can run.

#ifndef STEPLEDGE_PROXY_INTERNAL_LOADSHEDDER_H
#define STEPLEDGE_PROXY_INTERNAL_LOADSHEDDER_H

#include "base/types/Time.h"

#include <map>
#include <string>

namespace stepledge::proxy {

struct LoadShedderOptions {
  /// The primary is overloaded if its answer time is at least this multiple of
  /// the usual one. While all replicas lag, more work is served with shedding
  /// than without.
  double CongestionThreshold = 1.7;
  /// The same while statements wait for the service at this VM, so that the
  /// longer time is no random variation. Without a queue, 1.3 sheds too much in
  /// times of low load.
  double QueuedCongestionThreshold = 1.3;
  /// How long a primary counts as needed after a statement that only it can
  /// run; several statement times.
  Duration PrimaryNeededTime = milliseconds(1000);
  /// One read that would be shed is let through per interval, so that reads
  /// aren't starved while an overload lasts.
  Duration ProbeInterval = milliseconds(1000);
};

class LoadShedder {
public:
  explicit LoadShedder(LoadShedderOptions options = {}) : Options(options) {}

  /// A statement arrived that only the primary of \p service can run.
  void notePrimaryNeeded(TimePoint now, const std::string &service);
  /// Whether to shed a read that replicas could also run if they were not
  /// behind. \p congestion is the primary's answer time relative to the usual
  /// one; \p hasQueue is set if other statements wait for the service at this
  /// VM. A read that is let through as a probe uses up the interval's probe.
  bool shouldShed(TimePoint now, const std::string &service, double congestion,
                  bool hasQueue);

private:
  struct State {
    TimePoint NeededAt{};
    TimePoint ProbedAt{};
  };

  LoadShedderOptions Options;
  std::map<std::string, State> Services;
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_INTERNAL_LOADSHEDDER_H
