// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "overload/WaitPolicy.h"

#include <algorithm>

namespace stepledge::overload {

Duration WaitPolicy::limit(const WaitFacts &facts) const {
  const Duration longest =
      facts.IsHopeless ? Options.LongestHopeless : Options.Longest;
  // NOTE: an overload outlasts a single statement, and the sooner the client is
  // told, the more time its other tries have.
  return facts.IsShed
             ? std::min(longest, facts.Objective / Options.ShedPatienceDivisor)
             : longest;
}

} // namespace stepledge::overload
