// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What is known of a statement that waits to be sent.

#ifndef STEPLEDGE_OVERLOAD_TYPES_WAITFACTS_H
#define STEPLEDGE_OVERLOAD_TYPES_WAITFACTS_H

#include "base/types/Time.h"

namespace stepledge::overload {

struct WaitFacts {
  /// Of its route; 0 is the most urgent.
  int Priority = 0;
  /// The route's latency objective.
  Duration Objective{};
  /// The route's limit for one statement; 0 if it isn't known.
  Duration StatementTimeout{};
  /// It belongs to a transaction that an instance has run a statement of.
  bool IsUnderWay = false;
  /// It needs a primary, and none is known or the known one is being replaced:
  /// it waits for the successor, not for room.
  bool AwaitsPrimary = false;
  /// It is kept from an overloaded primary for the sake of other routes.
  bool IsShed = false;
  /// This VM knows that it can't be sent from here for now: others may serve
  /// the client sooner.
  bool IsHopeless = false;
};

} // namespace stepledge::overload

#endif // STEPLEDGE_OVERLOAD_TYPES_WAITFACTS_H
