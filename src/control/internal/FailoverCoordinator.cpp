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
/// For two questions to a slow replica.
constexpr Duration PauseTimeout = milliseconds(1200);
/// Time in which an order may still be carried out.
constexpr Duration OpenOrderTime = milliseconds(5000);
constexpr Duration ConfirmInterval = milliseconds(100);

} // namespace

void FailoverCoordinator::reset(TimePoint now) {
  Attempts.clear();
  PromotionOrderedAt.clear();
  OpenOrders.clear();
  for (const auto &it : services())
    if (Node.syncReplicasOf(it) > 0)
      OpenOrders[it] = {std::nullopt, {}, now + OpenOrderTime};
}

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
      const bool isPaused = PendingResumes.contains(service) ||
                            (finishedAt != FinishedAt.end() &&
                             now - finishedAt->second < AttemptPause);
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
    proceed(now, service, attempt);
  }
  closeOrders(now);
}

void FailoverCoordinator::proceed(TimePoint now, const std::string &service,
                                  Attempt &attempt) {
  const bool areStatusesDone = attempt.AwaitedStatuses.empty();
  const Duration waited = now - attempt.StageStartedAt;
  if (attempt.CurrentStage == Stage::Pausing) {
    pauseNext(service, attempt);
    const bool arePausesDone =
        attempt.AwaitedStatuses.empty() && attempt.AwaitedPauses.empty();
    if (arePausesDone || waited > PauseTimeout)
      orderPromotion(now, service, attempt);
    return;
  }
  if (attempt.CurrentStage != Stage::QueryingStatus ||
      (!areStatusesDone && waited <= StatusTimeout))
    return;
  if (Node.syncReplicasOf(service) > 0)
    pauseReplicas(now, service, attempt);
  else
    orderPromotion(now, service, attempt);
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
  const bool asksLeaving = Node.syncReplicasOf(service) > 0;
  std::vector<const InstanceRecord *> asked;
  for (const auto *it : Node.Directory.ofService(service))
    if (it->State == InstanceState::Ready ||
        (asksLeaving && it->State == InstanceState::Leaving))
      asked.push_back(it);
  for (const auto *it : asked)
    attempt.AwaitedStatuses[it->Id] = it->StartTimeMs;
  for (const auto *it : asked)
    askStatus(service, attempt, *it);
}

void FailoverCoordinator::askStatus(const std::string &service,
                                    Attempt &attempt,
                                    const InstanceRecord &instance) {
  attempt.AwaitedStatuses[instance.Id] = instance.StartTimeMs;
  Probe.askStatus(instance,
                  [this, service, number = attempt.Number,
                   id = instance.Id](std::optional<InstanceStatus> status) {
                    receiveStatus(service, number, id, status);
                  });
}

FailoverCoordinator::Attempt *
FailoverCoordinator::findAttempt(const std::string &service,
                                 std::uint64_t number) {
  const auto it = Attempts.find(service);
  return it == Attempts.end() || it->second.Number != number ? nullptr
                                                             : &it->second;
}

void FailoverCoordinator::receiveStatus(
    const std::string &service, std::uint64_t number,
    const InstanceId &instance, const std::optional<InstanceStatus> &status) {
  auto *attempt = findAttempt(service, number);
  if (!attempt)
    return;
  const auto asked = attempt->AwaitedStatuses.extract(instance);
  if (asked.empty() || !status || Node.startTimeOf(instance) != asked.mapped())
    return;
  attempt->Statuses[instance] = *status;
}

void FailoverCoordinator::receivePause(
    const std::string &service, std::uint64_t number,
    const InstanceId &instance, const std::optional<PausedStatus> &status) {
  auto *attempt = findAttempt(service, number);
  if (!attempt)
    return;
  const auto asked = attempt->AwaitedPauses.extract(instance);
  if (asked.empty() || !status || Node.startTimeOf(instance) != asked.mapped())
    return;
  attempt->Pauses[instance] = *status;
}

bool FailoverCoordinator::hasPrimary(const Attempt &attempt) {
  return std::any_of(
      attempt.Statuses.begin(), attempt.Statuses.end(),
      [](const auto &it) { return it.second.Role == InstanceRole::Primary; });
}

void FailoverCoordinator::pauseReplicas(TimePoint now,
                                        const std::string &service,
                                        Attempt &attempt) {
  // NOTE: otherwise writes would wait behind pauses that are of no use.
  const bool mayCover = coversCommits(
      service, Node.syncReplicasOf(service), [&](const InstanceId &id) {
        return attempt.Statuses.contains(id) ||
               attempt.AwaitedStatuses.contains(id);
      });
  if (hasPrimary(attempt) && !attempt.IsPlanned)
    return orderPromotion(now, service, attempt);
  if (!mayCover)
    return finishUnsure(now, service, attempt);
  attempt.CurrentStage = Stage::Pausing;
  attempt.StageStartedAt = now;
  pauseNext(service, attempt);
}

