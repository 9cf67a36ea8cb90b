// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file How long the statements of each route usually take at an instance, so
/// that a queue there can be distinguished from longer statements.

#ifndef STEPLEDGE_PROXY_INTERNAL_ROUTESTATEMENTTIMES_H
#define STEPLEDGE_PROXY_INTERNAL_ROUTESTATEMENTTIMES_H

#include "base/types/Time.h"
#include "control/types/Configuration.h"

#include <map>
#include <optional>

namespace stepledge::proxy {

class RouteStatementTimes {
public:
  /// Records that a statement of \p route took \p took at an instance whose
  /// answers take \p congestion times as long as usual.
  void note(const control::Route &route, Duration took, double congestion);
  /// The usual time of a statement of \p route; none while it is unknown.
  std::optional<Duration> usual(const control::Route &route) const;
  /// The ratio of \p took to the usual time of a statement of \p route; 1 while
  /// that is unknown.
  double slowness(const control::Route &route, Duration took) const;

private:
  /// By the route's database, the smoothed time of a statement in ms.
  std::map<DatabaseId, double> Usual;
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_INTERNAL_ROUTESTATEMENTTIMES_H
