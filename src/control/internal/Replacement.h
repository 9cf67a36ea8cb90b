// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Failover of primaries by the control group's leader: commit a fencing
/// token, query the positions of the replicas, promote the most advanced one,
/// and record the promotion.

#ifndef STEPLEDGE_CONTROL_INTERNAL_REPLACEMENT_H
#define STEPLEDGE_CONTROL_INTERNAL_REPLACEMENT_H

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

class Replacement {
public:
  Replacement(ControlNode &node, IPromoter &promoter, IInstanceProbe &probe,
              IControlLog &log)
      : Node(node), Promoter(promoter), Probe(probe), Log(log) {}

  void tick(TimePoint now);
  /// A TakeFence entry was committed at \p index.
  void fenceTaken(TimePoint now, const wire::Command &command,
                  std::uint64_t index);
  /// The instance has restarted without its data: its answers and an order to
  /// promote it are void.
  void instanceRestarted(TimePoint now,
                         const membership::InstanceRecord &instance);
  /// This member has lost or regained leadership.
  void reset() {
    Running.clear();
    OrderedAt.clear();
  }

private:
  enum class Stage { TakingFence, AskingStatus, Pausing, Ordering, Recording };

  struct Run {
    Stage Step = Stage::TakingFence;
    /// Distinguishes the answers to this attempt from late ones to an earlier
    /// one.
    std::uint64_t Number = 0;
    std::uint64_t Fence = 0;
    bool IsPlanned = false;
    TimePoint StartedAt{};
    TimePoint StepAt{};
    int AwaitedAnswers = 0;
    std::map<InstanceId, InstanceStatus> Answers;
    /// The instance that was ordered to become primary.
    std::optional<InstanceId> Target;
    std::uint64_t TargetBornMs = 0;
  };

  std::vector<std::string> services() const;
  bool needsReplacement(TimePoint now, const std::string &service,
                        bool &isPlanned) const;
  const membership::InstanceRecord *
  presentPrimary(TimePoint now, const std::string &service) const;
  /// Whether the recorded promotion names this incarnation of the instance.
  bool isNamed(const membership::InstanceRecord &record) const;
  /// Whether \p primary reports to be the primary but has lost its data, while
  /// another instance of the service has not.
  bool hasLostItsLead(const membership::InstanceRecord &primary) const;
  void start(TimePoint now, const std::string &service, bool isPlanned);
  void askReplicas(TimePoint now, const std::string &service, Run &run);
  /// If commits wait for replicas, none of these may receive more while one is
  /// chosen, or the chosen one could miss a commit that another one has let be
  /// acknowledged.
  void pauseReplicas(TimePoint now, const std::string &service, Run &run);
  void resumeReplicas(const std::string &service);
  bool hasEnoughAnswers(const std::string &service, const Run &run) const;
  void take(const std::string &service, std::uint64_t number,
            const InstanceId &instance,
            const std::optional<InstanceStatus> &status);
  void order(TimePoint now, const std::string &service, Run &run);
  void ordered(const std::string &service, std::uint64_t number,
               const InstanceId &instance, PromotionResult result);
  void finish(TimePoint now, const std::string &service);
  void end(TimePoint now, const std::string &service);

  ControlNode &Node;
  IPromoter &Promoter;
  IInstanceProbe &Probe;
  IControlLog &Log;
  std::map<std::string, Run> Running;
  /// When this leader last ordered a promotion of each service.
  std::map<std::string, TimePoint> OrderedAt;
  std::map<std::string, TimePoint> FinishedAt;
  std::uint64_t LastNumber = 0;
};

} // namespace stepledge::control

#endif // STEPLEDGE_CONTROL_INTERNAL_REPLACEMENT_H
