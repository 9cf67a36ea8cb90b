// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "scheduling/FairShares.h"

#include <algorithm>
#include <chrono>

namespace stepledge::scheduling {

namespace {

/// Weight of a new sample in the usual slot time: averages over some tens of
/// statements.
constexpr double SampleWeight = 0.05;
/// How often expired accounts are removed, so that the cost of a decision
/// depends on the waiting organisations and not on the number of accounts.
constexpr Duration ExpiryInterval = std::chrono::seconds(1);

} // namespace

double FairShares::startTagOf(const OrganisationId &organisation) const {
  const auto it = Accounts.find(organisation);
  return it == Accounts.end() ? VirtualTime
                              : std::max(VirtualTime, it->second.FinishTag);
}

void FairShares::noteUse(TimePoint now, const OrganisationId &organisation,
                         Duration slotTime, double weight) {
  const double used = static_cast<double>(slotTime.count());
  const double start = startTagOf(organisation);
  if (isIdle(now))
    VirtualTime = start;
  Accounts[organisation] = {start + used / weight, now};
  UsualSlotTime = Services == 0
                      ? used
                      : UsualSlotTime + (used - UsualSlotTime) * SampleWeight;
  ++Services;
  UsedAt = now;
  if (now - ExpiredAt > ExpiryInterval)
    removeExpired(now);
}

void FairShares::setWaiting(TimePoint now,
                            const std::set<OrganisationId> &waiting) {
  CheckedAt = now;
  DeferredCount = 0;
  if (waiting.empty())
    return;
  double least = startTagOf(*waiting.begin());
  for (const auto &it : waiting)
    least = std::min(least, startTagOf(it));
  VirtualTime = least;
  DeferredCount = static_cast<std::size_t>(
      std::count_if(waiting.begin(), waiting.end(),
                    [&](const auto &it) { return startTagOf(it) > least; }));
}

void FairShares::removeExpired(TimePoint now) {
  ExpiredAt = now;
  std::erase_if(Accounts, [&](const auto &it) {
    return it.second.FinishTag <= VirtualTime ||
           now - it.second.UsedAt > Options.UsageRetention;
  });
}

bool FairShares::isExpired(TimePoint now) const {
  return isIdle(now) && now - UsedAt > Options.UsageRetention;
}

} // namespace stepledge::scheduling
