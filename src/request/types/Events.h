// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The events that the coordinator processes and the effects it returns.

#ifndef STEPLEDGE_REQUEST_TYPES_EVENTS_H
#define STEPLEDGE_REQUEST_TYPES_EVENTS_H

#include "request/types/CallerAnswer.h"
#include "request/types/CallerRequest.h"
#include "request/types/DecisionRecord.h"
#include "upstream/types/Batch.h"

#include <string>
#include <variant>
#include <vector>

namespace stepledge::request {

struct RequestArrived {
  CallerRequest Request;
};

struct ConnectionOpened {
  ConnectionId Connection;
};

/// The connection was lost, or could not be opened.
struct ConnectionLost {
  ConnectionId Connection;
  std::string Reason;
};

struct BatchFinished {
  ConnectionId Connection;
  upstream::BatchResult Result;
};

/// The time that nextWake() returned has been reached.
struct TimePassed {};

/// The VM shuts down: new requests are refused, open work may finish.
struct StopRequested {};

/// The process exits: each unfinished request is answered by what is known of
/// it, as at its deadline.
struct EndReached {};

/// An operator or the platform reports whether an instance is leaving and is
/// to get no new work.
struct InstanceLeaving {
  DatabaseId Database;
  InstanceId Instance;
  bool IsLeaving = true;
};

/// Another VM reports whether it gets no answers from the primary of that term.
struct PeerReport {
  DatabaseId Database;
  VmId Peer;
  Term Current;
  bool IsSilent = false;
};

using Event = std::variant<RequestArrived, ConnectionOpened, ConnectionLost,
                           BatchFinished, TimePassed, StopRequested, EndReached,
                           InstanceLeaving, PeerReport>;

struct OpenConnection {
  ConnectionId Connection;
  DatabaseId Database;
  InstanceId Instance;
};

/// Later events of the connection are ignored.
struct CloseConnection {
  ConnectionId Connection;
};

struct RunBatch {
  ConnectionId Connection;
  /// The request that the batch serves; 0 for the process's own queries.
  RequestId Request;
  upstream::Batch Batch;
};

struct SendAnswer {
  CallerAnswer Answer;
};

struct RecordDecision {
  DecisionRecord Record;
};

/// Asks the VMs in other halls whether they get answers from the primary of
/// that term.
struct AskOtherHalls {
  DatabaseId Database;
  Term Current;
};

using Effect = std::variant<OpenConnection, CloseConnection, RunBatch,
                            SendAnswer, RecordDecision, AskOtherHalls>;
using Effects = std::vector<Effect>;

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_TYPES_EVENTS_H
