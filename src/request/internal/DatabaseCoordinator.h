// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Handles all requests of one database: processes the events and runs
/// the flows.

#ifndef STEPLEDGE_REQUEST_INTERNAL_DATABASECOORDINATOR_H
#define STEPLEDGE_REQUEST_INTERNAL_DATABASECOORDINATOR_H

#include "request/internal/DatabaseContext.h"
#include "request/internal/ObserveFlow.h"
#include "request/internal/ReadFlow.h"
#include "request/internal/ReplacementFlow.h"
#include "request/internal/TransactionFlow.h"
#include "request/internal/WriteFlow.h"

#include <optional>

namespace stepledge::request {

class DatabaseCoordinator {
public:
  DatabaseCoordinator(const settings::DatabaseSettings &database,
                      const settings::Settings &common,
                      ProcessCounters &counters, routing::Random &random);

  void arrived(const CallerRequest &request, TimePoint now);
  void opened(ConnectionId connection, TimePoint now);
  void lost(ConnectionId connection, TimePoint now);
  void finished(ConnectionId connection, const upstream::BatchResult &result,
                TimePoint now);
  void stop() { Context.IsStopping = true; }
  /// Lets all unfinished requests expire, as the process exits.
  void end(TimePoint now);
  void setLeaving(const InstanceId &instance, bool leaving, TimePoint now) {
    Context.View.setLeaving(instance, leaving, now);
  }

  void receivePeerReport(const PeerReport &report) {
    Replacing.receivePeerReport(report);
  }
  bool isPrimarySilent(TimePoint now) const { return Replacing.isSilent(now); }

  /// Runs all due work; must be called after each event.
  void advance(TimePoint now);
  Effects takeEffects();
  std::optional<TimePoint> nextWake(TimePoint now) const;
  std::size_t openWorkCount() const;
  bool isServing(TimePoint now) const;

private:
  bool needsFrequentPolling() const;
  bool accept(ActiveRequest &request, TimePoint now);
  bool start(ActiveRequest &request, TimePoint now);
  void dispatchQueue(TimePoint now);
  /// Answers the queued requests whose deadlines are not after \p deadline.
  void expireQueued(TimePoint deadline, TimePoint now);
  void expireSent(TimePoint now);
  void keepWarm(TimePoint now);
  /// Aborts writes and transactions that still run on a replaced primary.
  void abortOnReplacedPrimary(TimePoint now);
  void disconnect(ConnectionId connection, TimePoint now);
  void disconnectInstance(const InstanceId &instance, TimePoint now);
  void abortWork(const RunningWork &running, TimePoint now);

  DatabaseContext Context;
  /// The newest term for which work on older primaries was aborted.
  Term AbortedInTerm;
  ObserveFlow Observing;
  ReplacementFlow Replacing;
  ReadFlow Reads;
  WriteFlow Writes;
  TransactionFlow Transactions;
};

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_INTERNAL_DATABASECOORDINATOR_H
