// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Polls the state of each instance over a separate connection.

#ifndef STEPLEDGE_REQUEST_INTERNAL_OBSERVEFLOW_H
#define STEPLEDGE_REQUEST_INTERNAL_OBSERVEFLOW_H

#include "request/internal/DatabaseContext.h"

#include <map>
#include <optional>
#include <vector>

namespace stepledge::request {

class ObserveFlow {
public:
  explicit ObserveFlow(DatabaseContext &context);

  /// Polls the instances that are due, at a shorter interval while \p fast.
  /// Returns the instances whose answer is overdue.
  std::vector<InstanceId> tick(bool fast, TimePoint now);
  void opened(ConnectionId connection, TimePoint now);
  /// Sends \p step to \p instance with an extra poll. While another poll is
  /// pending, the step is dropped, and the caller sends it again later.
  void sendOrder(const InstanceId &instance, upstream::Step step,
                 TimePoint now);
  void finished(const RunningWork &running, ConnectionId connection,
                const upstream::BatchResult &result, TimePoint now);
  /// Handles a monitoring connection that was lost or could not be opened.
  void lost(const InstanceId &instance);
  TimePoint nextWake(bool fast, TimePoint now) const;

private:
  struct Monitor {
    std::optional<ConnectionId> Connection;
    /// A poll or the opening of the connection is pending.
    bool IsPending = false;
    TimePoint Since;
  };

  TimePoint nextPollAt(const Monitor &monitor, bool fast) const;
  void poll(Monitor &monitor, TimePoint now);

  DatabaseContext &Context;
  std::map<InstanceId, Monitor> Monitors;
};

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_INTERNAL_OBSERVEFLOW_H
