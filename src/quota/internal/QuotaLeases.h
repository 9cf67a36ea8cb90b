// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The operations that a VM has borrowed from a home for a short time.

#ifndef STEPLEDGE_QUOTA_INTERNAL_QUOTALEASES_H
#define STEPLEDGE_QUOTA_INTERNAL_QUOTALEASES_H

#include "base/types/Time.h"

#include <deque>

namespace stepledge::quota {

struct QuotaLease {
  int Operations = 0;
  TimePoint ExpiresAt{};
  /// The least urgent priority that may use the lease before OpenToAllAt.
  int Priority = 0;
  TimePoint OpenToAllAt{};
};

class QuotaLeases {
public:
  void add(const QuotaLease &lease);
  /// Takes up to \p most operations that \p priority may use.
  int take(TimePoint now, int priority, int most);
  /// The operations that aren't used yet, expired ones among them until the
  /// next take().
  int operations() const;

private:
  /// The most urgent first.
  std::deque<QuotaLease> Leases;
};

} // namespace stepledge::quota

#endif // STEPLEDGE_QUOTA_INTERNAL_QUOTALEASES_H
