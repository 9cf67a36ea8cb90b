// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Failover of primaries by the control group's leader: commit a fencing
/// token, query the positions of the replicas, promote the most advanced one,
/// and record the promotion.

#ifndef STEPLEDGE_CONTROL_INTERNAL_FAILOVERCOORDINATOR_H
#define STEPLEDGE_CONTROL_INTERNAL_FAILOVERCOORDINATOR_H

#include "control/IPromoter.h"
#include "control/generated/Control.pb.h"

#include "base/types/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace stepledge::control {

class ControlNode;
class IControlLog;

class FailoverCoordinator {
public:
  FailoverCoordinator(ControlNode &node, IPromoter &promoter,
                      IInstanceProbe &probe, IControlLog &log)
      : Node(node), Promoter(promoter), Probe(probe), Log(log) {}

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
  void reset() {
    Attempts.clear();
    PromotionOrderedAt.clear();
  }

private:
  enum class Stage {
    TakingFence,
    QueryingStatus,
    Pausing,
    Promoting,
    Recording
  };

  struct Attempt {
    Stage CurrentStage = Stage::TakingFence;
    /// Distinguishes the answers to this attempt from late ones to an earlier
    /// one.
    std::uint64_t Number = 0;
    std::uint64_t Fence = 0;
    bool IsPlanned = false;
    TimePoint StartedAt{};
    TimePoint StageStartedAt{};
    int PendingAnswers = 0;
    std::map<InstanceId, InstanceStatus> Answers;
    /// The instance that was ordered to become primary.
    std::optional<InstanceId> Target;
    std::uint64_t TargetStartTimeMs = 0;
  };

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
  void queryReplicas(TimePoint now, const std::string &service,
                     Attempt &attempt);
  /// If commits wait for replicas, none of these may receive more while one is
  /// chosen, or the chosen one could miss a commit that another one has let be
  /// acknowledged.
  void pauseReplicas(TimePoint now, const std::string &service,
                     Attempt &attempt);
  void resumeReplicas(const std::string &service);
  bool hasEnoughAnswers(const std::string &service,
                        const Attempt &attempt) const;
  void receiveStatus(const std::string &service, std::uint64_t number,
                     const InstanceId &instance,
                     const std::optional<InstanceStatus> &status);
  void orderPromotion(TimePoint now, const std::string &service,
                      Attempt &attempt);
  void receivePromotionResult(const std::string &service, std::uint64_t number,
                              const InstanceId &instance,
                              PromotionResult result);
  void finishAttempt(TimePoint now, const std::string &service);
  void endAttempt(TimePoint now, const std::string &service);

  ControlNode &Node;
  IPromoter &Promoter;
  IInstanceProbe &Probe;
  IControlLog &Log;
  std::map<std::string, Attempt> Attempts;
  /// When this leader last ordered a promotion of each service.
  std::map<std::string, TimePoint> PromotionOrderedAt;
  std::map<std::string, TimePoint> FinishedAt;
  std::uint64_t LastAttemptNumber = 0;
};

} // namespace stepledge::control

#endif // STEPLEDGE_CONTROL_INTERNAL_FAILOVERCOORDINATOR_H
