// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "proxy/internal/InstanceTracker.h"

#include "membership/InstanceDirectory.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace stepledge::proxy {

using membership::InstanceRole;
using membership::InstanceState;

namespace {

/// Weight of a new sample in the smoothed answer time.
constexpr double SampleWeight = 0.1;
/// Added to the cost of an instance in another hall, in ms: two hops of about
/// 1.5 ms, and the price of the bytes between halls, which keeps light load in
/// its hall.
constexpr double OtherHallCost = 12.0;
/// Added where an instance may not have the position yet, in ms: a refusal for
/// this costs a round trip and a second choice.
constexpr double LaggingCost = 40.0;
/// Added for the primary, in ms, so that its slots are left to writes. While it
/// has capacity this is less than OtherHallCost, so that reads stay in its
/// hall.
constexpr double PrimaryCost = 5.0;
/// The same where the primary takes longer than usual to answer.
constexpr double BusyPrimaryCost = 25.0;
/// Multiple of its usual answer time from which the primary counts as busy.
constexpr double BusyPrimaryFactor = 1.2;
/// A read that has waited for an outlier's service time divided by this may go
/// to the outlier: while the siblings have capacity, few reads wait so long.
constexpr int OverflowDivisor = 4;
/// Half-life of an estimated lag without a new report, so that an instance that
/// has caught up is detected.
constexpr Duration LagHalfLife = milliseconds(1000);
/// Weight of a new sample in the smoothed lag.
constexpr double LagWeight = 0.3;
/// After an instance refused a read for its position, no such read is sent to
/// it for this long: half of the usual lag of a replica.
constexpr Duration MinLagBackoff = milliseconds(25);
/// The backoff doubles up to this limit, which bounds how late an instance that
/// has caught up is detected. Without the backoff each read of a service whose
/// replicas all lag is refused twice first, which costs traffic.
constexpr Duration MaxLagBackoff = milliseconds(400);
/// A leaving primary that has no successor yet is used for this long: the
/// platform lets leaving instances take work for at least 7 s, less the time
/// until the report of leaving arrives.
constexpr Duration LeavingUseTime = milliseconds(5500);
/// How long an instance that failed isn't chosen while others are available.
constexpr Duration AvoidPause = milliseconds(1000);
/// How long no write is sent to an instance that refused one, if another could
/// be the primary.
constexpr Duration NotPrimaryPause = milliseconds(300);
/// Proofs are kept this long; the longest staleness of a route is below it.
constexpr Duration ProofLifetime = milliseconds(20000);
/// Two proofs closer than this are kept as one.
constexpr Duration ProofSpacing = milliseconds(10);

} // namespace

bool InstanceTracker::acceptsNewWork(TimePoint now,
                                     const TrackedInstance &instance) {
  return !instance.LeavingSince ||
         now - *instance.LeavingSince < LeavingUseTime;
}

bool InstanceTracker::update(TimePoint now,
                             const membership::InstanceRecord &record) {
  const auto [found, isNew] = Instances.try_emplace(record.Id);
  auto &it = found->second;
  const auto next = isNew ? record : membership::merged(it.Record, record);
  const bool isLaterIncarnation =
      !isNew && next.StartTimeMs > it.Record.StartTimeMs;
  if (isLaterIncarnation) {
    it = {};
    Outliers.remove(record.Id);
    if (ProvenPrimary == record.Id)
      ProvenPrimary.reset();
  }
  it.Record = next;
  if (next.State != InstanceState::Ready && !it.LeavingSince)
    it.LeavingSince = now;
  if (next.State == InstanceState::Ready)
    Outliers.add(record.Id);
  else
    Outliers.remove(record.Id);
  if (next.State == InstanceState::Gone)
    Instances.erase(found);
  return isLaterIncarnation;
}

void InstanceTracker::remove(const InstanceId &id) {
  Instances.erase(id);
  Outliers.remove(id);
}

