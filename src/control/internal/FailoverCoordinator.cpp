// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "control/internal/FailoverCoordinator.h"

#include "control/ControlNode.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace stepledge::control {

using membership::InstanceRecord;
using membership::InstanceRole;
using membership::InstanceState;

namespace {

/// Replicas that answer later are ignored: two round trips and a queue.
constexpr Duration StatusTimeout = milliseconds(250);
/// Commits that a promotion rolled back come into force again if an instance
/// that still has them is promoted, while those of the later lead are gone. So
/// others are waited for, longer than an instance that crashed is away.
constexpr Duration GivenUpPatience = milliseconds(8000);
/// An attempt that isn't finished by then is aborted and started again.
constexpr Duration AttemptTimeout = milliseconds(3000);
/// For two questions to a slow replica.
constexpr Duration PauseTimeout = milliseconds(1200);

} // namespace

FailoverCoordinator::FailoverCoordinator(ControlNode &node, IPromoter &promoter,
                                         IInstanceProbe &probe,
                                         IControlLog &log)
    : Node(node), Promoter(promoter), Log(log),
      Questions(node.Directory, probe), Resumer(node.Directory, probe) {}

void FailoverCoordinator::reset(TimePoint now) {
  Attempts.clear();
  PromotionOrderedAt.clear();
  VacantSince.clear();
  LeavingSince.clear();
  HeldBackSince.clear();
  Demoted.clear();
  PlatformSilentAt.reset();
  Resumer.clearOrders();
  // NOTE: an earlier leader may have left replicas paused.
  for (const auto &it : services())
    if (Node.syncReplicasOf(it) > 0)
      Resumer.holdForOrder(now, it, std::nullopt);
}

std::vector<std::string> FailoverCoordinator::services() const {
  return Node.Directory.services();
}

void FailoverCoordinator::tick(TimePoint now) {
  for (const auto &service : services()) {
    const auto it = Attempts.find(service);
    if (it == Attempts.end()) {
      const auto lead = assessLead(factsOf(now, service));
      noteState(now, service, lead);
      if (isDue(now, service, lead))
        start(now, service, lead.State);
      continue;
    }
    const AttemptPtr attempt = it->second;
    if (now - attempt->StartedAt > AttemptTimeout) {
      Log.log(absl::StrCat("event=replacement_given_up service=", service,
                           " fence=", attempt->Fence));
      finishAttempt(now, service);
      continue;
    }
    proceed(now, service, attempt);
  }
  Resumer.tick(now, [&](const std::string &service) {
    return Attempts.contains(service);
  });
}

void FailoverCoordinator::proceed(TimePoint now, const std::string &service,
                                  const AttemptPtr &attempt) {
  const Duration waited = now - attempt->StageStartedAt;
  if (attempt->Stage == FailoverStage::Pausing)
    return proceedPausing(now, service, attempt);
  const bool isDone =
      attempt->AwaitedStatuses.empty() || waited > StatusTimeout;
  if (attempt->Stage != FailoverStage::QueryingStatus || !isDone)
    return;
  if (const auto *leader = confirmedLeader(now, service, *attempt))
    return confirm(now, service, attempt, *leader);
  leaveOutDemoted(service, *attempt);
  if (Node.syncReplicasOf(service) > 0)
    pauseReplicas(now, service, attempt);
  else
    orderPromotion(now, service, attempt);
}

void FailoverCoordinator::proceedPausing(TimePoint now,
                                         const std::string &service,
                                         const AttemptPtr &attempt) {
  Questions.pauseNext(attempt);
  const bool isDone =
      attempt->AwaitedStatuses.empty() && attempt->AwaitedPauses.empty();
  if (isDone && attempt->hasPrimary() && Questions.canDemote(*attempt))
    return demotePrimary(now, service, attempt);
  if (isDone && !attempt->hasPrimary())
    return orderPromotion(now, service, attempt);
  if (now - attempt->StageStartedAt > PauseTimeout)
    orderPromotion(now, service, attempt);
}

