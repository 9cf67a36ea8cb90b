// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The orders and stages of the replacement of a primary.

#ifndef STEPLEDGE_FAILOVER_TYPES_REPLACEMENTORDER_H
#define STEPLEDGE_FAILOVER_TYPES_REPLACEMENTORDER_H

#include "base/NameTable.h"
#include "base/types/Ids.h"
#include "base/types/LogPosition.h"

#include <array>
#include <variant>

namespace stepledge::failover {

/// Promise \p Next and follow no primary until ordered to.
struct FenceInstance {
  InstanceId Instance;
  Term Next;
  bool operator==(const FenceInstance &) const = default;
};

/// Become the primary of \p Next, which the instance must have promised.
struct PromoteInstance {
  InstanceId Instance;
  Term Next;
  bool operator==(const PromoteInstance &) const = default;
};

/// Follow the primary of \p Current.
struct FollowPrimary {
  InstanceId Instance;
  InstanceId Primary;
  Term Current;
  bool operator==(const FollowPrimary &) const = default;
};

/// Ask the VMs in other halls whether they receive answers from the primary of
/// \p Current.
struct AskPeers {
  Term Current;
  bool operator==(const AskPeers &) const = default;
};

using ReplacementOrder =
    std::variant<FenceInstance, PromoteInstance, FollowPrimary, AskPeers>;

enum class ReplacementStage {
  /// There is a primary, or no reason yet to replace it.
  Watching,
  /// The primary has not answered here for too long; other halls are asked.
  Asking,
  /// A majority is to promise a new term.
  Fencing,
  /// The fenced instance with the furthest log is to become primary.
  Promoting,
};

constexpr auto StageNames = std::to_array<NameEntry<ReplacementStage>>({
    {ReplacementStage::Watching, "watching"},
    {ReplacementStage::Asking, "asking other halls"},
    {ReplacementStage::Fencing, "fencing a majority"},
    {ReplacementStage::Promoting, "promoting the furthest"},
});

} // namespace stepledge::failover

#endif // STEPLEDGE_FAILOVER_TYPES_REPLACEMENTORDER_H
