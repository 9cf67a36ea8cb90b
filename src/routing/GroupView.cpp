// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "routing/GroupView.h"

#include <algorithm>

namespace stepledge::routing {

namespace {

constexpr std::size_t MaxSamples = 2048;
constexpr Duration MinSampleSpacing = milliseconds(2);
constexpr int LagSmoothing = 4;
constexpr double HealthFactorOnFailure = 0.5;
constexpr double HealthStepOnSuccess = 0.1;

} // namespace

GroupView::GroupView(const std::vector<InstanceId> &instances) {
  for (const auto &it : instances)
    States[it];
}

void GroupView::observe(const InstanceId &instance,
                        const Observation &observation, TimePoint sentAt,
                        TimePoint now) {
  const auto it = States.find(instance);
  if (it == States.end())
    return;
  auto &state = it->second;
  // NOTE: Answers on several connections may arrive out of order; an older one
  // is ignored.
  if (state.Seen && sentAt < state.QuerySentAt)
    return;
  updateHistory(observation);
  state.Last = observation;
  state.Seen = true;
  state.QuerySentAt = sentAt;
  state.AnsweredAt = now;
  state.PromiseObservedAt = sentAt;
  noteLeaving(state, now);
  if (observation.Role == InstanceRole::Primary &&
      observation.Promised >= CurrentTerm)
    addSample(observation.appliedMark(), sentAt);
  if (const auto age = ageOf(observation.appliedMark(), now))
    state.Lag += (*age - state.Lag) / LagSmoothing;
}

// NOTE: A primary that is lost before a majority has an entry of its term
// leaves a term that the next primary's log lacks. So the history is that of
// the newest log alone, never a union of several.
void GroupView::updateHistory(const Observation &observation) {
  if (observation.LogTerm < CurrentTerm || observation.History.empty())
    return;
  if (observation.LogTerm > CurrentTerm)
    History.clear();
  CurrentTerm = observation.LogTerm;
  for (const auto &it : observation.History)
    History.addTerm(it.Began, it.After);
}

std::optional<Mark> GroupView::firstMarkOfTerm() const {
  const auto start = History.startOf(CurrentTerm);
  if (!start)
    return std::nullopt;
  return Mark{CurrentTerm, LogPosition{start->Offset + 1}};
}

bool GroupView::isDiscarded(Mark mark) const {
  const auto first = firstMarkOfTerm();
  if (!first || mark.WrittenIn >= CurrentTerm)
    return false;
  return isHeldByMajority(*first) &&
         History.includes(*first, mark) == session::Inclusion::Lost;
}

void GroupView::setLeaving(const InstanceId &instance, bool leaving,
                           TimePoint now) {
  const auto it = States.find(instance);
  if (it == States.end())
    return;
  it->second.Leaving = leaving;
  noteLeaving(it->second, now);
}

// The instance is leaving if either flag is set.
void GroupView::noteLeaving(InstanceState &state, TimePoint now) {
  if (!state.Leaving && !state.Last.Leaving)
    state.LeavingSince.reset();
  else if (!state.LeavingSince)
    state.LeavingSince = now;
}

std::optional<Duration> GroupView::leavingFor(const InstanceId &instance,
                                              TimePoint now) const {
  const auto since = of(instance).LeavingSince;
  if (!since)
    return std::nullopt;
  return now - *since;
}

void GroupView::addSample(Mark position, TimePoint sentAt) {
  if (!Samples.empty()) {
    auto &last = Samples.back();
    if (position == last.Position) {
      last.LastSeen = std::max(last.LastSeen, sentAt);
      return;
    }
    if (position < last.Position)
      return;
    // NOTE: At a high write rate, a sample within the spacing replaces the one
    // before, which can only overestimate ages.
    const bool close =
        Samples.size() > 1 &&
        sentAt - Samples[Samples.size() - 2].FirstSeen < MinSampleSpacing;
    if (close) {
      last = {position, sentAt, sentAt};
      return;
    }
  }
  Samples.push_back({position, sentAt, sentAt});
  if (Samples.size() > MaxSamples)
    Samples.pop_front();
}

void GroupView::noteFailure(const InstanceId &instance) {
  if (const auto it = States.find(instance); it != States.end())
    it->second.Health *= HealthFactorOnFailure;
}

void GroupView::noteSuccess(const InstanceId &instance) {
  if (const auto it = States.find(instance); it != States.end())
    it->second.Health = std::min(1.0, it->second.Health + HealthStepOnSuccess);
}

const InstanceState &GroupView::of(const InstanceId &instance) const {
  static const InstanceState nothing;
  const auto it = States.find(instance);
  return it == States.end() ? nothing : it->second;
}

std::optional<InstanceId> GroupView::primary() const {
  std::optional<InstanceId> found;
  Term best;
  for (const auto &[id, state] : States) {
    const bool isPrimary =
        state.Seen && state.Last.Role == InstanceRole::Primary;
    if (isPrimary && state.Last.Promised > best) {
      best = state.Last.Promised;
      found = id;
    }
  }
  const auto beyond =
      std::count_if(States.begin(), States.end(), [best](const auto &it) {
        return it.second.Last.Promised > best;
      });
  if (beyond >= majority())
    return std::nullopt;
  return found;
}

std::optional<TimePoint> GroupView::confirmedAt(Term term) const {
  std::vector<TimePoint> times;
  for (const auto &[id, state] : States)
    if (state.Seen && state.Last.Promised == term)
      times.push_back(state.PromiseObservedAt);
  const auto needed = static_cast<std::size_t>(majority());
  if (times.size() < needed)
    return std::nullopt;
  std::sort(times.rbegin(), times.rend());
  return times[needed - 1];
}

std::optional<Duration> GroupView::ageOf(Mark applied, TimePoint now) const {
  const auto after =
      std::upper_bound(Samples.begin(), Samples.end(), applied,
                       [](const Mark &mark, const Sample &sample) {
                         return mark < sample.Position;
                       });
  if (after == Samples.begin())
    return std::nullopt;
  if (applied.WrittenIn < CurrentTerm) {
    // NOTE: A log that continued past the start of a later term has entries
    // that were lost, so no age is valid for it.
    const auto inclusion =
        History.includes({CurrentTerm, applied.Position}, applied);
    if (inclusion != session::Inclusion::Included)
      return std::nullopt;
  }
  const auto &sample = *std::prev(after);
  auto freshAt = sample.LastSeen;
  // NOTE: A primary that was replaced while this hall was partitioned still
  // answers here. Only a majority's promises prove that its log was the newest.
  if (sample.Position.WrittenIn == CurrentTerm) {
    const auto confirmed = confirmedAt(CurrentTerm);
    if (!confirmed)
      return std::nullopt;
    freshAt = std::min(freshAt, *confirmed);
  }
  return std::max(Duration{0}, now - freshAt);
}

std::optional<TimePoint> GroupView::reachedAt(Mark mark) const {
  const auto it =
      std::lower_bound(Samples.begin(), Samples.end(), mark,
                       [](const Sample &sample, const Mark &wanted) {
                         return sample.Position < wanted;
                       });
  if (it == Samples.end())
    return std::nullopt;
  return it->FirstSeen;
}

int GroupView::holderCount(Mark mark) const {
  int n = 0;
  for (const auto &[id, state] : States) {
    const auto &last = state.Last;
    const bool isCurrent = state.Seen && last.Promised == last.LogTerm &&
                           last.LogTerm == CurrentTerm;
    if (isCurrent && History.includes(last.durableMark(), mark) ==
                         session::Inclusion::Included)
      ++n;
  }
  return n;
}

bool GroupView::isHeldByMajority(Mark mark) const {
  return holderCount(mark) >= majority();
}

} // namespace stepledge::routing
