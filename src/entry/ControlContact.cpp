// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "entry/ControlContact.h"

#include <algorithm>

namespace stepledge::entry {

void ControlContact::heard(TimePoint now, const std::string &ip, bool isFresh) {
  HeardAt[ip] = now;
  if (isFresh)
    FreshAt = now;
}

bool ControlContact::isLost(TimePoint now) const {
  if (now - FreshAt > Limit)
    return true;
  const auto heard =
      std::count_if(Members.begin(), Members.end(), [&](const auto &ip) {
        const auto it = HeardAt.find(ip);
        return it != HeardAt.end() && now - it->second <= Limit;
      });
  return 2 * heard <= static_cast<std::ptrdiff_t>(Members.size()) &&
         !Members.empty();
}

} // namespace stepledge::entry
