// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The replacement of primaries, by the control group's leader: take a
/// fence, ask the replicas how far they are, name the furthest one, and record
/// it.

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
  /// An entry that takes a fence was committed at \p index.
  void fenceTaken(TimePoint now, const wire::Command &command,
                  std::uint64_t index);
  /// The instance holds nothing of before: neither what it answered nor an
  /// order that names it holds.
  void instanceRestarted(TimePoint now,
                         const membership::InstanceRecord &instance);
  /// This member leads no longer, or anew.
  void reset() {
    Running.clear();
    OrderedAt.clear();
  }

private:
  enum class Stage { TakingFence, AskingStatus, Pausing, Ordering, Recording };

  struct Run {
    Stage Step = Stage::TakingFence;
    /// Tells the answers to this run from late ones to an earlier run.
    std::uint64_t Number = 0;
    std::uint64_t Fence = 0;
    bool IsPlanned = false;
    TimePoint StartedAt{};
    TimePoint StepAt{};
    int AwaitedAnswers = 0;
    std::map<InstanceId, InstanceStatus> Answers;
    /// The one that was ordered to lead.
    std::optional<InstanceId> Target;
    std::uint64_t TargetBornMs = 0;
  };

  std::vector<std::string> services() const;
  bool needsReplacement(TimePoint now, const std::string &service,
                        bool &isPlanned) const;
  const membership::InstanceRecord *
  presentPrimary(TimePoint now, const std::string &service) const;
  /// Control has named this life of the instance.
  bool isNamed(const membership::InstanceRecord &record) const;
  /// It calls itself primary but has lost its data, and another instance of the
  /// service has not.
  bool hasLostItsLead(const membership::InstanceRecord &primary) const;
  void start(TimePoint now, const std::string &service, bool isPlanned);
  void askReplicas(TimePoint now, const std::string &service, Run &run);
  /// Where commits wait for replicas, none of these may receive more while one
  /// is chosen, or it could miss what another one has let be acknowledged.
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
