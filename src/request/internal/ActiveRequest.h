// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file One request between its arrival and its answer.

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
  /// A write without a key was sent, its commit included.
  Writing,
  /// A write with a key was sent without its commit.
  Inserting,
  /// The commit of a write with a key was sent.
  Committing,
  /// The recorded answer of an earlier request with the key is being read.
  Replaying,
  /// The commit's outcome is open; it waits for a primary to ask.
  AwaitingProbe,
  /// The key is being put in again, to see whether it can be.
  Probing,
  ProbeReading,
  /// It ran; its answer waits for a majority to hold Awaited.
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
  /// Not to be tried before.
  TimePoint NotBefore;
  int Attempts = 0;
  std::set<InstanceId> Tried;
  ConnectionId On;
  /// The primary's term when the write was sent to it.
  Term SentIn;
  /// Not before what was written: others may have written in between.
  Mark Awaited;
  /// Not after what was written, where that is known.
  std::optional<Mark> AtLeast;
  /// What is answered once Awaited is held.
  CallerAnswer Pending;
  /// What is answered if the deadline comes while it is queued.
  ResultCode Waiting = ResultCode::DeadlinePassed;
  DecisionRecord Record;
};

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_INTERNAL_ACTIVEREQUEST_H
