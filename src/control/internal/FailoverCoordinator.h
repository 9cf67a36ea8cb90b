// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Failover of primaries by the control group's leader: commit a fencing
/// token, ask the instances who leads and how far their logs go, record the
/// primary that answers, or promote the most advanced replica and record that.

#ifndef STEPLEDGE_CONTROL_INTERNAL_FAILOVERCOORDINATOR_H
#define STEPLEDGE_CONTROL_INTERNAL_FAILOVERCOORDINATOR_H

#include "control/IPromoter.h"
#include "control/generated/Control.pb.h"
#include "control/internal/FailoverAttempt.h"
#include "control/internal/ReplicaChoice.h"
#include "control/internal/ReplicaQuestions.h"
#include "control/internal/ReplicaResumer.h"
#include "control/internal/ServiceLead.h"

#include "base/types/Time.h"

#include <map>
#include <memory>
#include <optional>
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
  /// The instance counts as the primary of its service.
  bool isBelievedPrimary(TimePoint now,
                         const membership::InstanceRecord &instance) const;

private:
  using Attempt = FailoverAttempt;
  using AttemptPtr = std::shared_ptr<FailoverAttempt>;

  std::vector<std::string> services() const;
  LeadFacts factsOf(TimePoint now, const std::string &service) const;
  /// Whether an attempt is due for a service whose lead is so assessed.
  bool isDue(TimePoint now, const std::string &service,
             const ServiceLead &lead) const;
  /// Any instance besides \p primary could be promoted or lead.
  bool hasOthers(const std::string &service,
                 const membership::InstanceRecord *primary) const;
  /// Notes since when the service is vacant, or its primary leaves.
  void noteState(TimePoint now, const std::string &service,
                 const ServiceLead &lead);
  /// Whether the primary of a service whose commits wait for replicas can't be
  /// replaced without a loss now, or should serve on.
  bool mustWait(TimePoint now, const std::string &service,
                const ServiceLead &lead) const;
  bool isPlatformSilent(TimePoint now) const;
  bool isLeavingForLess(TimePoint now, const std::string &service) const;
  /// Whether the recorded promotion names this incarnation of the instance.
  bool isPromoted(const membership::InstanceRecord &record) const;
  void start(TimePoint now, const std::string &service, LeadState reason);
  /// Continues an attempt whose answers have come or are too late.
  void proceed(TimePoint now, const std::string &service,
               const AttemptPtr &attempt);
  void proceedPausing(TimePoint now, const std::string &service,
                      const AttemptPtr &attempt);
  /// Until the order is carried out the old primary would acknowledge what a
  /// replica receives, also one that restarts and so is paused no more.
  void demotePrimary(TimePoint now, const std::string &service,
                     const AttemptPtr &attempt);
  /// The demoted primary, whose log is the longest, is promoted again only if
  /// no other instance answers.
  void leaveOutDemoted(const std::string &service, Attempt &attempt) const;
  /// If commits wait for replicas, none of these may receive more while one is
  /// chosen, or the chosen one could miss a commit that another one has let be
  /// acknowledged.
  void pauseReplicas(TimePoint now, const std::string &service,
                     const AttemptPtr &attempt);
  InstanceList holders(const std::string &service) const;
  /// Where the newest lead that is known to have begun did; none if not known.
  std::optional<Mark> startOfLead(const std::string &service) const;
  /// Whether a replica on a log that was given up must wait for another one.
  bool holdsBack(TimePoint now, const std::string &service,
                 const InstanceStatus &status);
  /// The instance that leads by the answers, if nothing is against it.
  const membership::InstanceRecord *
  confirmedLeader(TimePoint now, const std::string &service,
                  const Attempt &attempt) const;
  /// Ends the attempt, since \p leader leads; records it unless it is.
  void confirm(TimePoint now, const std::string &service,
               const AttemptPtr &attempt,
               const membership::InstanceRecord &leader);
  /// Whether the answers allow to promote a replica.
  bool allowPromotion(const std::string &service, const Attempt &attempt) const;
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
  std::map<std::string, TimePoint> VacantSince;
  std::map<std::string, TimePoint> LeavingSince;
  /// Since the last order that was answered, one was not.
  std::optional<TimePoint> PlatformSilentAt;
  /// Since when only instances on logs that were given up have answered.
  std::map<std::string, TimePoint> HeldBackSince;
  /// The primary that this leader has demoted; until another one leads.
  std::map<std::string, InstanceId> Demoted;
};

} // namespace stepledge::control

#endif // STEPLEDGE_CONTROL_INTERNAL_FAILOVERCOORDINATOR_H
