// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Credit for the bytes that a narrow link carries.

#ifndef STEPLEDGE_SOAK_TOKENBUCKET_H
#define STEPLEDGE_SOAK_TOKENBUCKET_H

#include <chrono>
#include <cstddef>

namespace stepledge::soak {

class TokenBucket {
public:
  using Clock = std::chrono::steady_clock;

  /// Starts full, with \p burst bytes.
  TokenBucket(double bytesPerSecond, double burst)
      : Rate(bytesPerSecond), Burst(burst), Credit(burst) {}

  /// The time until there is credit again; none where there is some now.
  Clock::duration waitAt(Clock::time_point now);
  /// Takes \p n bytes' credit, which may go below none.
  void take(Clock::time_point now, std::size_t n);

private:
  void fill(Clock::time_point now);

  double Rate;
  double Burst;
  double Credit;
  Clock::time_point FilledAt{};
};

} // namespace stepledge::soak

#endif // STEPLEDGE_SOAK_TOKENBUCKET_H
