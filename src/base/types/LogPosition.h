// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Terms and log positions of a database group.

#ifndef STEPLEDGE_BASE_TYPES_LOGPOSITION_H
#define STEPLEDGE_BASE_TYPES_LOGPOSITION_H

#include <compare>
#include <cstdint>

namespace stepledge {

/// The number of a primary of a database group; each promotion starts a new
/// term.
struct Term {
  std::uint64_t Number = 0;
  auto operator<=>(const Term &) const = default;
};

/// A position in a database group's log, in the group's own unit.
struct LogPosition {
  std::uint64_t Offset = 0;
  auto operator<=>(const LogPosition &) const = default;
};

/// A log position with the term in which it was written. Marks are ordered by
/// term first; a new primary is preferred in the same order.
struct Mark {
  Term WrittenIn;
  LogPosition Position;
  auto operator<=>(const Mark &) const = default;
};

} // namespace stepledge

#endif // STEPLEDGE_BASE_TYPES_LOGPOSITION_H
