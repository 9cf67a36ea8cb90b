// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file How often each organisation has recently used one instance. Decides
/// whose connection is closed to free a slot for another organisation.

#ifndef STEPLEDGE_PROXY_INTERNAL_USAGERATES_H
#define STEPLEDGE_PROXY_INTERNAL_USAGERATES_H

#include "base/types/Ids.h"
#include "base/types/Time.h"

#include <map>

namespace stepledge::proxy {

class UsageRates {
public:
  /// Counts one use of \p organisation: a statement or transaction.
  void note(TimePoint now, const OrganisationId &organisation);
  /// The organisation's uses, which decay exponentially with their age.
  double weightOf(TimePoint now, const OrganisationId &organisation) const;
  std::size_t size() const { return Counts.size(); }

private:
  struct DecayedCount {
    double Weight = 0;
    TimePoint At{};
  };

  static double weightAt(TimePoint now, const DecayedCount &count);

  std::map<OrganisationId, DecayedCount> Counts;
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_INTERNAL_USAGERATES_H
