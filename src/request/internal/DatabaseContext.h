// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The state that the flows of one database share: the view of the
/// group, the connections, the queue and the active requests.

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

/// The kinds of work that a connection runs.
struct ObserveWork {};
struct ReadWork {
  RequestId Request;
};
struct WriteWork {
  RequestId Request;
  /// Steps of the batch before those of the transaction.
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
  Work Task;
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
                  routing::Random &random);

  /// \name Requests
  /// @{
  ActiveRequest *find(RequestId id);
  void note(ActiveRequest &request, Note note, TimePoint now);
  /// Records that the connection to \p instance was lost while \p id ran on
  /// it; returns the request if it is still open.
  ActiveRequest *noteLost(RequestId id, const InstanceId &instance,
                          TimePoint now);
  /// Answers the request and removes it.
  void finish(RequestId id, CallerAnswer answer, TimePoint now);
  void refuse(RequestId id, ResultCode code, const std::string &detail,
              TimePoint now);
  /// Puts the request back into the queue, at the front of its class.
  void requeue(ActiveRequest &request);
  /// Retries the request if the limit of attempts and the retry budget allow
  /// it, else refuses it with \p code.
  void retryOrRefuse(ActiveRequest &request, ResultCode code, TimePoint now);
  /// @}

  /// \name Connections
  /// @{
  void send(ConnectionId connection, Work work,
            std::vector<upstream::Step> steps, TimePoint now);
  /// Closes a connection; the database rolls back an open transaction.
  void close(ConnectionId connection, TimePoint now);
  /// Makes a connection idle again if its transaction state allows it: an open
  /// transaction is rolled back first, an unclear state closes the connection.
  void release(ConnectionId connection, upstream::TransactionState after,
               TimePoint now);
  /// An idle connection to \p instance, if it has a free slot too.
  std::optional<ConnectionId> connectionFor(const InstanceId &instance) const;
  bool hasFreeSlot(const InstanceId &instance) const;
  routing::Loads loads() const;
  bool hasCapacity() const;
  /// The primary, if it has answered recently.
  std::optional<InstanceId> livePrimary(TimePoint now) const;
  void noteCompleted(const InstanceId &instance, TimePoint sentAt,
                     TimePoint now);
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
  routing::Random &Random;
  std::map<InstanceId, admission::ConcurrencyLimit> Limits;
  std::map<InstanceId, Duration> ServiceTimes;
  std::map<InstanceId, Duration> Distances;
  absl::flat_hash_map<RequestId, ActiveRequest> Requests;
  std::map<ConnectionId, RunningWork> Running;
  Effects PendingEffects;
  bool IsStopping = false;
};

/// The result set of \p step, for the answer to the caller.
ResultSet resultOf(const upstream::StepResult &step);

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_INTERNAL_DATABASECONTEXT_H
