// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "proxy/internal/UsageRates.h"

#include <chrono>
#include <cmath>

namespace stepledge::proxy {

namespace {

/// A use counts for a third after this time: long enough to span several uses
/// of an organisation that sends one to a home every two seconds, short enough
/// to expire soon after the organisation stops.
constexpr std::chrono::duration<double> DecayTime(10);
/// An organisation with a lower weight is removed: that of one use, three times
/// the decay time ago.
constexpr double NegligibleWeight = 0.05;

} // namespace

double UsageRates::weightAt(TimePoint now, const DecayedCount &count) {
  const std::chrono::duration<double> passed = now - count.At;
  return count.Weight * std::exp(-passed / DecayTime);
}

void UsageRates::note(TimePoint now, const OrganisationId &organisation) {
  const auto [it, isNew] = Counts.try_emplace(organisation);
  it->second = {weightAt(now, it->second) + 1, now};
  if (isNew)
    std::erase_if(Counts, [&](const auto &each) {
      return weightAt(now, each.second) < NegligibleWeight;
    });
}

double UsageRates::weightOf(TimePoint now,
                            const OrganisationId &organisation) const {
  const auto it = Counts.find(organisation);
  return it == Counts.end() ? 0 : weightAt(now, it->second);
}

} // namespace stepledge::proxy
