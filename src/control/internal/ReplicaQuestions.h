// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Asks the instances of a service for their status, pauses the replicas,
/// and notes the answers in the attempt that asked.

#ifndef STEPLEDGE_CONTROL_INTERNAL_REPLICAQUESTIONS_H
#define STEPLEDGE_CONTROL_INTERNAL_REPLICAQUESTIONS_H

#include "control/internal/FailoverAttempt.h"
#include "membership/InstanceDirectory.h"

#include <functional>
#include <memory>
#include <string>

namespace stepledge::control {

class ReplicaQuestions {
public:
  using AttemptPtr = std::shared_ptr<FailoverAttempt>;

  ReplicaQuestions(const membership::InstanceDirectory &directory,
                   IInstanceProbe &probe)
      : Directory(directory), Probe(probe) {}

  /// Asks the ready instances, and the leaving ones if \p asksLeaving.
  void askStatuses(const std::string &service, const AttemptPtr &attempt,
                   bool asksLeaving);
  /// Pauses the replicas whose turn it is, and asks the others for their status
  /// again. While a primary answers, only leaving ones are paused: a ready one
  /// then receives what they have before the primary is demoted, and can be
  /// promoted.
  void pauseNext(const AttemptPtr &attempt);
  /// Whether nothing but the primary keeps the ready replicas from being
  /// paused.
  bool canDemote(const FailoverAttempt &attempt) const;
  /// Demotes \p primary; \p onDone is told whether it follows now.
  void demote(const AttemptPtr &attempt,
              const membership::InstanceRecord &primary,
              std::function<void(bool)> onDone);

private:
  bool isLeaving(const InstanceId &id) const;
  /// Whether a leaving replica has what this ready one has not received yet.
  bool mustCatchUp(const FailoverAttempt &attempt, const InstanceId &id) const;
  /// A term above all that the attempt knows of.
  static Term nextTerm(FailoverAttempt &attempt);
  void askStatus(const AttemptPtr &attempt,
                 const membership::InstanceRecord &instance);
  void pause(const AttemptPtr &attempt,
             const membership::InstanceRecord &instance);
  /// Removes the instance from \p awaited; true if the answer is to this
  /// question, by the incarnation that was asked.
  bool isAwaited(std::map<InstanceId, std::uint64_t> &awaited,
                 const InstanceId &id) const;

  const membership::InstanceDirectory &Directory;
  IInstanceProbe &Probe;
};

} // namespace stepledge::control

#endif // STEPLEDGE_CONTROL_INTERNAL_REPLICAQUESTIONS_H
