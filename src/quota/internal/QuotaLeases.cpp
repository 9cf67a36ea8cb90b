// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "quota/internal/QuotaLeases.h"

#include <algorithm>
#include <numeric>

namespace stepledge::quota {

void QuotaLeases::add(const QuotaLease &lease) {
  const auto place =
      std::find_if(Leases.begin(), Leases.end(), [&](const auto &it) {
        return it.Priority > lease.Priority;
      });
  Leases.insert(place, lease);
}

int QuotaLeases::take(TimePoint now, int priority, int most) {
  std::erase_if(Leases, [&](const auto &it) {
    return it.ExpiresAt <= now || it.Operations == 0;
  });
  int taken = 0;
  for (auto &it : Leases) {
    if (it.Priority < priority && it.OpenToAllAt > now)
      continue;
    const int n = std::min(most - taken, it.Operations);
    it.Operations -= n;
    taken += n;
  }
  return taken;
}

int QuotaLeases::operations() const {
  return std::accumulate(
      Leases.begin(), Leases.end(), 0,
      [](int sum, const auto &it) { return sum + it.Operations; });
}

} // namespace stepledge::quota
