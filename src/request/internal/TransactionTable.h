// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The open transactions of one database in this process, and the reasons
/// why recent ones were closed.

#ifndef STEPLEDGE_REQUEST_INTERNAL_TRANSACTIONTABLE_H
#define STEPLEDGE_REQUEST_INTERNAL_TRANSACTIONTABLE_H

#include "base/types/Ids.h"
#include "base/types/LogPosition.h"
#include "base/types/ResultCode.h"
#include "base/types/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace stepledge::request {

enum class TransactionPhase {
  Beginning,
  /// Runs no statement at present.
  Ready,
  /// A statement waits for a slot or runs.
  Running,
  Committing,
};

struct OpenTransaction {
  TransactionId Id;
  ConnectionId Connection;
  InstanceId Instance;
  Term BeganInTerm;
  TransactionPhase CurrentPhase = TransactionPhase::Beginning;
  std::uint32_t NextSequence = 1;
  /// The request that runs or waits to run.
  RequestId Request;
  TimePoint OpenedAt;
  TimePoint LastUsedAt;
};

class TransactionTable {
public:
  std::uint64_t open(std::uint64_t number, OpenTransaction transaction);
  OpenTransaction *find(std::uint64_t number);
  /// The open transaction of that id, with its number.
  std::pair<std::uint64_t, OpenTransaction *> find(const TransactionId &id);
  void close(std::uint64_t number, ResultCode reason);
  /// Why a transaction was closed; TransactionUnknown if it was never open or
  /// its reason is no longer kept.
  ResultCode closeReason(const TransactionId &id) const;
  std::size_t size() const { return Open.size(); }
  std::vector<std::uint64_t> numbers() const;
  const std::map<std::uint64_t, OpenTransaction> &all() const { return Open; }

private:
  std::map<std::uint64_t, OpenTransaction> Open;
  std::map<TransactionId, ResultCode> Closed;
  std::deque<TransactionId> ClosedOrder;
};

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_INTERNAL_TRANSACTIONTABLE_H