void FailoverCoordinator::demotePrimary(TimePoint now,
                                        const std::string &service,
                                        const AttemptPtr &attempt) {
  const InstanceRecord *primary = nullptr;
  for (const auto &[id, it] : attempt->Statuses)
    if (it.Role == InstanceRole::Primary)
      primary = Node.Directory.find(id);
  // NOTE: without enough answers writes would wait for a promotion that can't
  // come.
  const bool isCovered = coversCommits(
      holders(service), Node.syncReplicasOf(service),
      [&](const InstanceId &id) { return attempt->Statuses.contains(id); });
  if (!primary || !isCovered)
    return finishUnsure(now, service, *attempt);
  attempt->Stage = FailoverStage::Demoting;
  attempt->StageStartedAt = now;
  Log.log(absl::StrCat("event=primary_demoted service=", service, " instance=",
                       primary->Id.str(), " fence=", attempt->Fence));
  Demoted[service] = primary->Id;
  Questions.demote(attempt, *primary,
                   [this, service, weak = std::weak_ptr(attempt),
                    id = primary->Id](bool isFollowing) {
                     const auto asker = weak.lock();
                     if (!asker)
                       return;
                     if (!isFollowing) {
                       Demoted.erase(service);
                       return finishUnsure(Node.Now, service, *asker);
                     }
                     asker->noteDemoted(id);
                     asker->Stage = FailoverStage::Pausing;
                     asker->StageStartedAt = Node.Now;
                   });
}

void FailoverCoordinator::leaveOutDemoted(const std::string &service,
                                          Attempt &attempt) const {
  const auto demoted = Demoted.find(service);
  if (demoted == Demoted.end() || attempt.Statuses.size() < 2)
    return;
  const auto it = attempt.Statuses.find(demoted->second);
  if (it != attempt.Statuses.end() && it->second.Role == InstanceRole::Replica)
    attempt.Statuses.erase(it);
}

void FailoverCoordinator::start(TimePoint now, const std::string &service,
                                LeadState reason) {
  const auto attempt = std::make_shared<Attempt>();
  attempt->Reason = reason;
  attempt->StartedAt = now;
  attempt->StageStartedAt = now;
  Attempts[service] = attempt;
  Log.log(absl::StrCat("event=replacement_begins service=", service, " reason=",
                       std::string(nameIn(LeadStateNames, reason))));
  wire::Command command;
  command.mutable_take_fence()->set_service(service);
  command.mutable_take_fence()->set_holder(Node.Options.NodeName);
  Node.startCall(now, std::move(command), false, [](bool) {});
}

void FailoverCoordinator::fenceCommitted(TimePoint now,
                                         const wire::Command &command,
                                         std::uint64_t index) {
  const std::string &service = command.take_fence().service();
  const auto it = Attempts.find(service);
  if (it == Attempts.end() || it->second->Stage != FailoverStage::TakingFence ||
      command.proposer() != Node.Node.self().number())
    return;
  const AttemptPtr attempt = it->second;
  attempt->Fence = index;
  attempt->Stage = FailoverStage::QueryingStatus;
  attempt->StageStartedAt = now;
  Questions.askStatuses(service, attempt, Node.syncReplicasOf(service) > 0);
}

InstanceList FailoverCoordinator::holders(const std::string &service) const {
  const auto facts = factsOf(Node.Now, service);
  const auto *primary = assessLead(facts).Primary;
  // NOTE: one that was ordered to lead and doesn't say that it does may still
  // be a replica.
  const bool leads = primary && primary->Role == InstanceRole::Primary;
  auto instances = possibleHolders(facts.Instances, leads ? primary : nullptr);
  const auto demoted = Demoted.find(service);
  if (demoted != Demoted.end())
    std::erase_if(instances,
                  [&](const auto *it) { return it->Id == demoted->second; });
  return instances;
}

const InstanceRecord *
FailoverCoordinator::confirmedLeader(TimePoint now, const std::string &service,
                                     const Attempt &attempt) const {
  const auto leader = attempt.leader();
  const auto *record = leader ? Node.Directory.find(*leader) : nullptr;
  const bool canLead = record && record->State == InstanceState::Ready &&
                       !hasLostData(*record, factsOf(now, service));
  return canLead ? record : nullptr;
}

void FailoverCoordinator::confirm(TimePoint now, const std::string &service,
                                  const AttemptPtr &attempt,
                                  const InstanceRecord &leader) {
  // NOTE: entry VMs that don't use it may lack its record.
  Node.UnsentInstances.insert(leader.Id);
  Log.log(absl::StrCat("event=lead_confirmed service=", service, " instance=",
                       leader.Id.str(), " known=", isPromoted(leader)));
  if (isPromoted(leader))
    return finishAttempt(now, service);
  attempt->Target = leader.Id;
  attempt->TargetStartTimeMs = leader.StartTimeMs;
  recordPromotion(now, service, attempt);
}

