// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Start-time fair queueing: how much of one contested queue each
/// organisation has used recently, and the start tag of its next statement.

#ifndef STEPLEDGE_SCHEDULING_FAIRSHARES_H
#define STEPLEDGE_SCHEDULING_FAIRSHARES_H

#include "base/types/Ids.h"
#include "base/types/Time.h"

#include <cmath>
#include <cstdint>
#include <map>
#include <set>

namespace stepledge::scheduling {

struct ShareOptions {
  /// An organisation that has used nothing for this long starts like the
  /// others: a longer memory would count a past flood against it.
  Duration UsageRetention = std::chrono::seconds(5);
  /// If no statement has been waiting during this time, usage is at no
  /// organisation's expense. A VM checks its waiting statements every 10 to 40
  /// ms.
  Duration IdleAfter = milliseconds(100);
  /// One in this many services goes to the statement that has waited longest
  /// and can still be answered in time, so that no kind of statement starves;
  /// the others can spare that capacity.
  std::uint64_t OldestFirstInterval = 20;
  /// How many statements an organisation of average weight may be over its fair
  /// share and still go before less urgent statements of others. For another
  /// weight it is scaled by the root of the weight, since random bursts grow
  /// with the root of the rate.
  double OverShareTolerance = 4;
};

/// Virtual time is slot time divided by the organisation's weight. It is set to
/// the lowest start tag of the waiting organisations, so that unused capacity
/// can't be saved up, and capacity that no other organisation wanted isn't
/// counted against any.
class FairShares {
public:
  explicit FairShares(ShareOptions options = {}) : Options(options) {}

  /// Records that a statement or the opening of a connection for
  /// \p organisation has held a slot for \p slotTime.
  void noteUse(TimePoint now, const OrganisationId &organisation,
               Duration slotTime, double weight);
  /// Sets the organisations that have waiting statements now.
  void setWaiting(TimePoint now, const std::set<OrganisationId> &waiting);
  /// The start tag of the organisation's next statement: a virtual time in
  /// microseconds. The lowest goes first.
  double startTagOf(const OrganisationId &organisation) const;
  /// Whether an organisation is so far over its fair share that urgency no
  /// longer helps; \p start is the start tag of its next statement.
  bool isOverShare(double start, double weight) const {
    return start - VirtualTime >
           Options.OverShareTolerance * UsualSlotTime / std::sqrt(weight);
  }
  /// What one more statement of the usual slot time adds to the start tag.
  double startTagStep(double weight) const { return UsualSlotTime / weight; }
  bool isOldestFirstTurn() const {
    return Services > 0 && Services % Options.OldestFirstInterval == 0;
  }
  /// The number of organisations that waited at the last check behind another
  /// that had used less.
  std::size_t deferredCount(TimePoint now) const {
    return isIdle(now) ? 0 : DeferredCount;
  }
  /// Whether the kept usage no longer matters.
  bool isExpired(TimePoint now) const;
  /// The number of organisations whose usage is kept.
  std::size_t size() const { return Accounts.size(); }

private:
  struct Account {
    double FinishTag = 0;
    TimePoint UsedAt{};
  };

  bool isIdle(TimePoint now) const {
    return now - CheckedAt > Options.IdleAfter;
  }
  void removeExpired(TimePoint now);

  ShareOptions Options;
  std::map<OrganisationId, Account> Accounts;
  double VirtualTime = 0;
  /// Smoothed, in microseconds.
  double UsualSlotTime = 0;
  std::uint64_t Services = 0;
  std::size_t DeferredCount = 0;
  TimePoint CheckedAt{};
  TimePoint UsedAt{};
  TimePoint ExpiredAt{};
};

} // namespace stepledge::scheduling

#endif // STEPLEDGE_SCHEDULING_FAIRSHARES_H
