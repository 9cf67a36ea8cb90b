// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "balancing/OutlierDetector.h"

#include <algorithm>
#include <cmath>

namespace stepledge::balancing {

namespace {

/// An instance below this weight has lost most of its reads.
constexpr double OutlierBelowWeight = 0.5;

double medianOf(std::vector<double> values, double otherwise) {
  if (values.empty())
    return otherwise;
  std::sort(values.begin(), values.end());
  const std::size_t half = values.size() / 2;
  return values.size() % 2 == 1 ? values[half]
                                : (values[half - 1] + values[half]) / 2;
}

} // namespace

void OutlierDetector::add(const InstanceId &id) {
  Observations.try_emplace(id);
}

void OutlierDetector::remove(const InstanceId &id) { Observations.erase(id); }

OutlierDetector::Estimate
OutlierDetector::estimate(TimePoint now, const Observation &observation) const {
  const auto age = static_cast<double>((now - observation.SampledAt).count());
  const double decay =
      std::exp2(-age / static_cast<double>(Options.HalfLife.count()));
  return {1.0 + (observation.Slowness - 1.0) * decay,
          observation.FailureRate * decay, observation.WeightedSamples * decay};
}

OutlierDetector::Estimate
OutlierDetector::siblingMedian(TimePoint now, const InstanceId &id) const {
  std::vector<double> slowness;
  std::vector<double> failures;
  for (const auto &[other, it] : Observations) {
    if (other == id)
      continue;
    const auto current = estimate(now, it);
    slowness.push_back(current.Slowness);
    failures.push_back(current.FailureRate);
  }
  return {medianOf(std::move(slowness), 1.0),
          medianOf(std::move(failures), 0.0), 0.0};
}

bool OutlierDetector::isSlowOutlier(TimePoint now, const InstanceId &id,
                                    const Observation &observation,
                                    bool isReduced) const {
  const double factor =
      isReduced ? Options.SlowExitFactor : Options.SlowEnterFactor;
  return estimate(now, observation).Slowness >
         factor * siblingMedian(now, id).Slowness;
}

bool OutlierDetector::isFailingOutlier(TimePoint now, const InstanceId &id,
                                       const Observation &observation,
                                       bool isReduced) const {
  const double more =
      isReduced ? Options.FailingExitMargin : Options.FailingEnterMargin;
  return estimate(now, observation).FailureRate >
         siblingMedian(now, id).FailureRate + more;
}

bool OutlierDetector::isOutlier(TimePoint now, const InstanceId &id,
                                const Observation &observation) const {
  if (Observations.size() < 2 || observation.Samples < Options.MinSamples)
    return false;
  const bool isReduced = observation.Weight < 1.0;
  return isFailingOutlier(now, id, observation, isReduced) ||
         isSlowOutlier(now, id, observation, isReduced);
}

double OutlierDetector::weightAfter(TimePoint now, Duration passed,
                                    const InstanceId &id,
                                    const Observation &observation) const {
  const auto time = static_cast<double>(passed.count());
  if (!isOutlier(now, id, observation))
    return std::min(
        1.0, observation.Weight +
                 time / static_cast<double>(Options.RecoveryTime.count()));
  // NOTE: a slow instance loses its share only by its answers, since a single
  // long statement looks the same.
  if (!isFailingOutlier(now, id, observation, true))
    return observation.Weight;
  const double left =
      std::exp2(-time / static_cast<double>(Options.FailingHalfLife.count()));
  return std::max(Options.MinWeight, observation.Weight * left);
}

double OutlierDetector::weight(const InstanceId &id) const {
  const auto it = Observations.find(id);
  return it == Observations.end() ? 1.0 : it->second.Weight;
}

bool OutlierDetector::isSlow(TimePoint now, const InstanceId &id) const {
  const auto it = Observations.find(id);
  return it != Observations.end() && it->second.Weight < 1.0 &&
         isSlowOutlier(now, id, it->second, true);
}

int OutlierDetector::outlierCount() const {
  return static_cast<int>(
      std::count_if(Observations.begin(), Observations.end(),
                    [](const auto &it) { return it.second.IsReported; }));
}

bool OutlierDetector::tryReserveReduction(TimePoint now, const InstanceId &id) {
  const int size = static_cast<int>(Observations.size());
  const int most =
      size < 2 ? 0
               : std::max(1, size / std::max(1, Options.InstancesPerOutlier));
  int reduced = 0;
  Observation *recovering = nullptr;
  for (auto &[other, it] : Observations) {
    if (other == id || it.Weight >= 1.0)
      continue;
    ++reduced;
    if (!isOutlier(now, other, it))
      recovering = &it;
  }
  if (reduced < most)
    return true;
  if (!recovering)
    return false;
  recovering->Weight = 1.0;
  return true;
}

void OutlierDetector::recordSample(TimePoint now, const InstanceId &id,
                                   double slowness, bool failed) {
  auto &it = Observations[id];
  const auto current = estimate(now, it);
  const double sample = std::min(slowness, Options.MaxSlowness);
  // NOTE: an instance that fails at once isn't fast: a failure doesn't show how
  // long the work takes.
  const double slowWeight = failed ? 0.0 : Options.SlownessWeight;
  it.Slowness = current.Slowness + (sample - current.Slowness) * slowWeight;
  const double failureWeight =
      std::max(Options.FailureWeight, 1.0 / (1.0 + current.WeightedSamples));
  it.FailureRate = current.FailureRate +
                   ((failed ? 1.0 : 0.0) - current.FailureRate) * failureWeight;
  it.WeightedSamples = current.WeightedSamples + 1.0;
  it.SampledAt = now;
  it.Samples = std::min(it.Samples + 1, Options.MinSamples);
  if (!isOutlier(now, id, it))
    return;
  const bool isBad = failed || sample > Options.SlowExitFactor *
                                            siblingMedian(now, id).Slowness;
  if (isBad && (it.Weight < 1.0 || tryReserveReduction(now, id)))
    it.Weight = std::max(Options.MinWeight, it.Weight * Options.BackoffFactor);
}

void OutlierDetector::noteAnswer(TimePoint now, const InstanceId &id,
                                 double slowness) {
  recordSample(now, id, slowness, false);
}

void OutlierDetector::noteFailure(TimePoint now, const InstanceId &id) {
  recordSample(now, id, 1.0, true);
}

std::vector<OutlierChange> OutlierDetector::review(TimePoint now) {
  std::vector<OutlierChange> changes;
  for (auto &[id, it] : Observations) {
    if (it.Weight < 1.0)
      it.Weight = weightAfter(now, now - ReviewedAt, id, it);
    const bool isReduced =
        it.Weight < OutlierBelowWeight || (it.IsReported && it.Weight < 1.0);
    if (isReduced == it.IsReported)
      continue;
    it.IsReported = isReduced;
    const auto own = estimate(now, it);
    const auto others = siblingMedian(now, id);
    changes.push_back({id, isReduced, own.Slowness, others.Slowness,
                       own.FailureRate, others.FailureRate});
  }
  ReviewedAt = now;
  return changes;
}

} // namespace stepledge::balancing