bool FailoverCoordinator::allowPromotion(const std::string &service,
                                         const Attempt &attempt) const {
  if (attempt.isPlanned())
    return true;
  if (attempt.hasPrimary())
    return false;
  if (mayPromote(attempt.Reason))
    return true;
  // A promoted instance that says itself that it doesn't lead.
  const auto all = Node.Directory.ofService(service);
  return attempt.Reason == LeadState::Unconfirmed &&
         std::any_of(all.begin(), all.end(), [&](const auto *it) {
           return isPromoted(*it) && attempt.Statuses.contains(it->Id);
         });
}

void FailoverCoordinator::pauseReplicas(TimePoint now,
                                        const std::string &service,
                                        const AttemptPtr &attempt) {
  if (!allowPromotion(service, *attempt))
    return orderPromotion(now, service, attempt);
  const bool mayCover =
      coversCommits(holders(service), Node.syncReplicasOf(service),
                    [&](const InstanceId &id) {
                      return attempt->Statuses.contains(id) ||
                             attempt->AwaitedStatuses.contains(id);
                    });
  // NOTE: a primary that can't be demoted would acknowledge what a replica
  // receives that restarts, and so is paused no more.
  const bool mustBeDemoted =
      attempt->Reason == LeadState::Leaving && !attempt->hasPrimary() &&
      !Demoted.contains(service) && !Node.Detector.isLost(now, service);
  // NOTE: otherwise writes would wait behind pauses that are of no use.
  if (!mayCover || mustBeDemoted)
    return finishUnsure(now, service, *attempt);
  attempt->Stage = FailoverStage::Pausing;
  attempt->StageStartedAt = now;
  Questions.pauseNext(attempt);
}

void FailoverCoordinator::finishUnsure(TimePoint now,
                                       const std::string &service,
                                       const Attempt &attempt) {
  std::string unpaused;
  for (const auto *it : holders(service))
    if (!attempt.Pauses.contains(it->Id))
      absl::StrAppend(&unpaused, unpaused.empty() ? "" : ",", it->Id.str());
  Log.log(absl::StrCat(
      "event=replacement_unsure service=", service,
      " answers=", attempt.Statuses.size(), " paused=", attempt.Pauses.size(),
      " unpaused=", unpaused, " sync=", Node.syncReplicasOf(service)));
  finishAttempt(now, service);
}

std::optional<Mark>
FailoverCoordinator::startOfLead(const std::string &service) const {
  const auto it = Node.State.promotions().find(service);
  if (it == Node.State.promotions().end() || !it->second.has_led() ||
      it->second.start_position() == 0)
    return std::nullopt;
  return Mark{{it->second.start_term()}, {it->second.start_position()}};
}

bool FailoverCoordinator::holdsBack(TimePoint now, const std::string &service,
                                    const InstanceStatus &status) {
  const auto start = startOfLead(service);
  if (!start || !isGivenUp(status.Received, *start)) {
    HeldBackSince.erase(service);
    return false;
  }
  const auto since = HeldBackSince.try_emplace(service, now).first->second;
  return now - since < GivenUpPatience;
}

