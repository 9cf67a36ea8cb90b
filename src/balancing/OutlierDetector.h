// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Which of the instances that may run the same reads answers them worse
/// than its siblings, as one VM sees it, and what share of them it keeps.

#ifndef STEPLEDGE_BALANCING_OUTLIERDETECTOR_H
#define STEPLEDGE_BALANCING_OUTLIERDETECTOR_H

#include "balancing/types/OutlierOptions.h"

#include <map>
#include <vector>

namespace stepledge::balancing {

class OutlierDetector {
public:
  explicit OutlierDetector(OutlierOptions options = {}) : Options(options) {}

  /// The instance may run reads from now on; nothing changes if it was known.
  void add(const InstanceId &id);
  void remove(const InstanceId &id);

  /// It ran a read in \p slowness times the usual time of such reads, or a
  /// read was moved on that had no answer for so long.
  void noteAnswer(TimePoint now, const InstanceId &id, double slowness);
  /// A read failed there, was refused or got no answer at all.
  void noteFailure(TimePoint now, const InstanceId &id);

  /// The share of its usual reads that the instance gets, from LeastWeight
  /// to 1.
  double weight(const InstanceId &id) const;
  /// It is held back, and its siblings answer in clearly less time.
  bool isSlow(TimePoint now, const InstanceId &id) const;
  /// How many have lost most of their reads and not got all of them back.
  int heldBack() const;
  /// Gives and takes shares as time passes, and tells who is held back or has
  /// returned since the last call.
  std::vector<OutlierChange> review(TimePoint now);

private:
  struct Sight {
    double Slowness = 1.0;
    double FailureRate = 0.0;
    int Samples = 0;
    /// Of all samples, those that still count, by their age.
    double Fresh = 0.0;
    TimePoint SampledAt{};
    double Weight = 1.0;
    /// It was told as held back, and not as returned since.
    bool IsTold = false;
  };
  /// A sight with its age taken into account.
  struct Judged {
    double Slowness = 1.0;
    double FailureRate = 0.0;
    double Fresh = 0.0;
  };

  Judged judge(TimePoint now, const Sight &sight) const;
  /// The median of all but \p id.
  Judged siblings(TimePoint now, const InstanceId &id) const;
  bool standsOutBySlowness(TimePoint now, const InstanceId &id,
                           const Sight &sight, bool isHeld) const;
  bool standsOutByFailures(TimePoint now, const InstanceId &id,
                           const Sight &sight, bool isHeld) const;
  bool standsOut(TimePoint now, const InstanceId &id, const Sight &sight) const;
  /// The weight after some time without an answer.
  double weightAfter(TimePoint now, Duration passed, const InstanceId &id,
                     const Sight &sight) const;
  void note(TimePoint now, const InstanceId &id, double slowness, bool failed);
  /// Another one may be held back, now or in the place of one that no longer
  /// stands out.
  bool makeRoom(TimePoint now, const InstanceId &id);

  OutlierOptions Options;
  std::map<InstanceId, Sight> Sights;
  TimePoint ReviewedAt{};
};

} // namespace stepledge::balancing

#endif // STEPLEDGE_BALANCING_OUTLIERDETECTOR_H
