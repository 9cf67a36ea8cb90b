// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "control/internal/ReplicaChoice.h"

#include "session/TermHistory.h"

#include <algorithm>

namespace stepledge::control {

using membership::InstanceRecord;
using membership::InstanceRole;
using membership::InstanceState;

namespace {

using Answer = std::pair<const InstanceId, InstanceStatus>;

/// Returns the answers whose positions may be relied on.
std::map<InstanceId, InstanceStatus>
reliableAnswers(const FailoverAttempt &attempt) {
  if (attempt.Stage != FailoverStage::Pausing)
    return attempt.Statuses;
  std::map<InstanceId, InstanceStatus> answers;
  for (const auto &[id, it] : attempt.Pauses)
    answers[id] = it.Status;
  return answers;
}

bool hasLongerLog(const Answer &answer, const Answer *other) {
  return !other || answer.second.Received > other->second.Received;
}

} // namespace

InstanceList possibleHolders(const InstanceList &instances,
                             const InstanceRecord *primary) {
  const auto hasSuccessor = [&](const InstanceRecord &gone) {
    return std::any_of(instances.begin(), instances.end(), [&](const auto *it) {
      return it->State != InstanceState::Gone && it->Address == gone.Address;
    });
  };
  InstanceList holders;
  for (const auto *it : instances)
    if (it != primary && !hasLeftAsPrimary(*it) &&
        (it->State != InstanceState::Gone || !hasSuccessor(*it)))
      holders.push_back(it);
  return holders;
}

bool coversCommits(const InstanceList &holders, int sync,
                   const std::function<bool(const InstanceId &)> &counts) {
  const auto counted =
      std::count_if(holders.begin(), holders.end(),
                    [&](const auto *it) { return counts(it->Id); });
  // NOTE: the newest acknowledged commit may be on any `sync` replicas alone.
  return counted >= static_cast<std::ptrdiff_t>(holders.size()) - sync + 1;
}

bool isGivenUp(const Mark &received, const Mark &start) {
  session::TermHistory history;
  const Term next{start.WrittenIn.Number + 1};
  history.addTerm(start.WrittenIn, {});
  history.addTerm(next, start.Position);
  return history.includes({next, start.Position}, received) ==
         session::Inclusion::Lost;
}

std::optional<std::pair<InstanceId, InstanceStatus>>
chooseReplica(const FailoverAttempt &attempt,
              const membership::InstanceDirectory &directory,
              const std::optional<Mark> &start) {
  auto answers = reliableAnswers(attempt);
  const auto isOnGivenUpLog = [&](const auto &it) {
    return start && isGivenUp(it.second.Received, *start);
  };
  if (!std::all_of(answers.begin(), answers.end(), isOnGivenUpLog))
    std::erase_if(answers, isOnGivenUpLog);
  const Answer *ready = nullptr;
  const Answer *leaving = nullptr;
  for (const auto &it : answers) {
    const auto *record = directory.find(it.first);
    if (it.second.Role == InstanceRole::Primary || !record)
      continue;
    auto &longest = record->State == InstanceState::Ready ? ready : leaving;
    if (!longest || it.second.Received >= longest->second.Received)
      longest = &it;
  }
  const bool isBehind = leaving && hasLongerLog(*leaving, ready);
  if (isBehind && attempt.hasPrimary())
    return std::nullopt;
  const Answer *best = isBehind ? leaving : ready;
  return best ? std::optional(std::pair(best->first, best->second))
              : std::nullopt;
}

} // namespace stepledge::control
