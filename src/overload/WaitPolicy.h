// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file How long a statement may wait for capacity before it is refused as not
/// run, at the VM that its client asked and at a lender.

#ifndef STEPLEDGE_OVERLOAD_WAITPOLICY_H
#define STEPLEDGE_OVERLOAD_WAITPOLICY_H

#include "overload/types/WaitFacts.h"

namespace stepledge::overload {

struct WaitOptions {
  /// Maximum wait of a transaction under way, for a new primary, or with an
  /// unknown timeout; others have that of maxLateAge(). A primary is replaced
  /// in less time, and the client still has time for two more tries.
  Duration MaxWait = milliseconds(700);
  /// The maximum wait of any statement that can't be sent from this VM for now.
  Duration MaxWaitUnsendable = milliseconds(40);
  /// A statement that is kept from an overloaded primary waits for this part of
  /// its objective, one or two statement times, in case the overload ends at
  /// once.
  int ShedWaitDivisor = 8;
  /// The fraction of the time up to the objective that an expected wait may
  /// take: the rest is for waits and work that last longer than usual.
  double OnTimeFraction = 0.75;
  /// A statement that can no longer meet its objective waits until this
  /// fraction of its timeout has passed: its client prefers a late answer to
  /// none, and once refused still has as long for another try.
  double LateFraction = 0.5;
  /// The same as a number of objectives, where the timeout isn't known: the
  /// timeout of a route is some three objectives.
  int LateObjectives = 2;
};

class WaitPolicy {
public:
  explicit WaitPolicy(WaitOptions options = {}) : Options(options) {}

  /// The maximum wait, counted from the statement's arrival, of a statement
  /// that could not be sent anywhere yet.
  Duration maxWait(const WaitFacts &facts) const;
  /// How long, counted from its arrival, a statement may wait although it is
  /// late.
  Duration maxLateAge(const WaitFacts &facts) const;
  /// The longest expected wait with which a statement of that age, which needs
  /// \p work besides, should meet its objective; 0 if it no longer can.
  Duration maxOnTimeWait(const WaitFacts &facts, Duration age,
                         Duration work = {}) const;
  /// The longest expected wait after which an answer is still useful, on time
  /// or late.
  Duration maxLateWait(const WaitFacts &facts, Duration age) const;

private:
  WaitOptions Options;
};

} // namespace stepledge::overload

#endif // STEPLEDGE_OVERLOAD_WAITPOLICY_H
