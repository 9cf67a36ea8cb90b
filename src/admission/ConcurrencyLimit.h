// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Limits the statements in flight on one instance: all granted slots
/// while it answers as fast as usual, fewer as it slows down.

#ifndef STEPLEDGE_ADMISSION_CONCURRENCYLIMIT_H
#define STEPLEDGE_ADMISSION_CONCURRENCYLIMIT_H

#include "base/types/Time.h"

namespace stepledge::admission {

class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(int slots) : Slots(slots), CurrentLimit(slots) {}

  /// Records that a statement took \p time while \p inFlight were running.
  void noteAnswer(Duration time, int inFlight);
  /// Records that a statement got no answer.
  void noteLoss();

  /// From 1 to the granted slots.
  int limit() const;

private:
  int Slots;
  double CurrentLimit;
  /// The shortest time observed; it slowly decays towards recent times.
  Duration BestTime{0};
};

} // namespace stepledge::admission

#endif // STEPLEDGE_ADMISSION_CONCURRENCYLIMIT_H
