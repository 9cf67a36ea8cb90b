// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The state of a statement that waits to be sent, from which its maximum
/// wait follows.

#ifndef STEPLEDGE_OVERLOAD_TYPES_WAITFACTS_H
#define STEPLEDGE_OVERLOAD_TYPES_WAITFACTS_H

#include "base/types/Time.h"

namespace stepledge::overload {

struct WaitFacts {
  /// The route's priority; 0 is the most urgent.
  int Priority = 0;
  /// The route's latency objective.
  Duration Objective{};
  /// The route's time limit for one statement; 0 if it isn't known.
  Duration StatementTimeout{};
  /// The statement belongs to a transaction of which an instance has already
  /// run a statement.
  bool IsUnderWay = false;
  /// The statement needs a primary, and none is known or the known one is being
  /// replaced: it waits for the successor, not for capacity.
  bool IsAwaitingPrimary = false;
  /// The statement is kept from an overloaded primary in favour of other
  /// routes.
  bool IsShed = false;
  /// The statement can't be sent from this VM for now: other VMs may serve the
  /// client sooner.
  bool IsUnsendable = false;
};

} // namespace stepledge::overload

#endif // STEPLEDGE_OVERLOAD_TYPES_WAITFACTS_H
