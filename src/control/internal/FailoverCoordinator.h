// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Failover of primaries by the control group's leader: commit a fencing
/// token, query the positions of the replicas, promote the most advanced one,
/// and record the promotion.

#ifndef STEPLEDGE_CONTROL_INTERNAL_FAILOVERCOORDINATOR_H
#define STEPLEDGE_CONTROL_INTERNAL_FAILOVERCOORDINATOR_H

#include "control/IPromoter.h"
#include "control/generated/Control.pb.h"
#include "control/internal/FailoverAttempt.h"
#include "control/internal/ReplicaChoice.h"
#include "control/internal/ReplicaQuestions.h"
#include "control/internal/ReplicaResumer.h"

#include "base/types/Time.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace stepledge::control {

class ControlNode;
class IControlLog;

class FailoverCoordinator {
public:
  FailoverCoordinator(ControlNode &node, IPromoter &promoter,
                      IInstanceProbe &probe, IControlLog &log);

  void tick(TimePoint now);
  /// A TakeFence entry was committed at \p index; ignored unless this member
  /// proposed it and waits for it.
  void fenceCommitted(TimePoint now, const wire::Command &command,
                      std::uint64_t index);
  /// The instance has restarted without its data: its answers and an order to
  /// promote it are void.
  void instanceRestarted(TimePoint now,
                         const membership::InstanceRecord &instance);
  /// This member has gained or lost leadership.
  void reset(TimePoint now);

private:
  using Attempt = FailoverAttempt;
  using AttemptPtr = std::shared_ptr<FailoverAttempt>;

  std::vector<std::string> services() const;
  bool needsFailover(TimePoint now, const std::string &service,
                     bool &isPlanned) const;
  const membership::InstanceRecord *
  currentPrimary(TimePoint now, const std::string &service) const;
  /// Whether the recorded promotion names this incarnation of the instance.
  bool isPromoted(const membership::InstanceRecord &record) const;
  /// Whether \p primary reports to be the primary but has lost its data, while
  /// another instance of the service has not.
  bool hasLostData(const membership::InstanceRecord &primary) const;
  void start(TimePoint now, const std::string &service, bool isPlanned);
  /// Continues an attempt whose answers have come or are too late.
  void proceed(TimePoint now, const std::string &service,
               const AttemptPtr &attempt);
  /// If commits wait for replicas, none of these may receive more while one is
  /// chosen, or the chosen one could miss a commit that another one has let be
  /// acknowledged.
  void pauseReplicas(TimePoint now, const std::string &service,
                     const AttemptPtr &attempt);
  InstanceList holders(const std::string &service) const;
  void finishUnsure(TimePoint now, const std::string &service,
                    const Attempt &attempt);
  void orderPromotion(TimePoint now, const std::string &service,
                      const AttemptPtr &attempt);
  void receivePromotionResult(const std::string &service,
                              const AttemptPtr &attempt,
                              PromotionResult result);
  void recordPromotion(TimePoint now, const std::string &service,
                       const AttemptPtr &attempt);
  void finishAttempt(TimePoint now, const std::string &service);
  void endAttempt(TimePoint now, const std::string &service);

  ControlNode &Node;
  IPromoter &Promoter;
  IControlLog &Log;
  ReplicaQuestions Questions;
  ReplicaResumer Resumer;
  std::map<std::string, AttemptPtr> Attempts;
  /// When this leader last ordered a promotion of each service.
  std::map<std::string, TimePoint> PromotionOrderedAt;
  std::map<std::string, TimePoint> FinishedAt;
};

} // namespace stepledge::control

#endif // STEPLEDGE_CONTROL_INTERNAL_FAILOVERCOORDINATOR_H
