// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file How long a statement may wait for room before it is refused as not
/// run, at the VM that its client asked and at one that lends.

#ifndef STEPLEDGE_OVERLOAD_WAITPOLICY_H
#define STEPLEDGE_OVERLOAD_WAITPOLICY_H

#include "overload/types/WaitFacts.h"

namespace stepledge::overload {

struct WaitOptions {
  /// A replaced primary is back sooner, and the client still has time for two
  /// more tries.
  Duration Longest = milliseconds(700);
  /// The same for a statement that can't be sent from this VM for now.
  Duration LongestHopeless = milliseconds(40);
  /// One that an overloaded primary is spared waits for this part of its
  /// objective, in case the overload ends at once: one or two statement times.
  int ShedPatienceDivisor = 8;
  /// The part of the time up to the objective that an expected wait may take:
  /// the rest is for waits and work that last longer than usual.
  double OnTimePart = 0.75;
  /// A statement that can't make its objective any more waits until this part
  /// of its timeout has passed: its client would rather have a late answer than
  /// none, and once refused still has as long for another try.
  double LatePart = 0.5;
  /// The same where the timeout isn't told, in objectives: the timeout of a
  /// route is some three objectives.
  int LateObjectives = 2;
};

class WaitPolicy {
public:
  explicit WaitPolicy(WaitOptions options = {}) : Options(options) {}

  /// Counted from the statement's arrival, for one that could not be sent
  /// anywhere yet.
  Duration limit(const WaitFacts &facts) const;
  /// Until when, counted from its arrival, a statement may wait although it is
  /// late.
  Duration lateLimit(const WaitFacts &facts) const;
  /// The longest expected wait with which a statement of that age, which needs
  /// \p work besides, should make its objective; 0 if it can't any more.
  Duration onTime(const WaitFacts &facts, Duration age,
                  Duration work = {}) const;
  /// The longest expected wait that is of use to it at all.
  Duration late(const WaitFacts &facts, Duration age) const;

private:
  WaitOptions Options;
};

} // namespace stepledge::overload

#endif // STEPLEDGE_OVERLOAD_WAITPOLICY_H