void InstanceTracker::notePromotion(const Promotion &promotion) {
  if (promotion.Fence <= Promoted.Fence)
    return;
  Promoted = promotion;
  ProvenPrimary.reset();
  if (auto *it = find(promotion.Instance))
    it->NotPrimaryUntil = {};
}

TrackedInstance *InstanceTracker::find(const InstanceId &id) {
  const auto it = Instances.find(id);
  return it == Instances.end() ? nullptr : &it->second;
}

bool InstanceTracker::canBePrimary(
    const membership::InstanceRecord &record) const {
  if (!record.HasRestarted || isPromoted(record))
    return true;
  return std::none_of(
      Instances.begin(), Instances.end(), [](const auto &other) {
        const auto &it = other.second.Record;
        return it.State == InstanceState::Ready && !it.HasRestarted;
      });
}

bool InstanceTracker::isSaidToLead(const TrackedInstance &instance) const {
  const auto &record = instance.Record;
  return isPromoted(record) ||
         (record.Role == InstanceRole::Primary && canBePrimary(record));
}

template <typename Predicate>
const TrackedInstance *InstanceTracker::saidToLead(Predicate isAllowed) const {
  const TrackedInstance *best = nullptr;
  for (const auto &[id, it] : Instances) {
    if (!isSaidToLead(it) || !isAllowed(it))
      continue;
    if (isPromoted(it.Record))
      return &it;
    if (!best || it.Position > best->Position)
      best = &it;
  }
  return best;
}

std::optional<InstanceId> InstanceTracker::primary(TimePoint now) const {
  const auto proven =
      ProvenPrimary ? Instances.find(*ProvenPrimary) : Instances.end();
  if (proven != Instances.end() && isUsable(now, proven->second))
    return ProvenPrimary;
  const auto *usable =
      saidToLead([&](const auto &it) { return isUsable(now, it); });
  if (usable)
    return usable->Record.Id;
  // NOTE: control learns that one is lost only if VMs report on it.
  const auto *unusable = saidToLead([&](const auto &it) {
    return isPromoted(it.Record) || it.NotPrimaryUntil <= now;
  });
  return unusable ? std::optional(unusable->Record.Id) : std::nullopt;
}

std::optional<Duration> InstanceTracker::unledFor(TimePoint now) {
  if (Instances.empty() || primary(now)) {
    UnledSince.reset();
    return std::nullopt;
  }
  if (!UnledSince)
    UnledSince = now;
  return now - *UnledSince;
}

bool InstanceTracker::takeSearch(TimePoint now, Duration interval) {
  if (now - SearchedAt < interval)
    return false;
  SearchedAt = now;
  return true;
}

bool InstanceTracker::mayHaveTakenOver(TimePoint now,
                                       const InstanceId &id) const {
  const auto it = Instances.find(id);
  return it != Instances.end() && primary(now) != id &&
         isSaidToLead(it->second);
}

bool InstanceTracker::isPrimaryDenied(TimePoint now) const {
  return !ProvenPrimary &&
         std::any_of(Instances.begin(), Instances.end(), [&](const auto &it) {
           return it.second.NotPrimaryUntil > now;
         });
}

Duration InstanceTracker::lagOf(TimePoint now, const Mark &position) const {
  // The primary's log ended after the position in the proof `beyond`, and at or
  // before it in the proof before that: the lag lies between their ages.
  const auto beyond =
      std::upper_bound(Proofs.begin(), Proofs.end(), position,
                       [](const Mark &mark, const PositionProof &it) {
                         return mark < it.Position;
                       });
  const Duration least =
      beyond == Proofs.end() ? Duration{} : now - beyond->SentAt;
  const Duration most = beyond == Proofs.begin()
                            ? ProofLifetime
                            : now - std::prev(beyond)->SentAt;
  return (least + most) / 2;
}

