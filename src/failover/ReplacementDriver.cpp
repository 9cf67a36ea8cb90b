// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "failover/ReplacementDriver.h"

#include <algorithm>

namespace stepledge::failover {

namespace {

using routing::GroupView;
using routing::InstanceRole;
using routing::InstanceState;

Term highestPromise(const GroupView &view) {
  Term highest = view.term();
  for (const auto &[id, state] : view.all())
    highest = std::max(highest, state.Last.Promised);
  return highest;
}

bool isFencedAt(const InstanceState &state, Term term) {
  return state.Seen && state.Last.Promised == term &&
         state.Last.Role == InstanceRole::Fenced;
}

} // namespace

bool ReplacementDriver::isReachable(const InstanceState &state,
                                    TimePoint now) const {
  return state.Seen && now - state.AnsweredAt <= Config.Silence;
}

int ReplacementDriver::reachableCount(const GroupView &view,
                                      TimePoint now) const {
  return static_cast<int>(
      std::count_if(view.all().begin(), view.all().end(), [&](const auto &it) {
        return now - it.second.AnsweredAt <= Config.Suspect && it.second.Seen;
      }));
}

std::optional<InstanceId>
ReplacementDriver::answeringPrimary(const GroupView &view,
                                    TimePoint now) const {
  auto primary = view.primary();
  if (!primary || now - view.of(*primary).AnsweredAt > Config.Suspect)
    return std::nullopt;
  return primary;
}

bool ReplacementDriver::isSilent(const GroupView &view, TimePoint now) const {
  return !answeringPrimary(view, now).has_value();
}

std::vector<ReplacementOrder> ReplacementDriver::tick(const GroupView &view,
                                                      TimePoint now) {
  std::vector<ReplacementOrder> out;
  const bool isStuck = Stage != ReplacementStage::Watching &&
                       now - StageSince > Config.AttemptTimeout;
  if (isStuck)
    endAttempt(now);
  switch (Stage) {
  case ReplacementStage::Watching:
  case ReplacementStage::Asking:
    watch(view, now, out);
    break;
  case ReplacementStage::Fencing:
    fence(view, now, out);
    break;
  case ReplacementStage::Promoting:
    promote(view, now, out);
    break;
  }
  orderFollowers(view, now, out);
  return out;
}

void ReplacementDriver::endAttempt(TimePoint until) {
  Stage = ReplacementStage::Watching;
  PausedUntil = until;
  StrandedSince.reset();
  AgreeingPeers.clear();
  DisagreeingPeers.clear();
}

void ReplacementDriver::watch(const GroupView &view, TimePoint now,
                              std::vector<ReplacementOrder> &out) {
  if (!Terms.canIssue() || now < PausedUntil)
    return;
  if (answeringPrimary(view, now)) {
    Stage = ReplacementStage::Watching;
    // NOTE: The primary answers, so the other halls need not be asked.
    if (hasStrandedInstance(view, now) || isPrimaryLeaving(view, now))
      beginFencing(view, now);
    return;
  }
  // NOTE: Without a reachable majority no instance could be promoted, and
  // fencing the others would only do harm.
  if (reachableCount(view, now) < view.majority())
    return;
  if (Stage == ReplacementStage::Watching) {
    const auto primary = view.primary();
    const auto since = primary ? view.of(*primary).AnsweredAt : PausedUntil;
    if (now - since < Config.Suspect + Config.Rank * Config.Stagger)
      return;
    Stage = ReplacementStage::Asking;
    StageSince = now;
    askPeers(view, now, out);
  }
  if (static_cast<int>(AgreeingPeers.size()) >= Config.AgreementNeeded &&
      DisagreeingPeers.empty())
    return beginFencing(view, now);
  if (now - AskedAt >= Config.AskInterval)
    askPeers(view, now, out);
}

void ReplacementDriver::askPeers(const GroupView &view, TimePoint now,
                                 std::vector<ReplacementOrder> &out) {
  AskedAt = now;
  SuspectedTerm = view.term();
  AgreeingPeers.clear();
  DisagreeingPeers.clear();
  out.push_back(AskPeers{SuspectedTerm});
}

void ReplacementDriver::receivePeerReport(const VmId &peer, Term term,
                                          bool isSilent) {
  if (Stage != ReplacementStage::Asking || term != SuspectedTerm)
    return;
  (isSilent ? AgreeingPeers : DisagreeingPeers).insert(peer);
}

void ReplacementDriver::beginFencing(const GroupView &view, TimePoint now) {
  Stage = ReplacementStage::Fencing;
  StageSince = now;
  NextTerm = Terms.after(highestPromise(view));
}

void ReplacementDriver::fence(const GroupView &view, TimePoint now,
                              std::vector<ReplacementOrder> &out) {
  // NOTE: Another VM got further; continuing would undo its work.
  if (highestPromise(view) > NextTerm)
    return endAttempt(now + Config.Suspect);
  const InstanceState *best = nullptr;
  int fenced = 0;
  // NOTE: Any majority of the group has everything that was acknowledged, so
  // the instances that stay suffice if they are a majority.
  const auto staying = candidates(view);
  for (const auto &[id, state] : view.all()) {
    if (!staying.contains(id))
      continue;
    if (isReachable(state, now) && state.Last.Promised < NextTerm)
      out.push_back(FenceInstance{id, NextTerm});
    if (!isFencedAt(state, NextTerm))
      continue;
    ++fenced;
    if (best == nullptr ||
        state.Last.durableMark() > best->Last.durableMark()) {
      best = &state;
      ChosenInstance = id;
    }
  }
  if (fenced < view.majority())
    return;
  out.clear();
  Stage = ReplacementStage::Promoting;
  StageSince = now;
  promote(view, now, out);
}

void ReplacementDriver::promote(const GroupView &view, TimePoint now,
                                std::vector<ReplacementOrder> &out) {
  const auto &last = view.of(ChosenInstance).Last;
  if (highestPromise(view) > NextTerm)
    return endAttempt(now + Config.Suspect);
  if (last.Role == InstanceRole::Primary && last.Promised == NextTerm)
    return endAttempt(now + Config.Rest);
  out.push_back(PromoteInstance{ChosenInstance, NextTerm});
}

// Orders the reachable instances that do not yet follow the current primary
// (fenced at its term, or with an older promise and not yet a replica with
// entries of its term) to follow it. Safe for several VMs to repeat.
void ReplacementDriver::orderFollowers(
    const GroupView &view, TimePoint now,
    std::vector<ReplacementOrder> &out) const {
  const auto primary = answeringPrimary(view, now);
  if (!Terms.canIssue() || !primary)
    return;
  const auto term = view.of(*primary).Last.Promised;
  for (const auto &[id, state] : view.all()) {
    if (id == *primary || !isReachable(state, now))
      continue;
    const bool isBehind =
        state.Last.Promised < term && state.Last.Role != InstanceRole::Replica;
    if (isBehind || isFencedAt(state, term) ||
        (state.Last.Promised < term && state.Last.LogTerm < term))
      out.push_back(FollowPrimary{id, *primary, term});
  }
}

std::set<InstanceId>
ReplacementDriver::candidates(const GroupView &view) const {
  std::set<InstanceId> staying;
  std::set<InstanceId> all;
  for (const auto &[id, state] : view.all()) {
    all.insert(id);
    if (!state.LeavingSince)
      staying.insert(id);
  }
  return static_cast<int>(staying.size()) >= view.majority() ? staying : all;
}

// Only useful if an instance that stays can be promoted.
bool ReplacementDriver::isPrimaryLeaving(const GroupView &view,
                                         TimePoint now) const {
  const auto primary = answeringPrimary(view, now);
  const auto leaving = view.leavingFor(*primary, now);
  return leaving && *leaving >= Config.Leave + Config.Rank * Config.Stagger &&
         !candidates(view).contains(*primary) &&
         reachableCount(view, now) >= view.majority();
}

bool ReplacementDriver::hasStrandedInstance(const GroupView &view,
                                            TimePoint now) {
  const auto primary = answeringPrimary(view, now);
  const auto term = view.of(*primary).Last.Promised;
  const bool hasLaterPromise =
      std::any_of(view.all().begin(), view.all().end(), [&](const auto &it) {
        return isReachable(it.second, now) && it.second.Last.Promised > term;
      });
  if (!hasLaterPromise) {
    StrandedSince.reset();
    return false;
  }
  if (!StrandedSince)
    StrandedSince = now;
  return now - *StrandedSince >=
         Config.StrandedTimeout + Config.Rank * Config.Stagger;
}

} // namespace stepledge::failover
