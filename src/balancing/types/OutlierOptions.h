// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file When an instance is an outlier among its siblings, and how its share
/// of the reads is reduced.

#ifndef STEPLEDGE_BALANCING_TYPES_OUTLIEROPTIONS_H
#define STEPLEDGE_BALANCING_TYPES_OUTLIEROPTIONS_H

#include "base/types/Ids.h"
#include "base/types/Time.h"

namespace stepledge::balancing {

struct OutlierOptions {
  /// Weight of a new sample in the smoothed slowness: some ten answers
  /// distinguish a slow instance from a long statement, within the objective of
  /// the next.
  double SlownessWeight = 0.2;
  /// The same for failures, which are rarer and only yes or no. It is higher
  /// where few recent answers count, so that a VM with some reads per second
  /// needs only one or two failures.
  double FailureWeight = 0.1;
  /// Caps a single answer at this multiple of the usual time, so that one long
  /// statement doesn't make an instance slow.
  double MaxSlowness = 10.0;
  /// An instance is an outlier above this multiple of its siblings' slowness.
  /// Statements of one route differ by up to twice among themselves.
  double SlowEnterFactor = 2.5;
  /// While its share is reduced, an instance counts as an outlier above this
  /// multiple.
  double SlowExitFactor = 1.5;
  /// An instance is an outlier if this much more of its reads fail than of its
  /// siblings'. With many recent answers, two failures in a row reach it, one
  /// doesn't: a client's own error isn't enough.
  double FailingEnterMargin = 0.15;
  /// While its share is reduced, an instance counts as an outlier above this
  /// margin.
  double FailingExitMargin = 0.05;
  /// Number of answers below which an instance is never an outlier.
  int MinSamples = 5;
  /// Observations count half after this time without an answer, so that an
  /// instance that gets no reads is tried again.
  Duration HalfLife = milliseconds(2000);
  /// The minimum share of the reads that an instance keeps: these are the
  /// probes, real reads that may have to be sent again, so the share is half of
  /// what retries may be of all reads, one in twenty.
  double MinWeight = 0.025;
  /// Factor by which each bad answer of an outlier reduces its weight.
  double BackoffFactor = 0.5;
  /// The weight of a failing outlier also halves in this time without any
  /// answer: a VM that sends it few reads stops sending it most of them within
  /// half a second, as a VM that sends it many does.
  Duration FailingHalfLife = milliseconds(125);
  /// Time from zero to full weight: each VM raises the share gradually, so that
  /// an instance that has just recovered isn't saturated at once.
  Duration RecoveryTime = milliseconds(3000);
  /// One in this many instances of a group may have a reduced share, and at
  /// least one where there are two. The others must have the capacity for its
  /// reads.
  int InstancesPerOutlier = 3;
};

/// An instance has lost most of its reads, or has got all of them back.
struct OutlierChange {
  InstanceId Instance;
  bool IsOutlier = false;
  /// As multiples of the usual time: the instance's own, and the median of its
  /// siblings.
  double Slowness = 1.0;
  double SiblingSlowness = 1.0;
  /// The fraction of the reads that failed.
  double FailureRate = 0.0;
  double SiblingFailureRate = 0.0;
};

} // namespace stepledge::balancing

#endif // STEPLEDGE_BALANCING_TYPES_OUTLIEROPTIONS_H
