// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The options of the organisations' quotas.

#ifndef STEPLEDGE_QUOTA_TYPES_QUOTAOPTIONS_H
#define STEPLEDGE_QUOTA_TYPES_QUOTAOPTIONS_H

#include "base/types/Ids.h"
#include "base/types/Time.h"

#include <string>

namespace stepledge::quota {

struct QuotaOptions {
  std::string OwnIp;
  HallId OwnHall;
  /// The number of halls among which a quota is divided. It comes from the
  /// settings, not from the list of known VMs: halls that are partitioned from
  /// each other, and VMs that have just started, must divide it alike.
  int Halls = 1;
  /// Operations beyond a quota that the operator tolerates in one window. Part
  /// of it lets small organisations ask in several halls at once.
  double Tolerance = 0;
  /// A lent operation that isn't used within this time is void: this bounds
  /// what a VM that was paused may still use.
  Duration LeaseTime = milliseconds(1000);
  /// How far ahead a VM asks for operations, by its use in the last second.
  Duration ForecastTime = milliseconds(500);
  /// A home that hasn't answered for this long is considered lost: well above
  /// the time that a busy VM takes to answer.
  Duration SilenceLimit = milliseconds(300);
  /// How long an unavailable home isn't asked.
  Duration UnavailableHomePause = milliseconds(1000);
  /// How often a home that has nothing left asks the other halls.
  Duration HallAskInterval = milliseconds(100);
  /// The delay before a home that couldn't answer yet is asked again.
  Duration AskRetryDelay = milliseconds(5);
  /// How often a VM checks whether it has become a home, or is no longer one.
  Duration PartUpdateInterval = milliseconds(1000);
  /// How many VMs of a hall keep quotas: bounds the connections that each VM
  /// needs for them.
  std::size_t HomesPerHall = 8;
};

/// Whether an operation may be sent to an instance.
enum class QuotaVerdict {
  Granted,
  /// Not known yet; ask again after IQuotaIo::quotaChanged.
  Pending,
  /// Beyond the organisation's quota.
  Exhausted,
};

} // namespace stepledge::quota

#endif // STEPLEDGE_QUOTA_TYPES_QUOTAOPTIONS_H
