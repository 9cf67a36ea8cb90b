// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Chooses the instance that answers a read.

#ifndef STEPLEDGE_ROUTING_READROUTER_H
#define STEPLEDGE_ROUTING_READROUTER_H

#include "routing/GroupView.h"
#include "routing/types/RouteDecision.h"

#include <map>
#include <random>

namespace stepledge::routing {

struct RouterSettings {
  /// An instance that has not answered for this long is not chosen.
  Duration Silence = milliseconds(600);
  /// Maximum age of a majority's confirmation of the primary, for reads of
  /// current data.
  Duration PrimaryConfirm = milliseconds(1000);
  /// How long a leaving primary still serves reads.
  Duration LeaveGrace = milliseconds(1500);
  /// How long a read may wait for a replica to catch up.
  Duration CatchUp = milliseconds(50);
};

using Loads = std::map<InstanceId, InstanceLoad>;
/// Passed in, so that a decision can be reproduced from its seed.
using Random = std::mt19937_64;

/// Whether the position returned with a read satisfies the read.
enum class Proof {
  Holds,
  Behind,
  HistoryLost,
  TooOld,
  NotPrimary,
};

class ReadRouter {
public:
  explicit ReadRouter(RouterSettings settings) : Config(settings) {}

  /// Prefers replicas, and waits up to CatchUp for one even if the primary
  /// could answer. Takes the cheaper of two random ones; ejected ones only if
  /// nothing else is eligible.
  RouteDecision choose(const ReadNeed &need, const GroupView &view,
                       const Loads &loads, TimePoint now, Random &random) const;

  /// Checks \p seen, which the instance returned with the read.
  Proof prove(const ReadNeed &need, const GroupView &view,
              const Observation &seen, TimePoint now) const;

private:
  struct Evaluation {
    Verdict InstanceVerdict;
    /// When an instance that is behind now is expected to have caught up.
    std::optional<TimePoint> CaughtUpAt;
  };

  Evaluation evaluate(const ReadNeed &need, const GroupView &view,
                      const InstanceId &instance, const InstanceState &state,
                      TimePoint now) const;
  Evaluation evaluateReplica(const ReadNeed &need, const GroupView &view,
                             const InstanceState &state, TimePoint now) const;
  Evaluation evaluatePrimary(const ReadNeed &need, const GroupView &view,
                             const InstanceState &state, TimePoint now) const;

  RouterSettings Config;
};

} // namespace stepledge::routing

#endif // STEPLEDGE_ROUTING_READROUTER_H
