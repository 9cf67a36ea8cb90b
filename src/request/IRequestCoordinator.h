// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The life of every request, from its arrival to its answer, as a
/// state machine without sockets, clocks or threads.

#ifndef STEPLEDGE_REQUEST_IREQUESTCOORDINATOR_H
#define STEPLEDGE_REQUEST_IREQUESTCOORDINATOR_H

#include "request/types/Events.h"

#include <cstddef>
#include <optional>

namespace stepledge::request {

class IRequestCoordinator {
public:
  virtual ~IRequestCoordinator() = default;

  /// Takes in \p event and returns what is to be done, in that order.
  virtual Effects onEvent(const Event &event, TimePoint now) = 0;

  /// When to call with TimePassed at the latest.
  virtual std::optional<TimePoint> nextWake() const = 0;

  /// Requests and transactions not yet finished.
  virtual std::size_t openWork() const = 0;

  /// Whether no primary of \p database has been heard of lately; for another
  /// VM's question.
  virtual bool isPrimarySilent(const DatabaseId &database,
                               TimePoint now) const = 0;

  /// Whether every database's configuration is known and a read or a write
  /// can be served; for the balancer's question.
  virtual bool isServing(TimePoint now) const = 0;
};

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_IREQUESTCOORDINATOR_H
