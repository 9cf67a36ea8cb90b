// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "api/internal/AnswerWriter.h"

#include "base/ResultTable.h"

#include "absl/strings/str_cat.h"

#include <nlohmann/json.hpp>

namespace stepledge::api {

namespace {

using nlohmann::json;

std::string dump(const json &body) {
  return body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

json rowsJson(const std::vector<upstream::Row> &rows) {
  auto out = json::array();
  for (const auto &row : rows) {
    auto cells = json::array();
    for (const auto &it : row)
      cells.push_back(it ? json(*it) : json());
    out.push_back(std::move(cells));
  }
  return out;
}

json outcomeJson(ResultCode code, const std::string &detail) {
  const auto &row = resultRow(code);
  json out = {{"code", static_cast<int>(code)},
              {"result", row.Name},
              {"class", nameOf(row.Class)}};
  if (code != ResultCode::Done)
    out["message"] = row.Meaning;
  if (!detail.empty())
    out["detail"] = detail;
  return out;
}

/// Whole seconds, rounded up, as HTTP has it.
std::string seconds(Duration time) {
  const auto n = std::chrono::ceil<std::chrono::seconds>(time).count();
  return std::to_string(n);
}

} // namespace

http::HttpReply writeAnswer(const request::CallerAnswer &answer) {
  auto body = outcomeJson(answer.Code, answer.Detail);
  const auto &row = resultRow(answer.Code);
  if (!answer.Decision.empty())
    body["decision"] = answer.Decision.str();
  if (row.Class == ResultClass::Ran) {
    body["columns"] = answer.Result.Columns;
    body["rows"] = rowsJson(answer.Result.Rows);
    body["affected_rows"] = answer.Result.AffectedRows;
    body["answered_by"] = answer.AnsweredBy.str();
    body["from_replica"] = answer.IsFromReplica;
  }
  if (answer.Age)
    body["age_ms"] = toMilliseconds(*answer.Age);
  if (answer.IsReplayed)
    body["replayed"] = true;
  if (!answer.Transaction.empty())
    body["transaction"] = answer.Transaction.str();
  http::HttpReply reply;
  if (answer.RetryAfter.count() > 0) {
    body["retry_after_ms"] = toMilliseconds(answer.RetryAfter);
    reply.Headers.push_back({"Retry-After", seconds(answer.RetryAfter)});
  }
  reply.Status = row.HttpStatus;
  reply.Body = dump(body);
  return reply;
}

http::HttpReply writeRefusal(ResultCode code, const std::string &detail) {
  http::HttpReply reply;
  reply.Status = resultRow(code).HttpStatus;
  reply.Body = dump(outcomeJson(code, detail));
  return reply;
}

http::HttpReply writeExplanation(const std::string &decision,
                                 const std::vector<std::string> &lines) {
  if (lines.empty())
    return writeRefusal(ResultCode::DecisionUnknown, decision);
  http::HttpReply reply;
  reply.Body = dump({{"decision", decision}, {"explanation", lines}});
  return reply;
}

} // namespace stepledge::api
