// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "control/internal/FailoverCoordinator.h"

#include "control/ControlNode.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <set>
#include <utility>

namespace stepledge::control {

using membership::InstanceRecord;
using membership::InstanceRole;
using membership::InstanceState;

namespace {

/// Replicas that answer later are ignored: two round trips and a queue.
constexpr Duration StatusTimeout = milliseconds(250);
/// A promoted instance reports its new role in its heartbeats by then.
constexpr Duration PromotionTimeout = milliseconds(2500);
/// The pause before the next attempt for a service: an instance that was full
/// may have a free slot by then.
constexpr Duration AttemptPause = milliseconds(150);
/// An attempt that isn't finished by then is aborted and started again.
constexpr Duration AttemptTimeout = milliseconds(3000);

} // namespace

std::vector<std::string> FailoverCoordinator::services() const {
  return Node.Directory.services();
}

bool FailoverCoordinator::needsFailover(TimePoint now,
                                        const std::string &service,
                                        bool &isPlanned) const {
  const InstanceRecord *primary = currentPrimary(now, service);
  if (!primary)
    return false;
  isPlanned = primary->State == InstanceState::Leaving || hasLostData(*primary);
  return isPlanned || Node.Detector.isLost(now, service, primary->Id);
}

bool FailoverCoordinator::isPromoted(const InstanceRecord &record) const {
  const auto it = Node.State.promotions().find(record.Service);
  return it != Node.State.promotions().end() &&
         it->second.instance() == record.Id.str() &&
         it->second.born_ms() == record.StartTimeMs;
}

bool FailoverCoordinator::hasLostData(const InstanceRecord &primary) const {
  if (!primary.HasRestarted || isPromoted(primary))
    return false;
  const auto all = Node.Directory.ofService(primary.Service);
  return std::any_of(all.begin(), all.end(), [](const auto *it) {
    return it->State == InstanceState::Ready && !it->HasRestarted;
  });
}

const InstanceRecord *
FailoverCoordinator::currentPrimary(TimePoint now,
                                    const std::string &service) const {
  const auto orderedAt = PromotionOrderedAt.find(service);
  const bool isRecent = orderedAt != PromotionOrderedAt.end() &&
                        now - orderedAt->second < PromotionTimeout;
  const InstanceRecord *primary = nullptr;
  for (const auto *it : Node.Directory.ofService(service)) {
    if (it->State == InstanceState::Gone)
      continue;
    // NOTE: an order without an answer may never be carried out; then the
    // instance still reports to be a replica, and doesn't count.
    if (isPromoted(*it) && (isRecent || it->Role == InstanceRole::Primary))
      return it;
    const bool isPrimary = it->Role == InstanceRole::Primary;
    // A primary that was replaced or has lost its data may still report to be
    // the primary.
    const auto rankOf = [](const InstanceRecord &record) {
      return std::pair(record.HasRestarted, record.State);
    };
    if (isPrimary && (!primary || rankOf(*it) < rankOf(*primary)))
      primary = it;
  }
  return primary;
}

void FailoverCoordinator::tick(TimePoint now) {
  for (const auto &service : services()) {
    const auto it = Attempts.find(service);
    if (it == Attempts.end()) {
      bool isPlanned = false;
      const auto finishedAt = FinishedAt.find(service);
      const bool isPaused = finishedAt != FinishedAt.end() &&
                            now - finishedAt->second < AttemptPause;
      if (!isPaused && needsFailover(now, service, isPlanned))
        start(now, service, isPlanned);
      continue;
    }
    auto &attempt = it->second;
    if (now - attempt.StartedAt > AttemptTimeout) {
      Log.log(absl::StrCat("event=replacement_given_up service=", service,
                           " fence=", attempt.Fence));
      finishAttempt(now, service);
      continue;
    }
    const bool isDone = attempt.PendingAnswers == 0 ||
                        now - attempt.StageStartedAt > StatusTimeout;
    const bool mustPause = attempt.CurrentStage == Stage::QueryingStatus &&
                           Node.syncReplicasOf(service) > 0;
    const bool isAsking = attempt.CurrentStage == Stage::QueryingStatus ||
                          attempt.CurrentStage == Stage::Pausing;
    if (isAsking && isDone && mustPause)
      pauseReplicas(now, service, attempt);
    else if (isAsking && isDone)
      orderPromotion(now, service, attempt);
  }
}

void FailoverCoordinator::start(TimePoint now, const std::string &service,
                                bool isPlanned) {
  auto &attempt = Attempts[service];
  attempt.Number = ++LastAttemptNumber;
  attempt.IsPlanned = isPlanned;
  attempt.StartedAt = now;
  attempt.StageStartedAt = now;
  Log.log(absl::StrCat("event=replacement_begins service=", service,
                       " planned=", isPlanned));
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
  if (it == Attempts.end() || it->second.CurrentStage != Stage::TakingFence ||
      command.proposer() != Node.Node.self().number())
    return;
  it->second.Fence = index;
  queryReplicas(now, service, it->second);
}

void FailoverCoordinator::queryReplicas(TimePoint now,
                                        const std::string &service,
                                        Attempt &attempt) {
  attempt.CurrentStage = Stage::QueryingStatus;
  attempt.StageStartedAt = now;
  const std::uint64_t number = attempt.Number;
  for (const auto *it : Node.Directory.ofService(service)) {
    if (it->State != InstanceState::Ready)
      continue;
    ++attempt.PendingAnswers;
    Probe.askStatus(*it, [this, service, number,
                          id = it->Id](std::optional<InstanceStatus> status) {
      receiveStatus(service, number, id, status);
    });
  }
}

void FailoverCoordinator::receiveStatus(
    const std::string &service, std::uint64_t number,
    const InstanceId &instance, const std::optional<InstanceStatus> &status) {
  const auto found = Attempts.find(service);
  if (found == Attempts.end() || found->second.Number != number)
    return;
  --found->second.PendingAnswers;
  if (status)
    found->second.Answers[instance] = *status;
}

void FailoverCoordinator::pauseReplicas(TimePoint now,
                                        const std::string &service,
                                        Attempt &attempt) {
  Term newest;
  for (const auto &[id, it] : attempt.Answers)
    newest = std::max({newest, it.Known, it.Received.WrittenIn});
  const Term next{newest.Number + 1};
  const auto answers = std::exchange(attempt.Answers, {});
  attempt.CurrentStage = Stage::Pausing;
  attempt.StageStartedAt = now;
  attempt.PendingAnswers = 0;
  const std::uint64_t number = attempt.Number;
  for (const auto &[id, status] : answers) {
    const auto *record = Node.Directory.find(id);
    const bool isPrimary = status.Role == InstanceRole::Primary;
    if (isPrimary)
      attempt.Answers[id] = status;
    if (!record || isPrimary)
      continue;
    ++attempt.PendingAnswers;
    Probe.pause(
        *record, next,
        [this, service, number, it = id](std::optional<InstanceStatus> paused) {
          receiveStatus(service, number, it, paused);
        });
  }
}

void FailoverCoordinator::resumeReplicas(const std::string &service) {
  for (const auto *it : Node.Directory.ofService(service))
    if (it->State == InstanceState::Ready && it->Role == InstanceRole::Replica)
      Probe.resume(*it);
}

bool FailoverCoordinator::hasEnoughAnswers(const std::string &service,
                                           const Attempt &attempt) const {
  const int sync = Node.syncReplicasOf(service);
  if (sync <= 0)
    return true;
  int replicas = 0;
  int answered = 0;
  const auto *primary = currentPrimary(Node.Now, service);
  for (const auto *it : Node.Directory.ofService(service)) {
    if (it == primary || it->State == InstanceState::Gone)
      continue;
    ++replicas;
    answered += attempt.Answers.contains(it->Id);
  }
  // The newest acknowledged commit may be on any `sync` replicas alone.
  return answered >= replicas - sync + 1;
}

void FailoverCoordinator::orderPromotion(TimePoint now,
                                         const std::string &service,
                                         Attempt &attempt) {
  const std::pair<const InstanceId, InstanceStatus> *best = nullptr;
  for (const auto &it : attempt.Answers) {
    const bool isPrimary = it.second.Role == InstanceRole::Primary;
    // NOTE: a primary that answers and isn't leaving needs no successor.
    if (isPrimary && !attempt.IsPlanned) {
      Log.log(absl::StrCat("event=replacement_unneeded service=", service,
                           " primary=", it.first.str()));
      return finishAttempt(now, service);
    }
    if (!isPrimary && (!best || it.second.Received > best->second.Received))
      best = &it;
  }
  if (!best) {
    Log.log(
        absl::StrCat("event=replacement_without_candidate service=", service));
    return finishAttempt(now, service);
  }
  if (!hasEnoughAnswers(service, attempt)) {
    Log.log(absl::StrCat("event=replacement_unsure service=", service,
                         " answers=", attempt.Answers.size(),
                         " sync=", Node.syncReplicasOf(service)));
    return finishAttempt(now, service);
  }
  attempt.CurrentStage = Stage::Promoting;
  PromotionOrderedAt[service] = now;
  attempt.StageStartedAt = now;
  attempt.Target = best->first;
  attempt.TargetStartTimeMs = Node.startTimeOf(best->first);
  const PromotionOrder order{service, best->first, Node.Options.NodeName,
                             attempt.Fence};
  Log.log(absl::StrCat("event=promotion_ordered service=", service,
                       " instance=", best->first.str(),
                       " fence=", attempt.Fence,
                       " term=", best->second.Received.WrittenIn.Number,
                       " position=", best->second.Received.Position.Offset,
                       " answers=", attempt.Answers.size()));
  const std::uint64_t number = attempt.Number;
  Promoter.promote(
      order, [this, service, number, id = best->first](PromotionResult result) {
        receivePromotionResult(service, number, id, result);
      });
}

void FailoverCoordinator::receivePromotionResult(const std::string &service,
                                                 std::uint64_t number,
                                                 const InstanceId &instance,
                                                 PromotionResult result) {
  const TimePoint now = Node.Now;
  const auto it = Attempts.find(service);
  if (it == Attempts.end() || it->second.Number != number)
    return;
  Log.log(absl::StrCat("event=promotion_answered service=", service,
                       " instance=", instance.str(), " fence=",
                       it->second.Fence, " result=", static_cast<int>(result)));
  // NOTE: an order without an answer may still be carried out, so entry VMs
  // receive it too; they rely on the role that the instance itself reports.
  if (result == PromotionResult::Rejected)
    return finishAttempt(now, service);
  wire::Command command;
  auto &promotion = *command.mutable_record_promotion();
  promotion.set_service(service);
  promotion.set_instance(instance.str());
  promotion.set_fence(it->second.Fence);
  promotion.set_born_ms(it->second.TargetStartTimeMs);
  it->second.CurrentStage = Stage::Recording;
  Node.startCall(now, std::move(command), false,
                 [this, service](bool) { finishAttempt(Node.Now, service); });
}

void FailoverCoordinator::instanceRestarted(TimePoint now,
                                            const InstanceRecord &instance) {
  const auto it = Attempts.find(instance.Service);
  if (it == Attempts.end())
    return;
  it->second.Answers.erase(instance.Id);
  if (it->second.Target != instance.Id)
    return;
  Log.log(absl::StrCat("event=promotion_void service=", instance.Service,
                       " instance=", instance.Id.str(), " fence=",
                       it->second.Fence, " reason=\"it has started again\""));
  // NOTE: not finishAttempt(), which starts the cooldown: no primary has been
  // replaced, and the next order, under a higher fence, must supersede this
  // one.
  endAttempt(now, instance.Service);
}

void FailoverCoordinator::finishAttempt(TimePoint now,
                                        const std::string &service) {
  // NOTE: resuming a replica that was promoted or never paused has no effect.
  if (Node.syncReplicasOf(service) > 0)
    resumeReplicas(service);
  Node.Detector.noteFailover(now, service);
  endAttempt(now, service);
}

void FailoverCoordinator::endAttempt(TimePoint now,
                                     const std::string &service) {
  Attempts.erase(service);
  FinishedAt[service] = now;
}

} // namespace stepledge::control
