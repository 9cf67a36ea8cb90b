// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file How long a statement that could not be sent anywhere yet may wait
/// before it is refused as not run.

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
};

class WaitPolicy {
public:
  explicit WaitPolicy(WaitOptions options = {}) : Options(options) {}

  /// Counted from the statement's arrival.
  Duration limit(const WaitFacts &facts) const;

private:
  WaitOptions Options;
};

} // namespace stepledge::overload

#endif // STEPLEDGE_OVERLOAD_WAITPOLICY_H
