// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What each result code means, and how it travels in an absl::Status.

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
  /// The HTTP status a caller sees with it.
  int HttpStatus;
  /// One plain sentence.
  std::string_view Meaning;
};

/// All rows, by rising code.
std::span<const ResultRow> resultRows();

/// The row of \p code; each code has one.
const ResultRow &resultRow(ResultCode code);

std::string_view nameOf(ResultClass value);

/// A status that carries \p code and a detail in plain words.
absl::Status makeStatus(ResultCode code, std::string_view detail);

/// The code \p status was made with; Done for an OK status.
ResultCode codeOf(const absl::Status &status);

} // namespace stepledge

#endif // STEPLEDGE_BASE_RESULTTABLE_H
