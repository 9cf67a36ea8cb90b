// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The meaning of each result code, and its representation in an
/// absl::Status.

#ifndef STEPLEDGE_BASE_RESULTTABLE_H
#define STEPLEDGE_BASE_RESULTTABLE_H

#include "base/types/ResultCode.h"

#include "absl/status/status.h"

#include <span>
#include <string_view>

namespace stepledge {

/// One row of the table of result codes.
struct ResultRow {
  ResultCode Code;
  std::string_view Name;
  ResultClass Class;
  /// The HTTP status of answers with this code.
  int HttpStatus;
  /// One plain sentence.
  std::string_view Meaning;
};

/// All rows, in ascending order of their codes.
std::span<const ResultRow> resultRows();

/// The row of \p code; each code has one.
const ResultRow &resultRow(ResultCode code);

std::string_view nameOf(ResultClass value);

/// A status that carries \p code and a readable \p detail.
absl::Status makeStatus(ResultCode code, std::string_view detail);

/// The code of a status from makeStatus(); Done for an OK status, BodyInvalid
/// for any other.
ResultCode codeOf(const absl::Status &status);

} // namespace stepledge

#endif // STEPLEDGE_BASE_RESULTTABLE_H
