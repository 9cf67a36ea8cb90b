// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Keeps asking each instance about itself, over a connection of its
/// own.

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

  /// Asks whom it is time to ask; soon again while \p eager. Returns the
  /// instances that have not answered for too long.
  std::vector<InstanceId> tick(bool eager, TimePoint now);
  void opened(ConnectionId connection, TimePoint now);
  /// Sends \p step to \p instance with the next question, at once if none is
  /// under way; else it is dropped, to be given again.
  void order(const InstanceId &instance, upstream::Step step, TimePoint now);
  void finished(const RunningWork &running, ConnectionId connection,
                const upstream::BatchResult &result, TimePoint now);
  /// A monitoring connection was lost or could not be opened.
  void lost(const InstanceId &instance);
  TimePoint nextWake(bool eager, TimePoint now) const;

private:
  struct Monitor {
    std::optional<ConnectionId> Connection;
    /// A question, or the opening, is under way.
    bool Waiting = false;
    TimePoint Since;
  };

  TimePoint nextAsk(const Monitor &monitor, bool eager) const;
  void ask(Monitor &monitor, TimePoint now);

  DatabaseContext &Context;
  std::map<InstanceId, Monitor> Monitors;
};

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_INTERNAL_OBSERVEFLOW_H
