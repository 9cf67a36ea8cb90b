// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What the coordinator is told, and what it wants done.

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

/// Also: could not be opened.
struct ConnectionLost {
  ConnectionId Connection;
  std::string Reason;
};

struct BatchFinished {
  ConnectionId Connection;
  upstream::BatchResult Result;
};

/// A moment that nextWake() asked for has come.
struct TimePassed {};

/// The VM is to stop: nothing new is taken, what is open may finish.
struct StopRequested {};

/// An operator or the platform says whether an instance is to get new work.
struct InstanceLeaving {
  DatabaseId Database;
  InstanceId Instance;
  bool Leaving = true;
};

/// Another VM says whether it hears the primary of that term.
struct PeerOpinion {
  DatabaseId Database;
  VmId Peer;
  Term Current;
  bool IsSilent = false;
};

using Event = std::variant<RequestArrived, ConnectionOpened, ConnectionLost,
                           BatchFinished, TimePassed, StopRequested,
                           InstanceLeaving, PeerOpinion>;

struct OpenConnection {
  ConnectionId Connection;
  DatabaseId Database;
  InstanceId Instance;
};

/// Whatever still comes from it will be ignored.
struct CloseConnection {
  ConnectionId Connection;
};

struct RunBatch {
  ConnectionId Connection;
  /// The request it serves; 0 for the process's own questions.
  RequestId For;
  upstream::Batch Work;
};

struct SendAnswer {
  CallerAnswer Answer;
};

struct RecordDecision {
  DecisionRecord Record;
};

/// Ask the VMs in other halls whether they hear the primary of that term.
struct AskOtherHalls {
  DatabaseId Database;
  Term Current;
};

using Effect = std::variant<OpenConnection, CloseConnection, RunBatch,
                            SendAnswer, RecordDecision, AskOtherHalls>;
using Effects = std::vector<Effect>;

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_TYPES_EVENTS_H
