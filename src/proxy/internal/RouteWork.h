// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file How long the statements of each route usually take at an instance, so
/// that a queue there can be told from longer statements.

#ifndef STEPLEDGE_PROXY_INTERNAL_ROUTEWORK_H
#define STEPLEDGE_PROXY_INTERNAL_ROUTEWORK_H

#include "base/types/Time.h"
#include "control/types/Configuration.h"

#include <map>
#include <optional>

namespace stepledge::proxy {

class RouteWork {
public:
  /// A statement of \p route took \p took at an instance that takes
  /// \p congestion times as long as usual.
  void note(const control::Route &route, Duration took, double congestion);
  /// What a statement of \p route usually takes; none while that isn't known.
  std::optional<Duration> usual(const control::Route &route) const;
  /// How many times as long as usual \p took is for a statement of \p route; 1
  /// while that isn't known.
  double slowness(const control::Route &route, Duration took) const;

private:
  /// By the route's database, the smoothed time of a statement in ms.
  std::map<DatabaseId, double> Usual;
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_INTERNAL_ROUTEWORK_H
