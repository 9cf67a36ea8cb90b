// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Handles each request from its arrival to its answer, as a state
/// machine without sockets, clocks or threads.

#ifndef STEPLEDGE_REQUEST_IREQUESTCOORDINATOR_H
#define STEPLEDGE_REQUEST_IREQUESTCOORDINATOR_H

#include "request/types/Events.h"

#include <cstddef>
#include <optional>

namespace stepledge::request {

class IRequestCoordinator {
public:
  virtual ~IRequestCoordinator() = default;

  /// Processes \p event and returns the effects to apply, in order.
  virtual Effects onEvent(const Event &event, TimePoint now) = 0;

  /// The latest time at which the next TimePassed event is due.
  virtual std::optional<TimePoint> nextWake() const = 0;

  /// The number of unfinished requests and transactions.
  virtual std::size_t openWorkCount() const = 0;

  /// Whether no primary of \p database has answered recently. Other VMs query
  /// this before they replace the primary.
  virtual bool isPrimarySilent(const DatabaseId &database,
                               TimePoint now) const = 0;

  /// Whether each database has an instance that answered recently, so that a
  /// read or a write can be served; for the load balancer's health check.
  virtual bool isServing(TimePoint now) const = 0;
};

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_IREQUESTCOORDINATOR_H