bool InstanceTracker::isExpectedAt(TimePoint now,
                                   const TrackedInstance &instance,
                                   const Mark &minimum) const {
  // NOTE: an instance that was never asked reports its position in its first
  // answer.
  if (!instance.Position || *instance.Position >= minimum)
    return true;
  const auto age = static_cast<double>((now - instance.PositionAt).count());
  const double decay =
      std::exp2(-age / static_cast<double>(LagHalfLife.count()));
  const Duration lag(static_cast<std::int64_t>(
      static_cast<double>(instance.Lag.count()) * decay));
  const auto proof = std::find_if(
      Proofs.rbegin(), Proofs.rend(),
      [&](const PositionProof &it) { return it.SentAt <= now - lag; });
  return proof != Proofs.rend() && proof->Position >= minimum;
}

bool InstanceTracker::isKnownLagging(TimePoint now,
                                     const TrackedInstance &instance,
                                     const Mark &minimum) {
  return instance.RefusedPosition && minimum >= *instance.RefusedPosition &&
         instance.LagBackoffUntil > now;
}

double InstanceTracker::readCost(TimePoint now, const TrackedInstance &instance,
                                 const Mark &minimum) const {
  const int slots = std::max(1, instance.Record.Slots);
  const double rounds = 1.0 + static_cast<double>(instance.Statements) / slots;
  double cost = toMilliseconds(assumedServiceTime(instance)) * rounds;
  if (instance.Record.Hall != OwnHall)
    cost += OtherHallCost;
  if (!isExpectedAt(now, instance, minimum))
    cost += LaggingCost;
  if (primary(now) == instance.Record.Id)
    cost += instance.Running.congestion() < BusyPrimaryFactor ? PrimaryCost
                                                              : BusyPrimaryCost;
  return cost;
}

Duration
InstanceTracker::assumedServiceTime(const TrackedInstance &instance) const {
  Duration time = instance.ServiceTime;
  if (Outliers.weight(instance.Record.Id) < 1.0)
    for (const auto &[id, it] : Instances)
      time = std::min(time, it.ServiceTime);
  return time;
}

void InstanceTracker::demoteOutliers(TimePoint now, const Mark &minimum,
                                     const ReadDraw &draw,
                                     std::vector<InstanceId> &ids) const {
  const auto isAssigned = [&](const InstanceId &id) {
    return draw.Chance < Outliers.weight(id);
  };
  // NOTE: no outlier is left out in favour of an instance that lacks the
  // position.
  const bool hasSibling = std::any_of(ids.begin(), ids.end(), [&](auto &id) {
    return isAssigned(id) && isExpectedAt(now, Instances.at(id), minimum);
  });
  if (!hasSibling)
    return;
  const auto demoted =
      std::stable_partition(ids.begin(), ids.end(), isAssigned);
  // NOTE: the siblings have no capacity for a read that has waited.
  ids.erase(std::remove_if(demoted, ids.end(),
                           [&](const InstanceId &id) {
                             return draw.Waited < Instances.at(id).ServiceTime /
                                                      OverflowDivisor;
                           }),
            ids.end());
}

