// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "balancing/OutlierDetector.h"

#include <algorithm>
#include <cmath>

namespace stepledge::balancing {

namespace {

/// An instance below this weight has lost most of its reads.
constexpr double HeldBelow = 0.5;

double medianOf(std::vector<double> values, double otherwise) {
  if (values.empty())
    return otherwise;
  std::sort(values.begin(), values.end());
  const std::size_t half = values.size() / 2;
  return values.size() % 2 == 1 ? values[half]
                                : (values[half - 1] + values[half]) / 2;
}

} // namespace

void OutlierDetector::add(const InstanceId &id) { Sights.try_emplace(id); }

void OutlierDetector::remove(const InstanceId &id) { Sights.erase(id); }

OutlierDetector::Judged OutlierDetector::judge(TimePoint now,
                                               const Sight &sight) const {
  const auto age = static_cast<double>((now - sight.SampledAt).count());
  const double kept =
      std::exp2(-age / static_cast<double>(Options.HalfLife.count()));
  return {1.0 + (sight.Slowness - 1.0) * kept, sight.FailureRate * kept,
          sight.Fresh * kept};
}

OutlierDetector::Judged OutlierDetector::siblings(TimePoint now,
                                                  const InstanceId &id) const {
  std::vector<double> slowness;
  std::vector<double> failures;
  for (const auto &[other, it] : Sights) {
    if (other == id)
      continue;
    const auto judged = judge(now, it);
    slowness.push_back(judged.Slowness);
    failures.push_back(judged.FailureRate);
  }
  return {medianOf(std::move(slowness), 1.0),
          medianOf(std::move(failures), 0.0), 0.0};
}

bool OutlierDetector::standsOutBySlowness(TimePoint now, const InstanceId &id,
                                          const Sight &sight,
                                          bool isHeld) const {
  const double factor = isHeld ? Options.SlowUntil : Options.SlowFrom;
  return judge(now, sight).Slowness > factor * siblings(now, id).Slowness;
}

bool OutlierDetector::standsOutByFailures(TimePoint now, const InstanceId &id,
                                          const Sight &sight,
                                          bool isHeld) const {
  const double more = isHeld ? Options.FailingUntil : Options.FailingFrom;
  return judge(now, sight).FailureRate > siblings(now, id).FailureRate + more;
}

bool OutlierDetector::standsOut(TimePoint now, const InstanceId &id,
                                const Sight &sight) const {
  if (Sights.size() < 2 || sight.Samples < Options.LeastSamples)
    return false;
  const bool isHeld = sight.Weight < 1.0;
  return standsOutByFailures(now, id, sight, isHeld) ||
         standsOutBySlowness(now, id, sight, isHeld);
}

double OutlierDetector::weightAfter(TimePoint now, Duration passed,
                                    const InstanceId &id,
                                    const Sight &sight) const {
  const auto time = static_cast<double>(passed.count());
  if (!standsOut(now, id, sight))
    return std::min(1.0, sight.Weight + time / static_cast<double>(
                                                   Options.ReturnTime.count()));
  // NOTE: a slow instance loses its share only by its answers, since a single
  // long statement looks the same.
  if (!standsOutByFailures(now, id, sight, true))
    return sight.Weight;
  const double left =
      std::exp2(-time / static_cast<double>(Options.FailingHalfTime.count()));
  return std::max(Options.LeastWeight, sight.Weight * left);
}

double OutlierDetector::weight(const InstanceId &id) const {
  const auto it = Sights.find(id);
  return it == Sights.end() ? 1.0 : it->second.Weight;
}

bool OutlierDetector::isSlow(TimePoint now, const InstanceId &id) const {
  const auto it = Sights.find(id);
  return it != Sights.end() && it->second.Weight < 1.0 &&
         standsOutBySlowness(now, id, it->second, true);
}

int OutlierDetector::heldBack() const {
  return static_cast<int>(
      std::count_if(Sights.begin(), Sights.end(),
                    [](const auto &it) { return it.second.IsTold; }));
}

bool OutlierDetector::makeRoom(TimePoint now, const InstanceId &id) {
  const int size = static_cast<int>(Sights.size());
  const int most =
      size < 2 ? 0 : std::max(1, size / std::max(1, Options.GroupPerHeld));
  int held = 0;
  Sight *recovering = nullptr;
  for (auto &[other, it] : Sights) {
    if (other == id || it.Weight >= 1.0)
      continue;
    ++held;
    if (!standsOut(now, other, it))
      recovering = &it;
  }
  if (held < most)
    return true;
  if (!recovering)
    return false;
  recovering->Weight = 1.0;
  return true;
}

void OutlierDetector::note(TimePoint now, const InstanceId &id, double slowness,
                           bool failed) {
  auto &it = Sights[id];
  const auto judged = judge(now, it);
  const double sample = std::min(slowness, Options.MostSlowness);
  // NOTE: an instance that fails at once isn't fast: a failure doesn't show how
  // long the work takes.
  const double slowWeight = failed ? 0.0 : Options.SlownessWeight;
  it.Slowness = judged.Slowness + (sample - judged.Slowness) * slowWeight;
  const double failureWeight =
      std::max(Options.FailureWeight, 1.0 / (1.0 + judged.Fresh));
  it.FailureRate = judged.FailureRate +
                   ((failed ? 1.0 : 0.0) - judged.FailureRate) * failureWeight;
  it.Fresh = judged.Fresh + 1.0;
  it.SampledAt = now;
  it.Samples = std::min(it.Samples + 1, Options.LeastSamples);
  if (!standsOut(now, id, it))
    return;
  const bool isBad =
      failed || sample > Options.SlowUntil * siblings(now, id).Slowness;
  if (isBad && (it.Weight < 1.0 || makeRoom(now, id)))
    it.Weight = std::max(Options.LeastWeight, it.Weight * Options.Backoff);
}

void OutlierDetector::noteAnswer(TimePoint now, const InstanceId &id,
                                 double slowness) {
  note(now, id, slowness, false);
}

void OutlierDetector::noteFailure(TimePoint now, const InstanceId &id) {
  note(now, id, 1.0, true);
}

std::vector<OutlierChange> OutlierDetector::review(TimePoint now) {
  std::vector<OutlierChange> changes;
  for (auto &[id, it] : Sights) {
    if (it.Weight < 1.0)
      it.Weight = weightAfter(now, now - ReviewedAt, id, it);
    const bool isHeldBack =
        it.Weight < HeldBelow || (it.IsTold && it.Weight < 1.0);
    if (isHeldBack == it.IsTold)
      continue;
    it.IsTold = isHeldBack;
    const auto own = judge(now, it);
    const auto others = siblings(now, id);
    changes.push_back({id, isHeldBack, own.Slowness, others.Slowness,
                       own.FailureRate, others.FailureRate});
  }
  ReviewedAt = now;
  return changes;
}

} // namespace stepledge::balancing
