// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A token bucket whose rate and capacity may change at any time.

#ifndef STEPLEDGE_QUOTA_TOKENBUCKET_H
#define STEPLEDGE_QUOTA_TOKENBUCKET_H

#include "base/types/Time.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace stepledge::quota {

struct BucketLimit {
  double TokensPerSecond = 0;
  double Capacity = 0;
};

class TokenBucket {
public:
  TokenBucket(TimePoint now, double tokens) : FilledAt(now), Tokens(tokens) {}

  void refill(TimePoint now, const BucketLimit &limit) {
    const std::chrono::duration<double> passed = now - FilledAt;
    FilledAt = now;
    Tokens = std::min(limit.Capacity,
                      Tokens + passed.count() * limit.TokensPerSecond);
  }
  /// Takes whole tokens, \p most at most, and leaves \p reserve.
  int take(int most, double reserve = 0) {
    const int n =
        std::clamp(static_cast<int>(std::floor(Tokens - reserve)), 0, most);
    Tokens -= n;
    return n;
  }
  double tokens() const { return Tokens; }

private:
  TimePoint FilledAt;
  double Tokens;
};

} // namespace stepledge::quota

#endif // STEPLEDGE_QUOTA_TOKENBUCKET_H
