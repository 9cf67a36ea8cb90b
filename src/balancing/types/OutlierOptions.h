// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file When an instance stands out among its siblings, and what that costs
/// it.

#ifndef STEPLEDGE_BALANCING_TYPES_OUTLIEROPTIONS_H
#define STEPLEDGE_BALANCING_TYPES_OUTLIEROPTIONS_H

#include "base/types/Ids.h"
#include "base/types/Time.h"

namespace stepledge::balancing {

struct OutlierOptions {
  /// Weight of a new sample in the smoothed slowness: some ten answers tell a
  /// slow instance from a long statement, within the objective of the next.
  double SlownessWeight = 0.2;
  /// The same for failures, which are rarer and say yes or no only; more where
  /// fewer answers of late count, so that a VM with some reads a second learns
  /// from one or two failures.
  double FailureWeight = 0.1;
  /// A single answer counts as this many times the usual at most, so that one
  /// long statement doesn't make an instance slow.
  double MostSlowness = 10.0;
  /// An instance stands out from this many times its siblings' slowness on.
  /// Statements of one route differ by up to twice among themselves.
  double SlowFrom = 2.5;
  /// One that is held back stands out until it is below this.
  double SlowUntil = 1.5;
  /// It stands out if this much more of its reads fail than of its siblings'.
  /// Two failures in a row reach it, one doesn't: a client's own error isn't
  /// enough.
  double FailingFrom = 0.15;
  /// One that is held back stands out until it is below this.
  double FailingUntil = 0.05;
  /// Fewer answers than this say nothing yet.
  int LeastSamples = 5;
  /// What was seen counts half after this time without an answer, so that an
  /// instance that nobody asks is tried again.
  Duration HalfLife = milliseconds(2000);
  /// The least share of the reads that an instance keeps: these are the probes,
  /// real reads that may have to be sent again, so half of what second tries
  /// may be of all reads, one in twenty.
  double LeastWeight = 0.025;
  /// A bad answer of an instance that stands out takes this part of its weight.
  double Backoff = 0.5;
  /// The weight of one that stands out by failures also halves in this time
  /// without any answer: a VM that asks it seldom has lost most of its failing
  /// reads to it within half a second, as one that asks it often.
  Duration FailingHalfTime = milliseconds(125);
  /// From no weight back to the whole one: each VM gives more by degrees, so
  /// that an instance that has just recovered isn't filled at once.
  Duration ReturnTime = milliseconds(3000);
  /// Of a group, one in so many may be held back; one at least where there are
  /// two. The others must have the room for its reads.
  int GroupPerHeld = 3;
};

/// An instance has lost most of its reads, or has all of them again.
struct OutlierChange {
  InstanceId Instance;
  bool IsHeldBack = false;
  /// In times of the usual work, and the siblings' median of the same.
  double Slowness = 1.0;
  double SiblingSlowness = 1.0;
  /// The part of the reads that failed.
  double FailureRate = 0.0;
  double SiblingFailureRate = 0.0;
};

} // namespace stepledge::balancing

#endif // STEPLEDGE_BALANCING_TYPES_OUTLIEROPTIONS_H
