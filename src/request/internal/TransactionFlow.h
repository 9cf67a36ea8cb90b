// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Transactions of several statements, each pinned to one connection.

#ifndef STEPLEDGE_REQUEST_INTERNAL_TRANSACTIONFLOW_H
#define STEPLEDGE_REQUEST_INTERNAL_TRANSACTIONFLOW_H

#include "request/internal/DatabaseContext.h"
#include "request/internal/TransactionTable.h"
#include "request/internal/WriteFlow.h"

namespace stepledge::request {

class TransactionFlow {
public:
  TransactionFlow(DatabaseContext &context, WriteFlow &writes)
      : Context(context), Writes(writes) {}

  /// Refuses a request that can't run, else reserves its transaction for it.
  /// Returns whether the request may be queued.
  bool accept(ActiveRequest &request, TimePoint now);
  /// Returns whether the request has left the queue.
  bool start(ActiveRequest &request, TimePoint now);
  void finished(const TransactionWork &work, const RunningWork &running,
                ConnectionId connection, const upstream::BatchResult &result,
                TimePoint now);
  void lost(const TransactionWork &work, const InstanceId &instance,
            TimePoint now);
  /// Handles the loss of a pinned connection that ran nothing.
  void lostPinned(ConnectionId connection, TimePoint now);
  /// Handles the deadline of a request that was sent or waits for a slot, and a
  /// request that the queue refuses.
  void expire(ActiveRequest &request, TimePoint now);
  /// Rolls back transactions that have been idle or open for too long, unless
  /// they are committing.
  void abortExpired(TimePoint now);
  std::optional<TimePoint> nextExpiry() const;
  std::size_t openCount() const { return Table.size(); }

private:
  bool startBegin(ActiveRequest &request, TimePoint now);
  bool acceptStep(ActiveRequest &request, const TransactionId &id,
                  std::uint32_t sequence, TimePoint now);
  void beginDone(ActiveRequest *request, std::uint64_t number,
                 const RunningWork &running,
                 const upstream::BatchResult &result, TimePoint now);
  void stepDone(ActiveRequest *request, std::uint64_t number,
                const upstream::BatchResult &result, TimePoint now);
  void commitDone(ActiveRequest *request, std::uint64_t number,
                  const RunningWork &running,
                  const upstream::BatchResult &result, TimePoint now);
  /// Removes the transaction and closes its connection, which rolls it back.
  void abort(std::uint64_t number, ResultCode reason, TimePoint now);
  TransactionId newId();

  DatabaseContext &Context;
  WriteFlow &Writes;
  TransactionTable Table;
};

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_INTERNAL_TRANSACTIONFLOW_H
