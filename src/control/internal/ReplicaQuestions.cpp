// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "control/internal/ReplicaQuestions.h"

#include <algorithm>
#include <vector>

namespace stepledge::control {

using membership::InstanceRecord;
using membership::InstanceRole;
using membership::InstanceState;

void ReplicaQuestions::askStatuses(const std::string &service,
                                   const AttemptPtr &attempt,
                                   bool asksLeaving) {
  std::vector<const InstanceRecord *> asked;
  for (const auto *it : Directory.ofService(service))
    if (it->State == InstanceState::Ready ||
        (asksLeaving && it->State == InstanceState::Leaving))
      asked.push_back(it);
  for (const auto *it : asked)
    askStatus(attempt, *it);
}

void ReplicaQuestions::pauseNext(const AttemptPtr &attempt) {
  std::vector<const InstanceRecord *> unpaused;
  for (const auto &[id, it] : attempt->Statuses)
    if (const auto *record = Directory.find(id);
        record && it.Role == InstanceRole::Replica &&
        !attempt->PauseAsked.contains(id) &&
        !attempt->AwaitedStatuses.contains(id))
      unpaused.push_back(record);
  for (const auto *it : unpaused) {
    const bool isTurn = isLeaving(it->Id) || !attempt->hasPrimary();
    if (isTurn)
      pause(attempt, *it);
    else if (mustCatchUp(*attempt, it->Id))
      askStatus(attempt, *it);
  }
}

bool ReplicaQuestions::canDemote(const FailoverAttempt &attempt) const {
  return std::none_of(
      attempt.Statuses.begin(), attempt.Statuses.end(), [&](const auto &it) {
        return it.second.Role == InstanceRole::Replica &&
               !isLeaving(it.first) && mustCatchUp(attempt, it.first);
      });
}

void ReplicaQuestions::demote(const AttemptPtr &attempt,
                              const InstanceRecord &primary,
                              std::function<void(bool)> onDone) {
  Probe.demote(primary, nextTerm(*attempt),
               [weak = std::weak_ptr(attempt), onDone = std::move(onDone)](
                   std::optional<InstanceStatus> status) {
                 if (!weak.expired())
                   onDone(status && status->Role == InstanceRole::Replica);
               });
}

Term ReplicaQuestions::nextTerm(FailoverAttempt &attempt) {
  Term newest = attempt.NewestNamed;
  for (const auto &[id, it] : attempt.Statuses)
    newest = std::max({newest, it.Known, it.Received.WrittenIn});
  return attempt.NewestNamed = Term{newest.Number + 1};
}

bool ReplicaQuestions::isLeaving(const InstanceId &id) const {
  const auto *record = Directory.find(id);
  return record && record->State == InstanceState::Leaving;
}

bool ReplicaQuestions::mustCatchUp(const FailoverAttempt &attempt,
                                   const InstanceId &id) const {
  const auto isAhead = [&](const auto &paused) {
    return isLeaving(paused.first) &&
           paused.second.Status.Received > attempt.Statuses.at(id).Received;
  };
  const auto isLeavingToo = [&](const auto &it) { return isLeaving(it.first); };
  return std::any_of(attempt.Pauses.begin(), attempt.Pauses.end(), isAhead) ||
         std::any_of(attempt.AwaitedPauses.begin(), attempt.AwaitedPauses.end(),
                     isLeavingToo);
}

void ReplicaQuestions::askStatus(const AttemptPtr &attempt,
                                 const InstanceRecord &instance) {
  attempt->AwaitedStatuses[instance.Id] = instance.StartTimeMs;
  Probe.askStatus(
      instance, [this, weak = std::weak_ptr(attempt),
                 id = instance.Id](std::optional<InstanceStatus> status) {
        const auto asker = weak.lock();
        if (asker && isAwaited(asker->AwaitedStatuses, id) && status)
          asker->Statuses[id] = *status;
      });
}

void ReplicaQuestions::pause(const AttemptPtr &attempt,
                             const InstanceRecord &instance) {
  attempt->HasPaused = true;
  attempt->AwaitedPauses[instance.Id] = instance.StartTimeMs;
  attempt->PauseAsked.insert(instance.Id);
  Probe.pause(instance, nextTerm(*attempt),
              [this, weak = std::weak_ptr(attempt),
               id = instance.Id](std::optional<PausedStatus> status) {
                const auto asker = weak.lock();
                if (asker && isAwaited(asker->AwaitedPauses, id) && status)
                  asker->Pauses[id] = *status;
              });
}

bool ReplicaQuestions::isAwaited(std::map<InstanceId, std::uint64_t> &awaited,
                                 const InstanceId &id) const {
  const auto asked = awaited.extract(id);
  const auto *record = Directory.find(id);
  return !asked.empty() && record && record->StartTimeMs == asked.mapped();
}

} // namespace stepledge::control