void FailoverCoordinator::orderPromotion(TimePoint now,
                                         const std::string &service,
                                         const AttemptPtr &attempt) {
  // NOTE: a primary that answers and isn't leaving needs no successor.
  if (!allowPromotion(service, *attempt)) {
    Log.log(absl::StrCat("event=replacement_unneeded service=", service,
                         " primary_answers=", attempt->hasPrimary()));
    return finishAttempt(now, service);
  }
  const int sync = Node.syncReplicasOf(service);
  const auto isPaused = [&](const InstanceId &id) {
    return attempt->Pauses.contains(id);
  };
  // NOTE: a primary that isn't demoted yet still lets commits be acknowledged.
  const bool isSafe =
      sync == 0 || (!attempt->hasPrimary() &&
                    coversCommits(holders(service), sync, isPaused));
  if (!isSafe)
    return finishUnsure(now, service, *attempt);
  const auto best =
      chooseReplica(*attempt, Node.Directory, startOfLead(service));
  if (!best) {
    Log.log(
        absl::StrCat("event=replacement_without_candidate service=", service));
    return finishAttempt(now, service);
  }
  const auto &[target, status] = *best;
  if (holdsBack(now, service, status)) {
    Log.log(absl::StrCat("event=replacement_held_back service=", service,
                         " instance=", target.str(),
                         " reason=\"its log was given up\""));
    return finishAttempt(now, service);
  }
  attempt->Stage = FailoverStage::Promoting;
  attempt->StageStartedAt = now;
  attempt->Target = target;
  attempt->TargetStartTimeMs = Node.startTimeOf(target);
  // NOTE: while a primary goes on, the target receives more before it leads.
  if (sync > 0 || !attempt->isPlanned())
    attempt->TargetReceived = status.Received;
  attempt->HasOpenOrder = true;
  PromotionOrderedAt[service] = now;
  Log.log(absl::StrCat("event=promotion_ordered service=", service,
                       " instance=", target.str(), " fence=", attempt->Fence,
                       " term=", status.Received.WrittenIn.Number,
                       " position=", status.Received.Position.Offset,
                       " answers=", attempt->Statuses.size(),
                       " paused=", attempt->Pauses.size()));
  Promoter.promote(
      {service, target, Node.Options.NodeName, attempt->Fence},
      [this, service, weak = std::weak_ptr(attempt)](PromotionResult result) {
        if (const auto asker = weak.lock())
          receivePromotionResult(service, asker, result);
      });
}

void FailoverCoordinator::receivePromotionResult(const std::string &service,
                                                 const AttemptPtr &attempt,
                                                 PromotionResult result) {
  Log.log(absl::StrCat("event=promotion_answered service=", service,
                       " instance=", attempt->Target->str(), " fence=",
                       attempt->Fence, " result=", static_cast<int>(result)));
  if (result == PromotionResult::NoAnswer)
    PlatformSilentAt = Node.Now;
  else
    PlatformSilentAt.reset();
  if (result != PromotionResult::Rejected)
    return recordPromotion(Node.Now, service, attempt);
  attempt->HasOpenOrder = false;
  PromotionOrderedAt.erase(service);
  finishAttempt(Node.Now, service);
}

void FailoverCoordinator::recordPromotion(TimePoint now,
                                          const std::string &service,
                                          const AttemptPtr &attempt) {
  // NOTE: an order without an answer may still be carried out, so entry VMs
  // receive it too; they rely on the role that the instance itself reports.
  wire::Command command;
  auto &promotion = *command.mutable_record_promotion();
  promotion.set_service(service);
  promotion.set_instance(attempt->Target->str());
  promotion.set_fence(attempt->Fence);
  promotion.set_born_ms(attempt->TargetStartTimeMs);
  promotion.set_start_term(attempt->TargetReceived.WrittenIn.Number);
  promotion.set_start_position(attempt->TargetReceived.Position.Offset);
  attempt->Stage = FailoverStage::Recording;
  Node.startCall(now, std::move(command), false,
                 [this, service, weak = std::weak_ptr(attempt)](bool) {
                   if (!weak.expired())
                     finishAttempt(Node.Now, service);
                 });
}

void FailoverCoordinator::instanceRestarted(TimePoint now,
                                            const InstanceRecord &instance) {
  const auto it = Attempts.find(instance.Service);
  if (it == Attempts.end())
    return;
  const AttemptPtr attempt = it->second;
  attempt->forget(instance.Id);
  if (attempt->Target != instance.Id)
    return;
  Log.log(absl::StrCat("event=promotion_void service=", instance.Service,
                       " instance=", instance.Id.str(), " fence=",
                       attempt->Fence, " reason=\"it has started again\""));
  // NOTE: not finishAttempt(), which starts the cooldown: no primary has been
  // replaced, and the next order, under a higher fence, must supersede this
  // one.
  endAttempt(now, instance.Service);
}

void FailoverCoordinator::finishAttempt(TimePoint now,
                                        const std::string &service) {
  Node.Detector.noteFailover(now, service);
  endAttempt(now, service);
}

void FailoverCoordinator::endAttempt(TimePoint now,
                                     const std::string &service) {
  const auto ended = Attempts.extract(service);
  FinishedAt[service] = now;
  // NOTE: resuming a replica that was promoted or never paused has no effect.
  if (ended.empty() || !ended.mapped()->HasPaused)
    return;
  if (ended.mapped()->HasOpenOrder)
    Resumer.holdForOrder(now, service, ended.mapped()->Target);
  else
    Resumer.resume(service);
}

} // namespace stepledge::control
