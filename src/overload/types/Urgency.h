// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The rank of a waiting borrow among others, as far as it decides how
/// long it waits.

#ifndef STEPLEDGE_OVERLOAD_TYPES_URGENCY_H
#define STEPLEDGE_OVERLOAD_TYPES_URGENCY_H

#include <compare>

namespace stepledge::overload {

/// A lower value is served sooner.
struct Urgency {
  /// The borrow can no longer meet its objective, and goes after those that
  /// can.
  bool IsLate = false;
  /// The route's priority; 0 is the most urgent.
  int Priority = 0;
  auto operator<=>(const Urgency &) const = default;
};

} // namespace stepledge::overload

#endif // STEPLEDGE_OVERLOAD_TYPES_URGENCY_H
