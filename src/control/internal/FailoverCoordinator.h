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

#include <functional>
#include <map>
#include <optional>
#include <set>
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
  void reset(TimePoint now);

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
    /// By question, the instances that owe an answer, and the start time of
    /// the incarnation that was asked.
    std::map<InstanceId, std::uint64_t> AwaitedStatuses;
    std::map<InstanceId, std::uint64_t> AwaitedPauses;
    std::map<InstanceId, InstanceStatus> Statuses;
    std::map<InstanceId, PausedStatus> Pauses;
    /// Those to which PAUSE was sent.
    std::set<InstanceId> PauseAsked;
    /// The order to promote was given and not rejected.
    bool HasOpenOrder = false;
    /// The instance that was ordered to become primary.
    std::optional<InstanceId> Target;
    std::uint64_t TargetStartTimeMs = 0;
  };

  /// An order that may not have been carried out yet, of this leader or an
  /// earlier one. Until it is, the old primary still commits: a replica that
  /// was resumed would let a commit be acknowledged that the new one lacks.
  struct OpenOrder {
    /// Unknown for an earlier leader's order.
    std::optional<InstanceId> Target;
    TimePoint AskAt{};
    TimePoint Until{};
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
  /// Pauses those whose turn it is, and asks the others for their status again.
  /// Leaving ones go first: a ready one then receives what they have before it
  /// is paused, and can be promoted.
  void pauseNext(const std::string &service, Attempt &attempt);
  bool canPause(const Attempt &attempt, const InstanceId &id) const;
  bool isLeaving(const InstanceId &id) const;
  void pauseReplica(const std::string &service, Attempt &attempt,
                    const InstanceId &id);
  void askStatus(const std::string &service, Attempt &attempt,
                 const membership::InstanceRecord &instance);
  void resumeReplicas(const std::string &service);
  /// Resumes the replicas whose order has been carried out, or can't be any
  /// more.
  void closeOrders(TimePoint now);
  void confirmOrder(TimePoint now, const std::string &service,
                    OpenOrder &order);
  /// The instances that may hold a commit which no other replica has: also one
  /// that leaves, is silent, or has ended without a successor at its address.
  std::vector<const membership::InstanceRecord *>
  possibleHolders(const std::string &service) const;
  /// Whether each commit that waited for \p sync replicas is on one of those
  /// for which \p counts is true.
  bool
  coversCommits(const std::string &service, int sync,
                const std::function<bool(const InstanceId &)> &counts) const;
  void receiveStatus(const std::string &service, std::uint64_t number,
                     const InstanceId &instance,
                     const std::optional<InstanceStatus> &status);
  void receivePause(const std::string &service, std::uint64_t number,
                    const InstanceId &instance,
                    const std::optional<PausedStatus> &status);
  /// Returns the attempt \p number if it is still the current one.
  Attempt *findAttempt(const std::string &service, std::uint64_t number);
  static bool hasPrimary(const Attempt &attempt);
  /// Continues an attempt whose answers have come or are too late.
  void proceed(TimePoint now, const std::string &service, Attempt &attempt);
  void finishUnsure(TimePoint now, const std::string &service,
                    const Attempt &attempt);
  /// Returns the replica to promote: the one that is ready and has the longest
  /// log. If a leaving one has a longer log, it is chosen where there is no
  /// primary to receive from, else none.
  std::optional<std::pair<InstanceId, InstanceStatus>>
  chooseReplica(const Attempt &attempt) const;
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
  /// Requests to resume without an answer. No replica is paused meanwhile: a
  /// late one would end that pause.
  std::map<std::string, int> PendingResumes;
  std::map<std::string, OpenOrder> OpenOrders;
  std::uint64_t LastAttemptNumber = 0;
};

} // namespace stepledge::control

#endif // STEPLEDGE_CONTROL_INTERNAL_FAILOVERCOORDINATOR_H
