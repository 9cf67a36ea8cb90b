// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file One hall's part of an organisation's quota, with the demand on it and
/// what is reserved for more urgent requests.

#ifndef STEPLEDGE_QUOTA_INTERNAL_HALLPART_H
#define STEPLEDGE_QUOTA_INTERNAL_HALLPART_H

#include "quota/HallPresence.h"
#include "quota/PriorityRates.h"
#include "quota/TokenBucket.h"

#include <optional>

namespace stepledge::quota {

class HallPart {
public:
  HallPart();

  void setLimit(const BucketLimit &limit);
  /// The share of the limit that this VM may lend; the whole one if it isn't
  /// the home.
  const BucketLimit &limit() const { return Lendable; }

  /// Whether this VM keeps the part, as its home.
  bool isKept() const { return Bucket.has_value(); }
  /// Begins to keep the part, or refills it with the share of the hall that
  /// \p presence has heard since then.
  void keep(TimePoint now, const HallPresence &presence);
  void drop();

  /// Takes up to \p most operations for the own hall, after keep().
  int take(TimePoint now, int most, int priority);
  /// The same for another hall, which leaves some for the own one.
  int takeForOtherHall(TimePoint now, int most, int priority);
  /// Notes operations that were asked of this VM, granted or not.
  void noteOwnDemand(TimePoint now, int priority, int operations = 1) {
    OwnHallDemand.note(now, priority, operations);
  }
  void noteOtherDemand(TimePoint now, int priority, int operations) {
    OtherHallDemand.note(now, priority, operations);
  }
  /// Whether the demand on this home exceeds the part's rate.
  bool isDemandOverRate(TimePoint now) const;
  /// The time until the part has an operation for \p priority again.
  Duration timeToNext(TimePoint now, int priority) const;

private:
  /// The reserve for more urgent requests that use \p use operations per
  /// second.
  double reserveFor(double use) const;
  /// The reserve that \p priority may not use.
  double reserveAgainst(TimePoint now, int priority) const;
  /// The same where another hall asks.
  double reserveAgainstOtherHall(TimePoint now, int priority) const;

  void setShare(double share);
  /// The operations that a home begins with.
  double initialTokens() const;

  BucketLimit Limit;
  BucketLimit Lendable;
  double Share = 1;
  std::optional<TokenBucket> Bucket;
  /// When this VM began to keep the part.
  TimePoint KeptSince{};
  PriorityRates OwnHallDemand;
  PriorityRates OtherHallDemand;
};

} // namespace stepledge::quota

#endif // STEPLEDGE_QUOTA_INTERNAL_HALLPART_H
