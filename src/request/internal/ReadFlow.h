// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Runs reads: chooses an instance, observes its state in the same
/// transaction, and checks that the state meets the read's needs.

#ifndef STEPLEDGE_REQUEST_INTERNAL_READFLOW_H
#define STEPLEDGE_REQUEST_INTERNAL_READFLOW_H

#include "request/internal/DatabaseContext.h"

namespace stepledge::request {

class ReadFlow {
public:
  explicit ReadFlow(DatabaseContext &context) : Context(context) {}

  /// Returns whether the request has left the queue.
  bool start(ActiveRequest &request, TimePoint now);
  void finished(const ReadWork &work, const RunningWork &running,
                ConnectionId connection, const upstream::BatchResult &result,
                TimePoint now);
  void lost(const ReadWork &work, const InstanceId &instance, TimePoint now);

private:
  routing::ReadNeed needOf(const ActiveRequest &request) const;
  void waitForChange(ActiveRequest &request, ResultCode why, TimePoint now);
  void sendTo(ActiveRequest &request, const InstanceId &instance,
              TimePoint now);
  void checkProof(ActiveRequest &request, const InstanceId &instance,
                  const routing::Observation &seen,
                  const upstream::StepResult &step, TimePoint now);
  std::optional<Duration> ageOf(const routing::Observation &seen,
                                TimePoint now) const;
  void answer(ActiveRequest &request, const InstanceId &instance,
              const routing::Observation &seen,
              const upstream::StepResult &step, TimePoint now);

  DatabaseContext &Context;
};

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_INTERNAL_READFLOW_H
