// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Runs writes on the primary, at most once for each key, and
/// acknowledges them once a majority holds them.

#ifndef STEPLEDGE_REQUEST_INTERNAL_WRITEFLOW_H
#define STEPLEDGE_REQUEST_INTERNAL_WRITEFLOW_H

#include "request/internal/DatabaseContext.h"

#include <map>
#include <string>

namespace stepledge::request {

/// The lowest position of a write that the primary ran after it reported
/// \p seen.
Mark firstMarkAfter(const routing::Observation &seen);

class WriteFlow {
public:
  explicit WriteFlow(DatabaseContext &context) : Context(context) {}

  /// Refuses a request whose key belongs to a write that is not yet answered
  /// here. Returns whether the request may be queued.
  bool accept(ActiveRequest &request, TimePoint now);
  /// Returns whether the request has left the queue.
  bool start(ActiveRequest &request, TimePoint now);
  void finished(const WriteWork &work, const RunningWork &running,
                ConnectionId connection, const upstream::BatchResult &result,
                TimePoint now);
  void lost(const WriteWork &work, const InstanceId &instance, TimePoint now);
  /// Handles the deadline of a request that has been sent.
  void expire(ActiveRequest &request, TimePoint now);

  /// Adds \p mark to the marks of \p answer and sends it once a majority holds
  /// \p mark; at once in mode Primary.
  void awaitMajority(ActiveRequest &request, Mark mark, CallerAnswer answer,
                     TimePoint now);
  /// Answers the writes that a majority holds. One whose mark is discarded is
  /// refused, or awaits a probe if it has a key.
  void resolveAwaiting(TimePoint now);
  bool isAwaitingMajority() const;

  /// The primary that may run a write of \p request now; none also if it is
  /// leaving and begins no such work, or older than the session's marks.
  /// Without one, the wait is noted in the record of \p request.
  std::optional<InstanceId> usablePrimary(ActiveRequest &request,
                                          TimePoint now);

private:
  bool acceptsNewWork(const InstanceId &primary, const ActiveRequest &request,
                      TimePoint now) const;
  bool hasLostHistory(const ActiveRequest &request) const;
  const WriteCall &callOf(const ActiveRequest &request) const;
  void sendPlain(ActiveRequest &request, ConnectionId connection,
                 TimePoint now);
  void sendInsert(ActiveRequest &request, ConnectionId connection,
                  TimePoint now);
  void sendProbe(ActiveRequest &request, ConnectionId connection,
                 TimePoint now);
  void sendReplay(ActiveRequest &request, ConnectionId connection, Phase phase,
                  TimePoint now);
  void plainDone(ActiveRequest &request, const RunningWork &running,
                 const upstream::BatchResult &result, TimePoint now);
  void insertDone(ActiveRequest &request, const RunningWork &running,
                  ConnectionId connection, const upstream::BatchResult &result,
                  std::size_t offset, TimePoint now);
  void commitDone(ActiveRequest &request, const RunningWork &running,
                  const upstream::BatchResult &result, TimePoint now);
  void replayDone(ActiveRequest &request, const RunningWork &running,
                  const upstream::BatchResult &result, TimePoint now);
  void probeDone(ActiveRequest &request, const RunningWork &running,
                 ConnectionId connection, const upstream::BatchResult &result,
                 TimePoint now);
  void handleDiscarded(ActiveRequest &request, TimePoint now);
  /// Retries or refuses the request, depending on \p step, the first one that
  /// did not run.
  void handleNotRun(ActiveRequest &request, const upstream::StepResult &step,
                    const std::optional<routing::Observation> &seen,
                    TimePoint now);
  void handleUnknownOutcome(ActiveRequest &request, TimePoint now);
  std::optional<routing::Observation>
  recordObservation(const RunningWork &running,
                    const upstream::BatchResult &result, std::size_t step,
                    TimePoint now);

  DatabaseContext &Context;
  /// The newest term in which the ledger's table is known to exist.
  Term LedgerExistsInTerm;
};

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_INTERNAL_WRITEFLOW_H
