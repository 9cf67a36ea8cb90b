// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Estimates how long a borrow that arrives now would wait in the queue
/// for connections to one instance.

#ifndef STEPLEDGE_OVERLOAD_QUEUELOAD_H
#define STEPLEDGE_OVERLOAD_QUEUELOAD_H

#include "base/types/Time.h"
#include "overload/types/Urgency.h"

#include <map>

namespace stepledge::overload {

struct QueueLoadOptions {
  /// Weight of a new sample in the smoothed hold time: averages over some tens
  /// of borrows, so that a few long ones don't look like an overload.
  double HoldTimeWeight = 0.05;
  /// Caps a sample at this multiple of the smoothed hold time: a transaction
  /// may be idle a hundred times as long, and its connection isn't counted
  /// among the others meanwhile.
  int MaxHoldTimeFactor = 4;
  /// Window over which the rate of started borrows is measured: about one
  /// latency objective, so that a burst shows before the borrows queued behind
  /// it are late.
  Duration RateWindow = milliseconds(300);
  /// Maximum share of the capacity that more urgent borrows are assumed to
  /// need: the small remainder lets one borrow find out when there is capacity
  /// again.
  double MaxUrgentShare = 0.95;
};

class QueueLoad {
public:
  explicit QueueLoad(QueueLoadOptions options = {}) : Options(options) {}

  /// Records that a borrow of that urgency got a connection.
  void noteBorrowStart(TimePoint now, const Urgency &urgency);
  /// Records how long a borrow held its connection.
  void noteHoldTime(Duration time);
  /// The smoothed time for which a borrow holds a connection; 0 while unknown.
  Duration holdTime() const { return HoldTime; }
  /// The expected wait of a borrow with \p ahead others before it in the queue
  /// and \p connections, none of them free; 0 while unknown. Assumes that more
  /// urgent borrows go on arriving at their recent rate.
  Duration wait(TimePoint now, const Urgency &urgency, int ahead,
                int connections) const;
  /// The same if no other borrow arrives.
  Duration drainTime(int ahead, int connections) const;

private:
  /// An exponentially decaying count.
  struct Count {
    double Value = 0;
    TimePoint UpdatedAt{};
  };
  double decayedCount(TimePoint now, const Count &count) const;
  /// The share of the connections' time that more urgent borrows take.
  double moreUrgentShare(TimePoint now, const Urgency &urgency,
                         int connections) const;

  QueueLoadOptions Options;
  Duration HoldTime{};
  std::map<Urgency, Count> Started;
};

} // namespace stepledge::overload

#endif // STEPLEDGE_OVERLOAD_QUEUELOAD_H
