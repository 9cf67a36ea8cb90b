// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "routing/ReadRouter.h"

#include <algorithm>

namespace stepledge::routing {

namespace {

/// An instance below this health is not chosen while another one is eligible.
constexpr double EjectedBelow = 0.1;
/// Minimum time in which a replica that was behind is expected to catch up.
constexpr Duration MinCatchUp = milliseconds(1);

Duration costOf(const InstanceLoad &load, double health) {
  const auto waiting = load.ServiceTime * (load.InFlight + 1);
  const auto cost = waiting + 2 * load.Distance;
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(cost.count() + 1) / std::max(health, 0.01)));
}

/// Picks two candidates at random and returns the cheaper one. Comparing two of
/// them instead of all keeps many VMs from choosing the same instance at once.
std::size_t pickCheaperOfTwo(const std::vector<std::size_t> &candidates,
                             const std::vector<ConsideredInstance> &considered,
                             Random &random) {
  if (candidates.size() == 1)
    return candidates.front();
  const auto first = random() % candidates.size();
  auto second = random() % (candidates.size() - 1);
  if (second >= first)
    ++second;
  const auto left = candidates[first];
  const auto right = candidates[second];
  return considered[left].Cost <= considered[right].Cost ? left : right;
}

bool isEligible(const ConsideredInstance &it) {
  return it.InstanceVerdict == Verdict::Eligible;
}

std::vector<std::size_t>
eligibleIn(const std::vector<ConsideredInstance> &list) {
  std::vector<std::size_t> found;
  for (std::size_t n = 0; n < list.size(); ++n)
    if (isEligible(list[n]))
      found.push_back(n);
  return found;
}

bool anyHasVerdict(const std::vector<ConsideredInstance> &list,
                   Verdict verdict) {
  return std::any_of(list.begin(), list.end(), [verdict](const auto &it) {
    return it.InstanceVerdict == verdict;
  });
}

} // namespace

ReadRouter::Evaluation ReadRouter::evaluate(const ReadNeed &need,
                                            const GroupView &view,
                                            const InstanceId &instance,
                                            const InstanceState &state,
                                            TimePoint now) const {
  if (!state.Seen || now - state.AnsweredAt > Config.Silence)
    return {Verdict::Silent, {}};
  if (need.Tried.contains(instance))
    return {Verdict::Tried, {}};
  const auto leaving = view.leavingFor(instance, now);
  const bool isPrimary = state.Last.Role == InstanceRole::Primary;
  if (leaving && (!isPrimary || *leaving >= Config.LeaveGrace))
    return {Verdict::Leaving, {}};
  if (state.Last.Role == InstanceRole::Primary)
    return evaluatePrimary(need, view, state, now);
  if (need.isCurrent())
    return {Verdict::NotPrimary, {}};
  return evaluateReplica(need, view, state, now);
}

ReadRouter::Evaluation ReadRouter::evaluatePrimary(const ReadNeed &need,
                                                   const GroupView &view,
                                                   const InstanceState &state,
                                                   TimePoint now) const {
  if (state.Last.Promised < view.term())
    return {Verdict::NotPrimary, {}};
  const auto confirmed = view.confirmedAt(state.Last.Promised);
  const auto allowed = need.isCurrent() ? Config.PrimaryConfirm : need.MaxAge;
  if (!confirmed || now - *confirmed > allowed)
    return {Verdict::Unconfirmed, {}};
  const auto inclusion =
      view.history().includesAll(state.Last.appliedMark(), need.Marks);
  if (inclusion == session::Inclusion::Lost)
    return {Verdict::HistoryLost, {}};
  // NOTE: A mark of the primary's own term is in its log, even if the last
  // observation is older than the mark; a mark of a later term is not.
  const bool isOlder =
      std::any_of(need.Marks.begin(), need.Marks.end(), [&](const Mark &it) {
        return it.WrittenIn > state.Last.Promised;
      });
  return {isOlder ? Verdict::Behind : Verdict::Eligible, {}};
}

ReadRouter::Evaluation ReadRouter::evaluateReplica(const ReadNeed &need,
                                                   const GroupView &view,
                                                   const InstanceState &state,
                                                   TimePoint now) const {
  const auto applied = state.Last.appliedMark();
  const auto age = view.ageOf(applied, now);
  // NOTE: The replica has advanced since its last observation, so its usual lag
  // counts as well; the proof returned with the read decides.
  const bool isFresh = age && std::min(*age, state.Lag) <= need.MaxAge;
  if (!isFresh)
    return {Verdict::TooOld, {}};
  const auto inclusion = view.history().includesAll(applied, need.Marks);
  if (inclusion == session::Inclusion::Included)
    return {Verdict::Eligible, {}};
  if (inclusion != session::Inclusion::Behind)
    return {inclusion == session::Inclusion::Lost ? Verdict::HistoryLost
                                                  : Verdict::Behind,
            {}};
  const auto newest = std::max_element(need.Marks.begin(), need.Marks.end());
  const auto reached = view.reachedAt(*newest).value_or(now);
  // NOTE: The replica was behind at its last observation, whatever its usual
  // lag is.
  const auto usual = reached + state.Lag + state.Lag / 4;
  const auto caughtUp =
      std::max(usual, state.QuerySentAt + state.Lag / 4 + MinCatchUp);
  if (caughtUp <= now)
    return {Verdict::Eligible, {}};
  return {Verdict::Behind, caughtUp};
}

