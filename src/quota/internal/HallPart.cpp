// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "quota/internal/HallPart.h"

#include "quota/RetryDelays.h"

#include <algorithm>
#include <cmath>

namespace stepledge::quota {

namespace {

/// A home that takes over begins with one operation plus its part's rate over
/// this many seconds.
constexpr double TakeoverSeconds = 0.1;
/// When another hall asks, a home keeps its part's rate over this many seconds
/// for its own hall.
constexpr double OwnHallReserveSeconds = 0.3;
/// While demand exceeds the rate, a home reserves for the more urgent requests
/// what they may use beyond their mean within this many seconds, the lifetime
/// of a lease: the refill covers the mean itself.
constexpr double ReserveBurstSeconds = 1;
/// Random variation rarely exceeds this many standard deviations. The reserve
/// covers more, since VMs ask for several operations at once.
constexpr double DemandDeviations = 2;
constexpr double ReserveDeviations = 3;
/// A part that begins almost empty is full after about this time at the usual
/// use.
constexpr Duration PartFillTime = milliseconds(3000);
/// The maximum fraction of the capacity of a hall's part that is reserved, so
/// that a small burst leaves operations for the less urgent requests too.
constexpr double MaxReservedFraction = 0.5;
/// The smoothing time of the demand on a home: an organisation that exceeds its
/// rate only for a moment is within its burst, and all its requests are treated
/// alike.
constexpr Duration DemandSmoothingTime = milliseconds(3000);

} // namespace

HallPart::HallPart()
    : OwnHallDemand(DemandSmoothingTime), OtherHallDemand(DemandSmoothingTime) {
}

void HallPart::setLimit(const BucketLimit &limit) {
  Limit = limit;
  setShare(Share);
}

void HallPart::setShare(double share) {
  Share = share;
  // NOTE: what a part begins with is kept until other VMs are heard.
  const double capacity = std::max(initialTokens(), Limit.Capacity * share);
  Lendable = {Limit.TokensPerSecond * share,
              std::min(Limit.Capacity, capacity)};
}

double HallPart::initialTokens() const {
  return 1 + TakeoverSeconds * Limit.TokensPerSecond;
}

void HallPart::drop() {
  Bucket.reset();
  setShare(1);
}

void HallPart::keep(TimePoint now, const HallPresence &presence) {
  // NOTE: it isn't known here what the previous home has lent.
  if (!Bucket) {
    Bucket.emplace(now, initialTokens());
    KeptSince = now;
  }
  setShare(presence.share(now, KeptSince));
  Bucket->refill(now, Lendable);
}

int HallPart::take(TimePoint now, int most, int priority) {
  return Bucket->take(most, reserveAgainst(now, priority));
}

int HallPart::takeForOtherHall(TimePoint now, int most, int priority) {
  return Bucket->take(most, reserveAgainstOtherHall(now, priority));
}

bool HallPart::isDemandOverRate(TimePoint now) const {
  // NOTE: a part that has just begun would only fill its reserve, while clients
  // return with all the requests that they have deferred.
  if (now - KeptSince < PartFillTime)
    return false;
  const double rate = Lendable.TokensPerSecond;
  // NOTE: random variation alone makes a demand of just the rate look higher,
  // the more so the shorter it was counted.
  const double counted = OwnHallDemand.countedSeconds(now);
  const double most = rate + DemandDeviations * std::sqrt(rate / (2 * counted));
  return OwnHallDemand.totalPerSecond(now) +
             OtherHallDemand.totalPerSecond(now) >
         most;
}

double HallPart::reserveFor(double use) const {
  return std::min(ReserveDeviations * std::sqrt(use * ReserveBurstSeconds),
                  Lendable.Capacity * MaxReservedFraction);
}

double HallPart::reserveAgainst(TimePoint now, int priority) const {
  if (!isDemandOverRate(now))
    return 0;
  return reserveFor(OwnHallDemand.perSecondUpTo(now, priority - 1) +
                    OtherHallDemand.perSecondUpTo(now, priority - 1));
}

double HallPart::reserveAgainstOtherHall(TimePoint now, int priority) const {
  const double reserve = Lendable.TokensPerSecond * OwnHallReserveSeconds;
  // NOTE: a hall that asks others has used up its own part.
  if (!isDemandOverRate(now))
    return std::clamp(
        reserve + reserveFor(OtherHallDemand.perSecondUpTo(now, priority - 1)),
        reserve, std::max(reserve, Lendable.Capacity * MaxReservedFraction));
  // NOTE: more urgent requests of another hall go before less urgent ones of
  // this hall.
  const double all = OwnHallDemand.totalPerSecond(now);
  const double share =
      all > 0 ? OwnHallDemand.perSecondUpTo(now, priority) / all : 1;
  return std::max(reserve * share, reserveAgainst(now, priority));
}

Duration HallPart::timeToNext(TimePoint now, int priority) const {
  const double tokens = Bucket ? Bucket->tokens() : 0;
  const double needed = 1 + reserveAgainst(now, priority);
  const double seconds =
      std::max(0.0, needed - tokens) / Lendable.TokensPerSecond;
  const auto time = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(seconds, 1.0)));
  return std::clamp(time, MinRetryDelay, MaxRetryDelay);
}

} // namespace stepledge::quota