void FailoverCoordinator::pauseNext(const std::string &service,
                                    Attempt &attempt) {
  std::vector<InstanceId> unpaused;
  for (const auto &[id, it] : attempt.Statuses)
    if (it.Role == InstanceRole::Replica && !attempt.PauseAsked.contains(id) &&
        !attempt.AwaitedStatuses.contains(id))
      unpaused.push_back(id);
  for (const auto &id : unpaused) {
    const auto *record = Node.Directory.find(id);
    if (canPause(attempt, id))
      pauseReplica(service, attempt, id);
    else if (record)
      askStatus(service, attempt, *record);
  }
}

bool FailoverCoordinator::isLeaving(const InstanceId &id) const {
  const auto *record = Node.Directory.find(id);
  return record && record->State == InstanceState::Leaving;
}

bool FailoverCoordinator::canPause(const Attempt &attempt,
                                   const InstanceId &id) const {
  if (isLeaving(id) || !hasPrimary(attempt))
    return true;
  const auto isBehind = [&](const auto &paused) {
    return isLeaving(paused.first) &&
           paused.second.Status.Received > attempt.Statuses.at(id).Received;
  };
  const auto isAwaited = [&](const auto &it) { return isLeaving(it.first); };
  return std::none_of(attempt.Pauses.begin(), attempt.Pauses.end(), isBehind) &&
         std::none_of(attempt.AwaitedPauses.begin(),
                      attempt.AwaitedPauses.end(), isAwaited);
}

void FailoverCoordinator::pauseReplica(const std::string &service,
                                       Attempt &attempt, const InstanceId &id) {
  const auto *record = Node.Directory.find(id);
  if (!record)
    return;
  Term newest;
  for (const auto &[other, it] : attempt.Statuses)
    newest = std::max({newest, it.Known, it.Received.WrittenIn});
  attempt.AwaitedPauses[id] = record->StartTimeMs;
  attempt.PauseAsked.insert(id);
  const std::uint64_t number = attempt.Number;
  Probe.pause(*record, Term{newest.Number + 1},
              [this, service, number, id](std::optional<PausedStatus> paused) {
                receivePause(service, number, id, paused);
              });
}

void FailoverCoordinator::resumeReplicas(const std::string &service) {
  std::vector<const InstanceRecord *> replicas;
  for (const auto *it : Node.Directory.ofService(service))
    if (it->State != InstanceState::Gone && it->Role == InstanceRole::Replica)
      replicas.push_back(it);
  if (!replicas.empty())
    PendingResumes[service] += static_cast<int>(replicas.size());
  for (const auto *it : replicas)
    Probe.resume(*it, [this, service] {
      const auto pending = PendingResumes.find(service);
      if (pending != PendingResumes.end() && --pending->second == 0)
        PendingResumes.erase(pending);
    });
}

void FailoverCoordinator::closeOrders(TimePoint now) {
  std::vector<std::string> closed;
  for (auto &[service, it] : OpenOrders) {
    if (Attempts.contains(service))
      continue;
    if (now >= it.Until)
      closed.push_back(service);
    else if (it.Target && now >= it.AskAt)
      confirmOrder(now, service, it);
  }
  for (const auto &it : closed) {
    OpenOrders.erase(it);
    resumeReplicas(it);
  }
}

void FailoverCoordinator::confirmOrder(TimePoint now,
                                       const std::string &service,
                                       OpenOrder &order) {
  order.AskAt = now + ConfirmInterval;
  const auto *record = Node.Directory.find(*order.Target);
  if (!record)
    return;
  Probe.askStatus(*record, [this, service, target = *order.Target](
                               std::optional<InstanceStatus> status) {
    const auto it = OpenOrders.find(service);
    const bool isCarriedOut = status && status->Role == InstanceRole::Primary;
    if (isCarriedOut && it != OpenOrders.end() && it->second.Target == target)
      it->second.Until = Node.Now;
  });
}

std::vector<const InstanceRecord *>
FailoverCoordinator::possibleHolders(const std::string &service) const {
  const auto all = Node.Directory.ofService(service);
  const auto *primary = currentPrimary(Node.Now, service);
  const auto hasSuccessor = [&](const InstanceRecord &gone) {
    return std::any_of(all.begin(), all.end(), [&](const auto *it) {
      return it->State != InstanceState::Gone && it->Address == gone.Address;
    });
  };
  std::vector<const InstanceRecord *> holders;
  for (const auto *it : all)
    if (it != primary &&
        (it->State != InstanceState::Gone || !hasSuccessor(*it)))
      holders.push_back(it);
  return holders;
}