RouteDecision ReadRouter::choose(const ReadNeed &need, const GroupView &view,
                                 const Loads &loads, TimePoint now,
                                 Random &random) const {
  RouteDecision decision;
  std::optional<std::size_t> primary;
  std::optional<WaitForCatchUp> catchUp;
  for (const auto &[id, state] : view.all()) {
    const auto evaluation = evaluate(need, view, id, state, now);
    const auto load = loads.find(id);
    ConsideredInstance entry{id,
                             evaluation.InstanceVerdict,
                             view.ageOf(state.Last.appliedMark(), now),
                             {}};
    if (evaluation.InstanceVerdict == Verdict::Eligible &&
        load != loads.end()) {
      entry.Cost = costOf(load->second, state.Health);
      if (!load->second.CanStart)
        entry.InstanceVerdict = Verdict::Busy;
      else if (state.Health < EjectedBelow)
        entry.InstanceVerdict = Verdict::Ejected;
    }
    const bool isSooner = evaluation.CaughtUpAt &&
                          (!catchUp || *evaluation.CaughtUpAt < catchUp->Until);
    if (isSooner)
      catchUp = WaitForCatchUp{id, *evaluation.CaughtUpAt};
    if (state.Last.Role == InstanceRole::Primary && isEligible(entry) &&
        view.primary() == id)
      primary = decision.Considered.size();
    decision.Considered.push_back(std::move(entry));
  }
  auto &considered = decision.Considered;

  // NOTE: If all usable instances are ejected, they are eligible again.
  if (eligibleIn(considered).empty())
    for (auto &it : considered)
      if (it.InstanceVerdict == Verdict::Ejected)
        it.InstanceVerdict = Verdict::Eligible;

  auto candidates = eligibleIn(considered);
  const bool hasReplica =
      std::any_of(candidates.begin(), candidates.end(),
                  [&](std::size_t n) { return primary != n; });
  if (hasReplica && primary)
    std::erase(candidates, *primary);

  const bool isShortWait = catchUp && catchUp->Until - now <= Config.CatchUp &&
                           catchUp->Until < need.Deadline;
  if (!hasReplica && isShortWait && !need.isCurrent()) {
    decision.Choice = *catchUp;
  } else if (!candidates.empty()) {
    const auto chosen = pickCheaperOfTwo(candidates, considered, random);
    considered[chosen].InstanceVerdict = Verdict::Chosen;
    decision.Choice = UseInstance{considered[chosen].Instance};
  } else if (anyHasVerdict(considered, Verdict::Busy)) {
    decision.Choice = WaitForCapacity{};
  } else if (anyHasVerdict(considered, Verdict::HistoryLost)) {
    decision.Choice = RefuseRead{ResultCode::HistoryLost};
  } else if (anyHasVerdict(considered, Verdict::Unconfirmed)) {
    decision.Choice = WaitForChange{ResultCode::PrimaryUnconfirmed};
  } else {
    decision.Choice =
        WaitForChange{need.isCurrent() ? ResultCode::NoPrimary
                                       : ResultCode::NoInstanceFreshEnough};
  }
  return decision;
}

Proof ReadRouter::prove(const ReadNeed &need, const GroupView &view,
                        const Observation &seen, TimePoint now) const {
  const auto applied = seen.appliedMark();
  const auto inclusion = view.history().includesAll(applied, need.Marks);
  if (inclusion == session::Inclusion::Lost)
    return Proof::HistoryLost;
  if (inclusion != session::Inclusion::Included)
    return Proof::Behind;
  if (need.isCurrent()) {
    const auto confirmed = view.confirmedAt(seen.Promised);
    const bool isConfirmed =
        confirmed && now - *confirmed <= Config.PrimaryConfirm;
    const bool isPrimary = seen.Role == InstanceRole::Primary &&
                           seen.Promised >= view.term() && isConfirmed;
    return isPrimary ? Proof::Holds : Proof::NotPrimary;
  }
  const auto age = view.ageOf(applied, now);
  return age && *age <= need.MaxAge ? Proof::Holds : Proof::TooOld;
}

} // namespace stepledge::routing
