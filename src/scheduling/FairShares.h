// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file How much of one contested line each organisation has had of late, and
/// where its next statement starts: start-time fair queueing.

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
  /// others: a longer memory would hold a flood against it that is over.
  Duration Memory = std::chrono::seconds(5);
  /// Where nobody has waited for so long, what is used is at nobody's expense.
  /// A VM looks at what waits every 10 to 40 ms.
  Duration IdleAfter = milliseconds(100);
  /// One in so many services goes to the one that has waited longest and can
  /// still be answered in time, so that no kind of statement starves; the
  /// others can spare that room.
  std::uint64_t FloorInterval = 20;
  /// So many statements may an average organisation be ahead of another whose
  /// statements are less urgent; one of another weight by its root, since what
  /// comes together by chance grows so.
  double Lead = 4;
};

/// Virtual time is slot time divided by the weight of its organisation. It
/// stands where the least of those that wait starts, so that what was unused
/// can't be saved up, and what nobody else wanted isn't held against anyone.
class FairShares {
public:
  explicit FairShares(ShareOptions options = {}) : Options(options) {}

  /// A statement or the opening of a connection for \p organisation has held a
  /// slot for \p slotTime.
  void noteUse(TimePoint now, const OrganisationId &organisation,
               Duration slotTime, double weight);
  /// Who waits now.
  void noteWaiting(TimePoint now, const std::set<OrganisationId> &waiting);
  /// The virtual time at which its next statement starts, in microseconds; the
  /// least goes first.
  double startOf(const OrganisationId &organisation) const;
  /// It has had so much more than another one that waits that urgency no longer
  /// helps; \p start is of its next statement.
  bool isAhead(double start, double weight) const {
    return start - VirtualTime >
           Options.Lead * UsualSlotTime / std::sqrt(weight);
  }
  /// What one more statement adds to its start at the usual slot time.
  double step(double weight) const { return UsualSlotTime / weight; }
  bool isFloorsTurn() const {
    return Services > 0 && Services % Options.FloorInterval == 0;
  }
  /// Organisations that waited at the last look behind another that had had
  /// less.
  std::size_t heldBack(TimePoint now) const {
    return isIdle(now) ? 0 : HeldBack;
  }
  /// Nothing that is kept still matters.
  bool isOver(TimePoint now) const;
  std::size_t size() const { return Accounts.size(); }

private:
  struct Account {
    double Finish = 0;
    TimePoint UsedAt{};
  };

  bool isIdle(TimePoint now) const {
    return now - LookedAt > Options.IdleAfter;
  }
  void forget(TimePoint now);

  ShareOptions Options;
  std::map<OrganisationId, Account> Accounts;
  double VirtualTime = 0;
  /// Smoothed, in microseconds.
  double UsualSlotTime = 0;
  std::uint64_t Services = 0;
  std::size_t HeldBack = 0;
  TimePoint LookedAt{};
  TimePoint UsedAt{};
  TimePoint ForgottenAt{};
};

} // namespace stepledge::scheduling

#endif // STEPLEDGE_SCHEDULING_FAIRSHARES_H