bool FailoverCoordinator::coversCommits(
    const std::string &service, int sync,
    const std::function<bool(const InstanceId &)> &counts) const {
  const auto holders = possibleHolders(service);
  const auto counted =
      std::count_if(holders.begin(), holders.end(),
                    [&](const auto *it) { return counts(it->Id); });
  // NOTE: the newest acknowledged commit may be on any `sync` replicas alone.
  return counted >= static_cast<std::ptrdiff_t>(holders.size()) - sync + 1;
}

std::optional<std::pair<InstanceId, InstanceStatus>>
FailoverCoordinator::chooseReplica(const Attempt &attempt) const {
  std::map<InstanceId, InstanceStatus> replicas;
  if (attempt.CurrentStage == Stage::Pausing) {
    for (const auto &[id, it] : attempt.Pauses)
      replicas[id] = it.Status;
  } else {
    replicas = attempt.Statuses;
  }
  const std::pair<const InstanceId, InstanceStatus> *best = nullptr;
  const std::pair<const InstanceId, InstanceStatus> *bestLeaving = nullptr;
  for (const auto &it : replicas) {
    const auto *record = Node.Directory.find(it.first);
    if (it.second.Role == InstanceRole::Primary || !record)
      continue;
    const bool isReady = record->State == InstanceState::Ready;
    auto &longest = isReady ? best : bestLeaving;
    if (!longest || it.second.Received > longest->second.Received)
      longest = &it;
  }
  const bool isBehind = bestLeaving && (!best || bestLeaving->second.Received >
                                                     best->second.Received);
  if (isBehind && hasPrimary(attempt))
    return std::nullopt;
  if (isBehind)
    best = bestLeaving;
  return best ? std::optional(std::pair(best->first, best->second))
              : std::nullopt;
}

void FailoverCoordinator::finishUnsure(TimePoint now,
                                       const std::string &service,
                                       const Attempt &attempt) {
  std::string unpaused;
  for (const auto *it : possibleHolders(service))
    if (!attempt.Pauses.contains(it->Id))
      absl::StrAppend(&unpaused, unpaused.empty() ? "" : ",", it->Id.str());
  Log.log(absl::StrCat(
      "event=replacement_unsure service=", service,
      " answers=", attempt.Statuses.size(), " paused=", attempt.Pauses.size(),
      " unpaused=", unpaused, " sync=", Node.syncReplicasOf(service)));
  finishAttempt(now, service);
}

void FailoverCoordinator::orderPromotion(TimePoint now,
                                         const std::string &service,
                                         Attempt &attempt) {
  // NOTE: a primary that answers and isn't leaving needs no successor.
  if (hasPrimary(attempt) && !attempt.IsPlanned) {
    Log.log(absl::StrCat("event=replacement_unneeded service=", service));
    return finishAttempt(now, service);
  }
  const int sync = Node.syncReplicasOf(service);
  const bool isSure =
      sync <= 0 || coversCommits(service, sync, [&](const InstanceId &id) {
        return attempt.Pauses.contains(id);
      });
  if (!isSure)
    return finishUnsure(now, service, attempt);
  const auto best = chooseReplica(attempt);
  if (!best) {
    Log.log(
        absl::StrCat("event=replacement_without_candidate service=", service));
    return finishAttempt(now, service);
  }
  attempt.CurrentStage = Stage::Promoting;
  PromotionOrderedAt[service] = now;
  attempt.StageStartedAt = now;
  attempt.Target = best->first;
  attempt.HasOpenOrder = true;
  attempt.TargetStartTimeMs = Node.startTimeOf(best->first);
  const PromotionOrder order{service, best->first, Node.Options.NodeName,
                             attempt.Fence};
  Log.log(absl::StrCat(
      "event=promotion_ordered service=", service,
      " instance=", best->first.str(), " fence=", attempt.Fence,
      " term=", best->second.Received.WrittenIn.Number,
      " position=", best->second.Received.Position.Offset,
      " answers=", attempt.Statuses.size(), " paused=", attempt.Pauses.size()));
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
  if (result == PromotionResult::Rejected) {
    it->second.HasOpenOrder = false;
    return finishAttempt(now, service);
  }
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
  // NOTE: what it answers late belongs to its earlier incarnation.
  it->second.AwaitedStatuses.erase(instance.Id);
  it->second.AwaitedPauses.erase(instance.Id);
  it->second.Statuses.erase(instance.Id);
  it->second.Pauses.erase(instance.Id);
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
  Node.Detector.noteFailover(now, service);
  endAttempt(now, service);
}

void FailoverCoordinator::endAttempt(TimePoint now,
                                     const std::string &service) {
  const auto attempt = Attempts.extract(service);
  FinishedAt[service] = now;
  // NOTE: resuming a replica that was promoted or never paused has no effect.
  if (attempt.empty() || attempt.mapped().PauseAsked.empty())
    return;
  if (attempt.mapped().HasOpenOrder)
    OpenOrders[service] = {attempt.mapped().Target, now, now + OpenOrderTime};
  else if (!OpenOrders.contains(service))
    resumeReplicas(service);
}

} // namespace stepledge::control
