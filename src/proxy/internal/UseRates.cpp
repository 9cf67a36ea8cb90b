// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "proxy/internal/UseRates.h"

#include <chrono>
#include <cmath>

namespace stepledge::proxy {

namespace {

/// A use counts for a third after this time: long enough to span several uses
/// of an organisation that sends one to a home every two seconds, short enough
/// to expire soon after the organisation stops.
constexpr std::chrono::duration<double> Memory(10);
/// An organisation with a lower weight is removed: that of one use, three times
/// the decay time ago.
constexpr double Negligible = 0.05;

} // namespace

double UseRates::weightAt(TimePoint now, const Use &use) {
  const std::chrono::duration<double> passed = now - use.At;
  return use.Weight * std::exp(-passed / Memory);
}

void UseRates::note(TimePoint now, const OrganisationId &organisation) {
  const auto [it, isNew] = Uses.try_emplace(organisation);
  it->second = {weightAt(now, it->second) + 1, now};
  if (isNew)
    std::erase_if(Uses, [&](const auto &each) {
      return weightAt(now, each.second) < Negligible;
    });
}

double UseRates::of(TimePoint now, const OrganisationId &organisation) const {
  const auto it = Uses.find(organisation);
  return it == Uses.end() ? 0 : weightAt(now, it->second);
}

} // namespace stepledge::proxy
