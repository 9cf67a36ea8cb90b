// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The state of one request between its arrival and its answer.

#ifndef STEPLEDGE_REQUEST_INTERNAL_ACTIVEREQUEST_H
#define STEPLEDGE_REQUEST_INTERNAL_ACTIVEREQUEST_H

#include "admission/types/WorkClass.h"
#include "request/types/CallerAnswer.h"
#include "request/types/CallerRequest.h"
#include "request/types/DecisionRecord.h"

#include <optional>
#include <set>

namespace stepledge::request {

enum class Phase {
  Queued,
  Reading,
  /// A write without a key was sent, including its commit.
  Writing,
  /// A write with a key was sent without its commit.
  Inserting,
  /// The commit of a write with a key was sent.
  Committing,
  /// The recorded answer of an earlier request with the key is being read.
  Replaying,
  /// The commit's outcome is unknown; a primary is awaited for a probe.
  AwaitingProbe,
  /// The key is inserted again to find out whether the write committed.
  Probing,
  /// The probe found the key; its recorded answer is being read.
  ProbeReading,
  /// The write or transaction was committed; its answer waits until a majority
  /// holds AwaitedMark.
  AwaitingMajority,
  Beginning,
  InTransaction,
  CommittingTransaction,
  RollingBack,
};

struct ActiveRequest {
  CallerRequest Request;
  admission::WorkClass Class = admission::WorkClass::Browse;
  Phase CurrentPhase = Phase::Queued;
  TimePoint ArrivedAt;
  /// Earliest time of the next attempt.
  TimePoint NotBefore;
  int Attempts = 0;
  std::set<InstanceId> TriedInstances;
  ConnectionId Connection;
  /// The primary's term when the write was sent.
  Term SentInTerm;
  /// Upper bound of the write's position: other writes may have come between.
  Mark AwaitedMark;
  /// Lower bound of the write's position, where it is known.
  std::optional<Mark> LowestMark;
  /// The answer sent once a majority holds AwaitedMark.
  CallerAnswer PendingAnswer;
  /// The code answered if the deadline passes while the request is queued.
  ResultCode ExpiryCode = ResultCode::DeadlinePassed;
  DecisionRecord Record;
};

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_INTERNAL_ACTIVEREQUEST_H
