// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The answer to a caller's request.

#ifndef STEPLEDGE_REQUEST_TYPES_CALLERANSWER_H
#define STEPLEDGE_REQUEST_TYPES_CALLERANSWER_H

#include "base/types/Ids.h"
#include "base/types/ResultCode.h"
#include "base/types/Time.h"
#include "session/types/SessionMarks.h"
#include "upstream/types/Batch.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace stepledge::request {

struct ResultSet {
  std::vector<std::string> Columns;
  std::vector<upstream::Row> Rows;
  std::int64_t AffectedRows = 0;

  bool operator==(const ResultSet &) const = default;
};

struct CallerAnswer {
  RequestId Id;
  ResultCode Code = ResultCode::Done;
  /// Text that adds to the code's meaning; may be empty.
  std::string Detail;
  ResultSet Result;
  /// The positions that the session has observed, this answer included.
  session::SessionMarks Marks;
  InstanceId AnsweredBy;
  bool IsFromReplica = false;
  /// For reads: an upper bound of the data's age.
  std::optional<Duration> Age;
  /// Whether this is the recorded answer of an earlier request with the key.
  bool IsReplayed = false;
  TransactionId Transaction;
  /// For refusals: the delay before the caller may retry.
  Duration RetryAfter{0};
  DecisionId Decision;
};

} // namespace stepledge::request

#endif // STEPLEDGE_REQUEST_TYPES_CALLERANSWER_H
