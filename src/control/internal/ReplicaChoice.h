// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Decides whether the answers of the replicas suffice for a promotion,
/// and which replica is promoted.

#ifndef STEPLEDGE_CONTROL_INTERNAL_REPLICACHOICE_H
#define STEPLEDGE_CONTROL_INTERNAL_REPLICACHOICE_H

#include "control/internal/FailoverAttempt.h"
#include "membership/InstanceDirectory.h"

#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace stepledge::control {

using membership::InstanceList;

/// Returns those of \p instances, all of one service, that may hold a commit
/// which no other replica has: also one that leaves, is silent, or has ended
/// without a successor at its address. A primary's commits are also on a
/// replica.
InstanceList possibleHolders(const InstanceList &instances,
                             const membership::InstanceRecord *primary);

/// Whether each commit that waited for \p sync replicas is on one of \p holders
/// for which \p counts is true.
bool coversCommits(const InstanceList &holders, int sync,
                   const std::function<bool(const InstanceId &)> &counts);

/// Whether the log that ends at \p received goes beyond where a later lead
/// began, after \p start: its end was given up then.
bool isGivenUp(const Mark &received, const Mark &start);

/// Returns the replica to promote: the one that is ready and has the longest
/// log. If a leaving one has a longer log, it is chosen where there is no
/// primary to receive from, else none. Once replicas are paused, only answers
/// to pauses count. One whose log was given up where the newest lead began,
/// after \p start, is chosen only if there is no other.
std::optional<std::pair<InstanceId, InstanceStatus>>
chooseReplica(const FailoverAttempt &attempt,
              const membership::InstanceDirectory &directory,
              const std::optional<Mark> &start);

} // namespace stepledge::control

#endif // STEPLEDGE_CONTROL_INTERNAL_REPLICACHOICE_H
