// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The state that an instance reports.

#ifndef STEPLEDGE_ROUTING_TYPES_OBSERVATION_H
#define STEPLEDGE_ROUTING_TYPES_OBSERVATION_H

#include "base/NameTable.h"
#include "base/types/LogPosition.h"

#include <array>
#include <vector>

namespace stepledge::routing {

enum class InstanceRole {
  Unknown,
  Primary,
  Replica,
  /// Has promised a new term and follows no primary yet.
  Fenced,
};

constexpr auto RoleNames = std::to_array<NameEntry<InstanceRole>>({
    {InstanceRole::Unknown, "unknown"},
    {InstanceRole::Primary, "primary"},
    {InstanceRole::Replica, "replica"},
    {InstanceRole::Fenced, "fenced"},
});

/// The position after which a term of the log begins.
struct TermStart {
  Term Began;
  LogPosition After;
  bool operator==(const TermStart &) const = default;
};

/// One answer to the dialect's `observe` query.
struct Observation {
  InstanceRole Role = InstanceRole::Unknown;
  /// The highest term the instance has promised to follow.
  Term Promised;
  /// The term of the last entry of its log.
  Term LogTerm;
  /// The last position that survives a restart of the instance.
  LogPosition Durable;
  /// The last position that reads on the instance include.
  LogPosition Applied;
  bool Leaving = false;
  /// Every term of the log, without a gap.
  std::vector<TermStart> History;

  Mark durableMark() const { return {LogTerm, Durable}; }
  Mark appliedMark() const;
  bool operator==(const Observation &) const = default;
};

} // namespace stepledge::routing

#endif // STEPLEDGE_ROUTING_TYPES_OBSERVATION_H
