// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What one attempt to replace a primary has asked and been told.

#ifndef STEPLEDGE_CONTROL_INTERNAL_FAILOVERATTEMPT_H
#define STEPLEDGE_CONTROL_INTERNAL_FAILOVERATTEMPT_H

#include "control/IPromoter.h"
#include "control/internal/ServiceLead.h"

#include "base/types/Time.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace stepledge::control {

enum class FailoverStage {
  TakingFence,
  QueryingStatus,
  Pausing,
  Demoting,
  Promoting,
  Recording
};

/// Callbacks hold it weakly: an answer that comes after the attempt has ended
/// is none to a later attempt.
struct FailoverAttempt {
  FailoverStage Stage = FailoverStage::TakingFence;
  std::uint64_t Fence = 0;
  /// Why the instances are asked.
  LeadState Reason = LeadState::Unknown;
  TimePoint StartedAt{};
  TimePoint StageStartedAt{};
  /// By question, the instances that owe an answer, and the start time of the
  /// incarnation that was asked.
  std::map<InstanceId, std::uint64_t> AwaitedStatuses;
  std::map<InstanceId, std::uint64_t> AwaitedPauses;
  std::map<InstanceId, InstanceStatus> Statuses;
  std::map<InstanceId, PausedStatus> Pauses;
  /// Those to which PAUSE was sent, and since the demotion, if there was one.
  std::set<InstanceId> PauseAsked;
  bool HasPaused = false;
  /// The highest term that a pause or demotion has named.
  Term NewestNamed{};
  /// The order to promote was given and not rejected.
  bool HasOpenOrder = false;
  /// The instance that was ordered to become primary.
  std::optional<InstanceId> Target;
  std::uint64_t TargetStartTimeMs = 0;
  /// The end of its log at the order, if it receives no more until it leads.
  Mark TargetReceived;

  /// Whether a primary has answered.
  bool hasPrimary() const {
    return std::any_of(Statuses.begin(), Statuses.end(), [](const auto &it) {
      return it.second.Role == membership::InstanceRole::Primary;
    });
  }

  bool isPlanned() const { return control::isPlanned(Reason); }

  /// The instance that leads by the answers: one that answers as primary, of
  /// the newest term, while no answer shows a later term.
  std::optional<InstanceId> leader() const {
    const auto isEarlier = [](const auto &a, const auto &b) {
      const auto rankOf = [](const InstanceStatus &it) {
        return std::pair(it.begun(),
                         it.Role == membership::InstanceRole::Primary);
      };
      return rankOf(a.second) < rankOf(b.second);
    };
    const auto it =
        std::max_element(Statuses.begin(), Statuses.end(), isEarlier);
    const bool leads = it != Statuses.end() &&
                       it->second.Role == membership::InstanceRole::Primary;
    return leads ? std::optional(it->first) : std::nullopt;
  }

  /// \p primary follows now: positions from before may have grown since.
  void noteDemoted(const InstanceId &primary) {
    Statuses.erase(primary);
    Pauses.clear();
    PauseAsked.clear();
    AwaitedPauses.clear();
  }

  /// The instance has started again: what it has answered, or answers late,
  /// belongs to its earlier incarnation.
  void forget(const InstanceId &instance) {
    AwaitedStatuses.erase(instance);
    AwaitedPauses.erase(instance);
    Statuses.erase(instance);
    Pauses.erase(instance);
  }
};

} // namespace stepledge::control

#endif // STEPLEDGE_CONTROL_INTERNAL_FAILOVERATTEMPT_H
