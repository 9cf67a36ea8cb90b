// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The place of a waiting use among others, as far as it decides how long
/// it waits.

#ifndef STEPLEDGE_OVERLOAD_TYPES_URGENCY_H
#define STEPLEDGE_OVERLOAD_TYPES_URGENCY_H

#include <compare>

namespace stepledge::overload {

/// The less, the sooner it is served.
struct Urgency {
  /// It can't make its objective any more, and goes after those that can.
  bool IsLate = false;
  /// Of its route; 0 is the most urgent.
  int Priority = 0;
  auto operator<=>(const Urgency &) const = default;
};

} // namespace stepledge::overload

#endif // STEPLEDGE_OVERLOAD_TYPES_URGENCY_H
