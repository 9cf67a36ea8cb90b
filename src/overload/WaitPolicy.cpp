// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "overload/WaitPolicy.h"

#include <algorithm>

namespace stepledge::overload {

namespace {

Duration fractionOf(Duration time, double part) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(time.count()) * part));
}

} // namespace

Duration WaitPolicy::maxWait(const WaitFacts &facts) const {
  // NOTE: a transaction under way and a statement that waits for a new primary
  // don't wait for capacity, so refusing them early frees none.
  const bool waitsForCapacity = !facts.IsUnderWay && !facts.IsAwaitingPrimary &&
                                facts.StatementTimeout > Duration{};
  const Duration usual = waitsForCapacity ? maxLateAge(facts) : Options.MaxWait;
  const Duration longest =
      facts.IsUnsendable ? std::min(usual, Options.MaxWaitUnsendable) : usual;
  // NOTE: an overload outlasts a single statement, and the sooner the client is
  // refused, the more time its other tries have.
  return facts.IsShed
             ? std::min(longest, facts.Objective / Options.ShedWaitDivisor)
             : longest;
}

Duration WaitPolicy::maxLateAge(const WaitFacts &facts) const {
  if (facts.StatementTimeout <= Duration{})
    return Options.LateObjectives * facts.Objective;
  const Duration late =
      fractionOf(facts.StatementTimeout, Options.LateFraction);
  return std::min(std::max(facts.Objective, late), facts.StatementTimeout);
}

Duration WaitPolicy::maxOnTimeWait(const WaitFacts &facts, Duration age,
                                   Duration work) const {
  return fractionOf(std::max(Duration{}, facts.Objective - age - work),
                    Options.OnTimeFraction);
}

Duration WaitPolicy::maxLateWait(const WaitFacts &facts, Duration age) const {
  return std::max(Duration{}, maxLateAge(facts) - age);
}

} // namespace stepledge::overload
