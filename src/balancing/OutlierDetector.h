// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Detects which of the instances that may run the same reads answer them
/// worse than their siblings, as observed by one VM, and reduces their share of
/// the reads.

#ifndef STEPLEDGE_BALANCING_OUTLIERDETECTOR_H
#define STEPLEDGE_BALANCING_OUTLIERDETECTOR_H

#include "balancing/types/OutlierOptions.h"

#include <map>
#include <vector>

namespace stepledge::balancing {

class OutlierDetector {
public:
  explicit OutlierDetector(OutlierOptions options = {}) : Options(options) {}

  /// Adds an instance that may run reads from now on; does nothing if it is
  /// known.
  void add(const InstanceId &id);
  void remove(const InstanceId &id);

  /// Records a read that took \p slowness times the usual time of such reads,
  /// or that was moved to another instance after so long without an answer.
  /// Adds an unknown instance.
  void noteAnswer(TimePoint now, const InstanceId &id, double slowness);
  /// Records a read that failed there, was refused or got no answer at all.
  /// Adds an unknown instance.
  void noteFailure(TimePoint now, const InstanceId &id);

  /// The share of its usual reads that the instance gets, from MinWeight
  /// to 1.
  double weight(const InstanceId &id) const;
  /// Whether the instance has a reduced share and its siblings answer in
  /// clearly less time.
  bool isSlow(TimePoint now, const InstanceId &id) const;
  /// The number of instances that have lost most of their reads and not got all
  /// of them back.
  int outlierCount() const;
  /// Updates the shares as time passes, and returns the instances that have
  /// become outliers or recovered since the last call.
  std::vector<OutlierChange> review(TimePoint now);

private:
  struct Observation {
    double Slowness = 1.0;
    double FailureRate = 0.0;
    int Samples = 0;
    /// The number of samples, each weighted by its age.
    double WeightedSamples = 0.0;
    TimePoint SampledAt{};
    double Weight = 1.0;
    /// Whether the instance was returned as an outlier, and not as recovered
    /// since.
    bool IsReported = false;
  };
  /// An observation discounted by its age.
  struct Estimate {
    double Slowness = 1.0;
    double FailureRate = 0.0;
    double WeightedSamples = 0.0;
  };

  Estimate estimate(TimePoint now, const Observation &observation) const;
  /// The median over all instances except \p id.
  Estimate siblingMedian(TimePoint now, const InstanceId &id) const;
  bool isSlowOutlier(TimePoint now, const InstanceId &id,
                     const Observation &observation, bool isReduced) const;
  bool isFailingOutlier(TimePoint now, const InstanceId &id,
                        const Observation &observation, bool isReduced) const;
  bool isOutlier(TimePoint now, const InstanceId &id,
                 const Observation &observation) const;
  /// The weight after some time without an answer.
  double weightAfter(TimePoint now, Duration passed, const InstanceId &id,
                     const Observation &observation) const;
  void recordSample(TimePoint now, const InstanceId &id, double slowness,
                    bool failed);
  /// Whether one more instance may get a reduced share. If as many as allowed
  /// have one, this restores the share of one that is no longer an outlier.
  bool tryReserveReduction(TimePoint now, const InstanceId &id);

  OutlierOptions Options;
  std::map<InstanceId, Observation> Observations;
  TimePoint ReviewedAt{};
};

} // namespace stepledge::balancing

#endif // STEPLEDGE_BALANCING_OUTLIERDETECTOR_H
