// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The limit on this VM's concurrent statements at one instance, so that
/// the VMs together keep the instance's own queue short. The VMs exchange no
/// messages about it: each adapts its limit to the answer times that it
/// measures.

#ifndef STEPLEDGE_PROXY_INTERNAL_INSTANCECONCURRENCYLIMIT_H
#define STEPLEDGE_PROXY_INTERNAL_INSTANCECONCURRENCYLIMIT_H

namespace stepledge::proxy {

class InstanceConcurrencyLimit {
public:
  /// The limit is never above \p max statements.
  explicit InstanceConcurrencyLimit(int max) : Max(max), Allowed(max) {}

  /// A statement took \p slowness times as long as its route's statements
  /// usually do, while this VM had \p running statements at the instance.
  void noteAnswer(double slowness, int running);

  /// From 1 to the maximum.
  int limit() const;
  /// The smoothed answer time relative to the usual one; 1 before the first
  /// answer.
  double congestion() const { return SmoothedSlowness / UsualSlowness; }

private:
  int Max;
  double Allowed;
  /// Smoothed slowness.
  double SmoothedSlowness = 1.0;
  /// The slowness without a queue: 1, or more if the instance has become
  /// permanently slower.
  double UsualSlowness = 1.0;
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_INTERNAL_INSTANCECONCURRENCYLIMIT_H
