// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Statements sent to an instance in one go, and what came of each.

#ifndef STEPLEDGE_UPSTREAM_TYPES_BATCH_H
#define STEPLEDGE_UPSTREAM_TYPES_BATCH_H

#include "base/types/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace stepledge::upstream {

/// A value in text form; none is SQL's NULL.
using Value = std::optional<std::string>;
using Row = std::vector<Value>;

/// One statement of a batch.
struct Step {
  std::string Sql;
  std::vector<Value> Parameters;
  /// Ends an implicit transaction here; after an error the steps up to the
  /// next such place are skipped.
  bool SyncAfter = false;
};

/// Statements that go out together, without waiting for one another's answer.
struct Batch {
  BatchId Id;
  std::vector<Step> Steps;
};

enum class StepOutcome {
  Ok,
  Failed,
  /// An earlier step failed, so this one was not run.
  Skipped,
};

struct StepResult {
  StepOutcome Outcome = StepOutcome::Skipped;
  /// The five-letter code of SQL's standard, when failed.
  std::string SqlState;
  std::string Message;
  std::vector<std::string> Columns;
  std::vector<Row> Rows;
  std::int64_t AffectedRows = 0;
};

/// Where the connection's transaction stands after a batch.
enum class TransactionState {
  Idle,
  Open,
  Failed,
  Unclear,
};

struct BatchResult {
  BatchId Id;
  std::vector<StepResult> Steps;
  TransactionState After = TransactionState::Unclear;
};

} // namespace stepledge::upstream

#endif // STEPLEDGE_UPSTREAM_TYPES_BATCH_H
