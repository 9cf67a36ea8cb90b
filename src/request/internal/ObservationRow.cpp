// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "request/internal/ObservationRow.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

#include <string>

namespace stepledge::request {

namespace {

const std::string *cell(const upstream::StepResult &step,
                        std::string_view column) {
  for (std::size_t n = 0; n < step.Columns.size(); ++n)
    if (step.Columns[n] == column && n < step.Rows[0].size() && step.Rows[0][n])
      return &*step.Rows[0][n];
  return nullptr;
}

bool readNumber(const upstream::StepResult &step, std::string_view column,
                std::uint64_t &out) {
  const auto *text = cell(step, column);
  return text != nullptr && absl::SimpleAtoi(*text, &out);
}

/// "TERM:START,TERM:START"
std::vector<routing::TermStart> readHistory(const std::string &text) {
  std::vector<routing::TermStart> out;
  for (const auto part : absl::StrSplit(text, ',', absl::SkipEmpty())) {
    const std::pair<std::string, std::string> pair =
        absl::StrSplit(part, absl::MaxSplits(':', 1));
    routing::TermStart start;
    if (!absl::SimpleAtoi(pair.first, &start.Began.Number) ||
        !absl::SimpleAtoi(pair.second, &start.After.Offset))
      return {};
    out.push_back(start);
  }
  return out;
}

} // namespace

std::optional<routing::Observation>
readObservation(const upstream::StepResult &step) {
  if (step.Outcome != upstream::StepOutcome::Ok || step.Rows.size() != 1)
    return std::nullopt;
  routing::Observation seen;
  const auto *role = cell(step, "role");
  if (role == nullptr || !readNumber(step, "term", seen.Promised.Number) ||
      !readNumber(step, "log_term", seen.LogTerm.Number) ||
      !readNumber(step, "durable", seen.Durable.Offset) ||
      !readNumber(step, "applied", seen.Applied.Offset))
    return std::nullopt;
  seen.Role = valueIn(routing::RoleNames, *role)
                  .value_or(routing::InstanceRole::Unknown);
  std::uint64_t leaving = 0;
  seen.Leaving = readNumber(step, "leaving", leaving) && leaving != 0;
  if (const auto *history = cell(step, "history"))
    seen.History = readHistory(*history);
  return seen;
}

} // namespace stepledge::request
