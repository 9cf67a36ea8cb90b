// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What the flows of one database share: what is known of the group,
/// the connections, the queue, and the requests under way.

#ifndef STEPLEDGE_REQUEST_INTERNAL_DATABASECONTEXT_H
#define STEPLEDGE_REQUEST_INTERNAL_DATABASECONTEXT_H

#include "admission/ConcurrencyLimit.h"
#include "admission/RequestQueue.h"
#include "admission/RetryBudget.h"
#include "request/internal/ActiveRequest.h"
#include "request/internal/ConnectionPool.h"
#include "request/types/Events.h"
#include "routing/ReadRouter.h"
#include "settings/types/Settings.h"

#include "absl/container/flat_hash_map.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace stepledge::request {

/// What a connection is running.
struct ObserveWork {};
struct ReadWork {
  RequestId Request;
};
struct WriteWork {
  RequestId Request;
  /// Steps before the transaction's own.
  std::size_t Offset = 0;
};
struct TransactionWork {
  std::uint64_t Transaction = 0;
  RequestId Request;
};
struct ResetWork {};

using Work =
    std::variant<ObserveWork, ReadWork, WriteWork, TransactionWork, ResetWork>;

struct RunningWork {
  Work What;
  BatchId Batch;
  InstanceId Instance;
  TimePoint SentAt;
  std::size_t Steps = 0;
};

/// Counters that the databases of one process share.
struct ProcessCounters {
  std::uint64_t Connections = 0;
  std::uint64_t Batches = 0;
  std::uint64_t Decisions = 0;
  std::uint64_t Transactions = 0;
};

class DatabaseContext {
public:
  DatabaseContext(const settings::DatabaseSettings &database,
                  const settings::Settings &common, ProcessCounters &counters,
                  routing::Random &chance);

  /// \name Requests
  /// @{
  ActiveRequest *find(RequestId id);
  void note(ActiveRequest &request, Note note, TimePoint now);
  /// The connection to \p instance was lost while \p id ran on it; gives the
  /// request, if it is still open.
  ActiveRequest *noteLost(RequestId id, const InstanceId &instance,
                          TimePoint now);
  /// Answers and forgets the request.
  void finish(RequestId id, CallerAnswer answer, TimePoint now);
  void refuse(RequestId id, ResultCode code, const std::string &detail,
              TimePoint now);
  /// Puts it back into the queue, first in its class.
  void requeue(ActiveRequest &request);
  /// Tries it again if that is within the budget, else refuses with \p code.
  void retryOrRefuse(ActiveRequest &request, ResultCode code, TimePoint now);
  /// @}

  /// \name Connections
  /// @{
  void send(ConnectionId connection, Work work,
            std::vector<upstream::Step> steps, TimePoint now);
  /// Takes a connection out of use; the database rolls back what is open.
  void close(ConnectionId connection, TimePoint now);
  /// Makes a connection idle again, proved by its transaction state: what is
  /// open is rolled back first, and what is unclear is closed.
  void release(ConnectionId connection, upstream::TransactionState after,
               TimePoint now);
  /// An idle connection, where a slot is free as well.
  std::optional<ConnectionId> connectionFor(const InstanceId &instance) const;
  bool hasFreeSlot(const InstanceId &instance) const;
  routing::Loads loads() const;
  bool hasCapacity() const;
  /// The primary, if it has been heard of lately.
  std::optional<InstanceId> livePrimary(TimePoint now) const;
  void noteServed(const InstanceId &instance, TimePoint sentAt, TimePoint now);
  /// @}

  bool fitsLimits(const ResultSet &result) const;

  const settings::DatabaseSettings &Database;
  const settings::Settings &Common;
  routing::GroupView View;
  routing::ReadRouter Router;
  admission::RequestQueue Queue;
  admission::RetryBudget Retries;
  ConnectionPool Pool;
  ProcessCounters &Counters;
  routing::Random &Chance;
  std::map<InstanceId, admission::ConcurrencyLimit> Limits;
  std::map<InstanceId, Duration> ServiceTimes;
  std::map<InstanceId, Duration> Distances;
  absl::flat_hash_map<RequestId, ActiveRequest> Requests;
  std::map<ConnectionId, RunningWork> Running;
  Effects Out;
  bool Stopping = false;
};

/// The answer fields that every answer from \p step has.
ResultSet resultOf(const upstream::StepResult &step);

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_INTERNAL_DATABASECONTEXT_H
