// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The decisions made for one request and their reasons, kept for later
/// queries.

#ifndef STEPLEDGE_REQUEST_TYPES_DECISIONRECORD_H
#define STEPLEDGE_REQUEST_TYPES_DECISIONRECORD_H

#include "base/types/Ids.h"
#include "base/types/LogPosition.h"
#include "base/types/ResultCode.h"
#include "base/types/Time.h"
#include "routing/types/RouteDecision.h"

#include <string>
#include <variant>
#include <vector>

namespace stepledge::request {

enum class NoteKind {
  Admitted,
  Refused,
  Sent,
  ProofBehind,
  ProofTooOld,
  ProofNotPrimary,
  ProofHistoryLost,
  InstanceLost,
  Retried,
  RetryBudgetSpent,
  WaitingForPrimary,
  CommitSent,
  KeyFound,
  LookingUpKey,
  KeyAbsent,
  AwaitingMajority,
  MajorityReached,
  Discarded,
  DeadlinePassed,
  PrimarySuspected,
  FencingMajority,
  PromotingMostAdvanced,
  ReplacementEnded,
};

/// One step, with the instance and the mark that it concerns, if any.
struct Note {
  NoteKind Kind = NoteKind::Admitted;
  InstanceId Instance;
  Mark AtMark;
  std::string Detail;
};

struct RecordEntry {
  /// Time since the request arrived.
  Duration Elapsed{0};
  std::variant<Note, routing::RouteDecision> Content;
};

struct DecisionRecord {
  DecisionId Id;
  DatabaseId Database;
  std::string Kind;
  std::vector<RecordEntry> Entries;
  ResultCode Outcome = ResultCode::Done;
  Duration TotalTime{0};
};

/// The record as sentences: one for each entry, and one for the outcome.
std::vector<std::string> describe(const DecisionRecord &record);

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_TYPES_DECISIONRECORD_H
