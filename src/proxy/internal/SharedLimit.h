// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file How many statements this VM may have at one instance at once, so that
/// the VMs together keep the instance's own queue short. They don't speak about
/// it: each goes by the answer times that it sees itself.

#ifndef STEPLEDGE_PROXY_INTERNAL_SHAREDLIMIT_H
#define STEPLEDGE_PROXY_INTERNAL_SHAREDLIMIT_H

namespace stepledge::proxy {

class SharedLimit {
public:
  /// Never more than \p most statements.
  explicit SharedLimit(int most) : Most(most), Allowed(most) {}

  /// A statement took \p slowness times as long as its route's statements
  /// usually do, while this VM had \p running there.
  void noteAnswer(double slowness, int running);

  /// From 1 to the most.
  int limit() const;
  /// How many times as long as usual its answers take; 1 before the first one.
  double congestion() const { return Smoothed / Usual; }

private:
  int Most;
  double Allowed;
  /// Smoothed slowness.
  double Smoothed = 1.0;
  /// The slowness of quiet times: 1, or more where the instance has become
  /// slower for good.
  double Usual = 1.0;
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_INTERNAL_SHAREDLIMIT_H