std::vector<InstanceId>
InstanceTracker::readCandidates(TimePoint now, const Mark &minimum,
                                const std::set<InstanceId> &tried,
                                const ReadDraw &draw) const {
  std::vector<std::pair<double, InstanceId>> ranked;
  // NOTE: an instance that failed recently is still better than none.
  for (const bool isAvoided : {false, true}) {
    for (const auto &[id, it] : Instances) {
      const bool isLeaving = it.Record.State != InstanceState::Ready;
      if (tried.contains(id) || isLeaving || (it.AvoidUntil > now) != isAvoided)
        continue;
      if (isKnownLagging(now, it, minimum))
        continue;
      ranked.emplace_back(readCost(now, it, minimum), id);
    }
    if (!ranked.empty())
      break;
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<InstanceId> ids;
  ids.reserve(ranked.size());
  for (auto &it : ranked)
    ids.push_back(std::move(it.second));
  demoteOutliers(now, minimum, draw, ids);
  return ids;
}

void InstanceTracker::notePosition(TimePoint now, const InstanceId &id,
                                   const Mark &position) {
  auto *it = find(id);
  if (!it || (it->Position && *it->Position > position))
    return;
  if (it->RefusedPosition && position >= *it->RefusedPosition) {
    it->RefusedPosition.reset();
    it->LagBackoff = {};
  }
  const bool isFirst = !it->Position;
  const auto sample = static_cast<double>(lagOf(now, position).count());
  const auto old = static_cast<double>(it->Lag.count());
  it->Lag = Duration(static_cast<std::int64_t>(
      isFirst ? sample : old + (sample - old) * LagWeight));
  it->Position = position;
  it->PositionAt = now;
}

void InstanceTracker::noteProof(TimePoint sentAt, const InstanceId &id,
                                const Mark &position) {
  if (const auto *it = find(id); it && !canBePrimary(it->Record))
    return;
  ProvenPrimary = id;
  // A newer term starts a new history: older proofs may name lost commits.
  if (!Proofs.empty() && Proofs.back().Position.WrittenIn < position.WrittenIn)
    Proofs.clear();
  if (!Proofs.empty() && (position < Proofs.back().Position ||
                          sentAt < Proofs.back().SentAt + ProofSpacing))
    return;
  Proofs.push_back({sentAt, position});
  while (Proofs.front().SentAt + ProofLifetime < sentAt)
    Proofs.pop_front();
}

std::optional<Mark> InstanceTracker::coveringPosition(TimePoint time) const {
  const auto it = std::lower_bound(
      Proofs.begin(), Proofs.end(), time,
      [](const PositionProof &proof, TimePoint t) { return proof.SentAt < t; });
  if (it == Proofs.end())
    return std::nullopt;
  return it->Position;
}

std::optional<TimePoint> InstanceTracker::newestProofAt() const {
  if (Proofs.empty())
    return std::nullopt;
  return Proofs.back().SentAt;
}

void InstanceTracker::noteAnswer(TimePoint now, const InstanceId &id,
                                 Duration took) {
  auto *it = find(id);
  if (!it)
    return;
  it->SilentSince.reset();
  it->LastAnswerAt = now;
  it->AvoidUntil = std::min(it->AvoidUntil, now);
  const double smoothed =
      static_cast<double>(it->ServiceTime.count()) * (1.0 - SampleWeight) +
      static_cast<double>(took.count()) * SampleWeight;
  it->ServiceTime = Duration(static_cast<std::int64_t>(smoothed));
}

void InstanceTracker::noteRefusal(TimePoint now, const InstanceId &id) {
  if (auto *it = find(id))
    it->AvoidUntil = std::min(it->AvoidUntil, now);
}

void InstanceTracker::noteSilence(TimePoint now, const InstanceId &id) {
  auto *it = find(id);
  if (!it)
    return;
  it->AvoidUntil = now + AvoidPause;
  if (!it->SilentSince)
    it->SilentSince = now;
}

void InstanceTracker::clearSilence(const InstanceId &id) {
  auto *it = find(id);
  if (!it)
    return;
  it->SilentSince.reset();
  it->AvoidUntil = {};
  it->IsDirectPathLost = false;
}

void InstanceTracker::noteNotPrimary(TimePoint now, const InstanceId &id) {
  if (ProvenPrimary == id)
    ProvenPrimary.reset();
  if (auto *it = find(id))
    it->NotPrimaryUntil = now + NotPrimaryPause;
}

void InstanceTracker::noteDisplaced(const InstanceId &id) {
  if (auto *it = find(id))
    it->IsDisplaced = true;
}

void InstanceTracker::noteReached(const InstanceId &id) {
  if (auto *it = find(id))
    it->IsDisplaced = false;
}

void InstanceTracker::noteLagging(TimePoint now, const InstanceId &id,
                                  const Mark &minimum) {
  auto *it = find(id);
  if (!it)
    return;
  it->RefusedPosition =
      it->RefusedPosition ? std::min(*it->RefusedPosition, minimum) : minimum;
  it->LagBackoff = std::clamp(2 * it->LagBackoff, MinLagBackoff, MaxLagBackoff);
  it->LagBackoffUntil = now + it->LagBackoff;
}

} // namespace stepledge::proxy
