// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What a read requires, and the instance chosen for it with the reasons.

#ifndef STEPLEDGE_ROUTING_TYPES_ROUTEDECISION_H
#define STEPLEDGE_ROUTING_TYPES_ROUTEDECISION_H

#include "base/NameTable.h"
#include "base/types/Ids.h"
#include "base/types/ResultCode.h"
#include "base/types/Time.h"
#include "session/types/SessionMarks.h"

#include <array>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace stepledge::routing {

/// The requirements of one read.
struct ReadNeed {
  session::DatabaseMarks Marks;
  /// 0 requires the primary's current data.
  Duration MaxAge{0};
  TimePoint Deadline;
  /// Instances that were tried for this read without success.
  std::set<InstanceId> Tried;

  bool isCurrent() const { return MaxAge.count() == 0; }
};

/// The current load and capacity of one instance, as this process has them.
struct InstanceLoad {
  /// Whether a connection and a slot are free.
  bool CanStart = false;
  int InFlight = 0;
  Duration ServiceTime{0};
  /// One-way network time.
  Duration Distance{0};
};

enum class Verdict {
  Chosen,
  Eligible,
  Busy,
  Silent,
  Leaving,
  Fenced,
  NotPrimary,
  Behind,
  HistoryLost,
  TooOld,
  Unconfirmed,
  Ejected,
  Tried,
};

constexpr auto VerdictNames = std::to_array<NameEntry<Verdict>>({
    {Verdict::Chosen, "chosen"},
    {Verdict::Eligible, "would have done as well"},
    {Verdict::Busy, "has no free connection or slot"},
    {Verdict::Silent, "has not answered lately"},
    {Verdict::Leaving, "is leaving"},
    {Verdict::Fenced, "is fenced for a new primary"},
    {Verdict::NotPrimary, "is not the primary"},
    {Verdict::Behind, "has not yet got what the session saw"},
    {Verdict::HistoryLost, "lost something the session saw"},
    {Verdict::TooOld, "is older than the read allows"},
    {Verdict::Unconfirmed, "is not confirmed as primary by a majority"},
    {Verdict::Ejected, "failed too often lately"},
    {Verdict::Tried, "was tried for this read and was behind"},
});

/// The verdict on one instance at the time of the decision.
struct ConsideredInstance {
  InstanceId Instance;
  Verdict InstanceVerdict = Verdict::Silent;
  std::optional<Duration> Age;
  /// Expected time to the answer, raised for poor health; set for instances
  /// that meet the need, even if busy or ejected.
  Duration Cost{0};
};

struct UseInstance {
  InstanceId Instance;
};

/// Wait until a replica is expected to have caught up.
struct WaitForCatchUp {
  InstanceId Instance;
  TimePoint Until;
};

/// An instance is eligible, but has no free connection or slot.
struct WaitForCapacity {};

/// No instance is eligible now; one may be before the deadline.
struct WaitForChange {
  ResultCode Why = ResultCode::NoInstanceFreshEnough;
};

/// No instance is eligible, and the log of one has lost something that the
/// session saw.
struct RefuseRead {
  ResultCode Why = ResultCode::HistoryLost;
};

using RouteChoice = std::variant<UseInstance, WaitForCatchUp, WaitForCapacity,
                                 WaitForChange, RefuseRead>;

struct RouteDecision {
  RouteChoice Choice;
  std::vector<ConsideredInstance> Considered;
};

} // namespace stepledge::routing

#endif // STEPLEDGE_ROUTING_TYPES_ROUTEDECISION_H
