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
  /// The write ran; its answer waits until a majority holds Awaited.
  AwaitingMajority,
  Beginning,
  InTransaction,
  CommittingTransaction,
  RollingBack,
};

struct ActiveRequest {
  CallerRequest Request;
  admission::WorkClass Class = admission::WorkClass::Browse;
  Phase Now = Phase::Queued;
  TimePoint ArrivedAt;
  /// Earliest time of the next attempt.
  TimePoint NotBefore;
  int Attempts = 0;
  std::set<InstanceId> Tried;
  ConnectionId On;
  /// The primary's term when the write was sent.
  Term SentIn;
  /// Upper bound of the write's position: other writes may have come between.
  Mark Awaited;
  /// Lower bound of the write's position, where it is known.
  std::optional<Mark> AtLeast;
  /// The answer sent once a majority holds Awaited.
  CallerAnswer Pending;
  /// The code answered if the deadline passes while the request is queued.
  ResultCode Waiting = ResultCode::DeadlinePassed;
  DecisionRecord Record;
};

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_INTERNAL_ACTIVEREQUEST_H
