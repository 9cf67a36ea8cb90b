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
  return state.Seen && now - state.HeardAt <= Config.Silence;
}

int ReplacementDriver::reachable(const GroupView &view, TimePoint now) const {
  return static_cast<int>(
      std::count_if(view.all().begin(), view.all().end(), [&](const auto &it) {
        return now - it.second.HeardAt <= Config.Suspect && it.second.Seen;
      }));
}

std::optional<InstanceId> ReplacementDriver::livePrimary(const GroupView &view,
                                                         TimePoint now) const {
  auto primary = view.primary();
  if (!primary || now - view.of(*primary).HeardAt > Config.Suspect)
    return std::nullopt;
  return primary;
}

bool ReplacementDriver::isSilent(const GroupView &view, TimePoint now) const {
  return !livePrimary(view, now).has_value();
}

std::vector<ReplacementOrder> ReplacementDriver::tick(const GroupView &view,
                                                      TimePoint now) {
  std::vector<ReplacementOrder> out;
  const bool isStuck =
      Stage != ReplacementStage::Watching && now - StageSince > Config.Attempt;
  if (isStuck)
    rest(now);
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
  attach(view, now, out);
  return out;
}

void ReplacementDriver::rest(TimePoint until) {
  Stage = ReplacementStage::Watching;
  RestUntil = until;
  StrandedSince.reset();
  Agreed.clear();
  Disagreed.clear();
}

void ReplacementDriver::watch(const GroupView &view, TimePoint now,
                              std::vector<ReplacementOrder> &out) {
  if (!Terms.isAllowed() || now < RestUntil)
    return;
  if (livePrimary(view, now)) {
    Stage = ReplacementStage::Watching;
    // NOTE: The primary answers, so the other halls need not be asked.
    if (isStranded(view, now) || isLeaving(view, now))
      beginFencing(view, now);
    return;
  }
  // NOTE: Without a reachable majority no instance could be promoted, and
  // fencing the others would only do harm.
  if (reachable(view, now) < view.majority())
    return;
  if (Stage == ReplacementStage::Watching) {
    const auto primary = view.primary();
    const auto since = primary ? view.of(*primary).HeardAt : RestUntil;
    if (now - since < Config.Suspect + Config.Rank * Config.Stagger)
      return;
    Stage = ReplacementStage::Asking;
    StageSince = now;
    ask(view, now, out);
  }
  if (static_cast<int>(Agreed.size()) >= Config.AgreementNeeded &&
      Disagreed.empty())
    return beginFencing(view, now);
  if (now - AskedAt >= Config.AskAgain)
    ask(view, now, out);
}

void ReplacementDriver::ask(const GroupView &view, TimePoint now,
                            std::vector<ReplacementOrder> &out) {
  AskedAt = now;
  Suspected = view.term();
  Agreed.clear();
  Disagreed.clear();
  out.push_back(AskPeers{Suspected});
}

void ReplacementDriver::peerSaid(const VmId &peer, Term term, bool isSilent) {
  if (Stage != ReplacementStage::Asking || term != Suspected)
    return;
  (isSilent ? Agreed : Disagreed).insert(peer);
}

void ReplacementDriver::beginFencing(const GroupView &view, TimePoint now) {
  Stage = ReplacementStage::Fencing;
  StageSince = now;
  Next = Terms.after(highestPromise(view));
}

void ReplacementDriver::fence(const GroupView &view, TimePoint now,
                              std::vector<ReplacementOrder> &out) {
  // NOTE: Another VM got further; continuing would undo its work.
  if (highestPromise(view) > Next)
    return rest(now + Config.Suspect);
  const InstanceState *best = nullptr;
  int fenced = 0;
  // NOTE: Any majority of the group has everything that was acknowledged, so
  // the instances that stay suffice if they are a majority.
  const auto staying = candidates(view);
  for (const auto &[id, state] : view.all()) {
    if (!staying.contains(id))
      continue;
    if (isReachable(state, now) && state.Last.Promised < Next)
      out.push_back(FenceInstance{id, Next});
    if (!isFencedAt(state, Next))
      continue;
    ++fenced;
    if (best == nullptr ||
        state.Last.durableMark() > best->Last.durableMark()) {
      best = &state;
      Chosen = id;
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
  const auto &last = view.of(Chosen).Last;
  if (highestPromise(view) > Next)
    return rest(now + Config.Suspect);
  if (last.Role == InstanceRole::Primary && last.Promised == Next)
    return rest(now + Config.Rest);
  out.push_back(PromoteInstance{Chosen, Next});
}

// Orders every instance with an older promise to follow the primary that a
// majority has promised to. Any VM may repeat this order at any time.
void ReplacementDriver::attach(const GroupView &view, TimePoint now,
                               std::vector<ReplacementOrder> &out) const {
  const auto primary = livePrimary(view, now);
  if (!Terms.isAllowed() || !primary)
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
bool ReplacementDriver::isLeaving(const GroupView &view, TimePoint now) const {
  const auto primary = livePrimary(view, now);
  const auto leaving = view.leavingFor(*primary, now);
  return leaving && *leaving >= Config.Leave + Config.Rank * Config.Stagger &&
         !candidates(view).contains(*primary) &&
         reachable(view, now) >= view.majority();
}

bool ReplacementDriver::isStranded(const GroupView &view, TimePoint now) {
  const auto primary = livePrimary(view, now);
  const auto term = view.of(*primary).Last.Promised;
  const bool any =
      std::any_of(view.all().begin(), view.all().end(), [&](const auto &it) {
        return isReachable(it.second, now) && it.second.Last.Promised > term;
      });
  if (!any) {
    StrandedSince.reset();
    return false;
  }
  if (!StrandedSince)
    StrandedSince = now;
  return now - *StrandedSince >= Config.Stranded + Config.Rank * Config.Stagger;
}

} // namespace stepledge::failover
