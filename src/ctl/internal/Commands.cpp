// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "ctl/internal/Commands.h"

#include "ctl/internal/SessionFile.h"

#include <nlohmann/json.hpp>

#include <ostream>

namespace stepledge::ctl {

namespace {

using nlohmann::json;

constexpr int HttpOk = 200;

ExitCode exitFor(const json &answer) {
  const auto name = answer.value("class", "");
  if (name == "ran")
    return ExitCode::Ran;
  return name == "not run" ? ExitCode::NotRun : ExitCode::Unknown;
}

std::string cellText(const json &cell) {
  return cell.is_string() ? cell.get<std::string>() : "NULL";
}

void printRows(const json &answer, std::ostream &out) {
  const auto &columns = answer["columns"];
  if (columns.empty())
    return;
  for (std::size_t n = 0; n < columns.size(); ++n)
    out << (n == 0 ? "" : "\t") << cellText(columns[n]);
  out << "\n";
  for (const auto &row : answer["rows"]) {
    for (std::size_t n = 0; n < row.size(); ++n)
      out << (n == 0 ? "" : "\t") << cellText(row[n]);
    out << "\n";
  }
}

void printSource(const json &answer, std::ostream &out) {
  out << "answered by " << answer.value("answered_by", "?")
      << (answer.value("from_replica", false) ? " (replica)" : "");
  if (answer.contains("age_ms"))
    out << ", at most " << static_cast<int>(answer["age_ms"].get<double>())
        << " ms old";
  if (answer.value("replayed", false))
    out << ", as recorded when it first ran";
  out << "\n";
}

} // namespace

ExitCode Commands::unreachable() {
  Err << "can't reach " << Asked.Address << ":" << Asked.Port << "\n";
  return ExitCode::Unreachable;
}

ExitCode Commands::printAnswer(const std::string &body) {
  const auto answer = json::parse(body, nullptr, false);
  if (!answer.is_object()) {
    Err << "the answer can't be read: " << body << "\n";
    return ExitCode::Unknown;
  }
  const auto code = exitFor(answer);
  if (Asked.Json) {
    Out << body;
    return code;
  }
  if (code == ExitCode::Ran) {
    printRows(answer, Out);
    printSource(answer, Out);
    if (answer.contains("transaction"))
      Out << "transaction " << cellText(answer["transaction"]) << "\n";
  } else {
    Out << answer.value("result", "?") << " (" << answer.value("class", "?")
        << "): " << answer.value("message", "") << "\n";
    if (answer.contains("detail"))
      Out << "  " << cellText(answer["detail"]) << "\n";
  }
  if (answer.contains("decision"))
    Out << "decision " << cellText(answer["decision"]) << "\n";
  return code;
}

ExitCode Commands::post(const std::string &path, const std::string &body) {
  auto fields = json::parse(body);
  if (Asked.DeadlineMs > 0)
    fields["deadline_ms"] = Asked.DeadlineMs;
  std::string token;
  if (!Asked.SessionFile.empty())
    token = readSessionFile(Asked.SessionFile);
  const auto reply = Client.post(path, fields.dump(), token);
  if (!reply)
    return unreachable();
  if (!Asked.SessionFile.empty() && !reply->SessionToken.empty() &&
      !writeSessionFile(Asked.SessionFile, reply->SessionToken))
    Err << "can't write " << Asked.SessionFile << "\n";
  return printAnswer(reply->Body);
}

ExitCode Commands::read() {
  json body = {{"statement", Asked.Statement},
               {"parameters", Asked.Parameters}};
  if (Asked.MaxAgeMs >= 0)
    body["max_age_ms"] = Asked.MaxAgeMs;
  return post("/v1/databases/" + Asked.Database + "/read", body.dump());
}

ExitCode Commands::write() {
  json body = {{"statement", Asked.Statement},
               {"parameters", Asked.Parameters}};
  if (!Asked.Key.empty())
    body["idempotency_key"] = Asked.Key;
  return post("/v1/databases/" + Asked.Database + "/write", body.dump());
}

ExitCode Commands::begin() {
  return post("/v1/databases/" + Asked.Database + "/transactions", "{}");
}

ExitCode Commands::statement() {
  const json body = {{"sequence", Asked.Sequence},
                     {"statement", Asked.Statement},
                     {"parameters", Asked.Parameters}};
  return post("/v1/transactions/" + Asked.Transaction + "/statements",
              body.dump());
}

ExitCode Commands::commit() {
  return post("/v1/transactions/" + Asked.Transaction + "/commit",
              json{{"sequence", Asked.Sequence}}.dump());
}

ExitCode Commands::rollback() {
  return post("/v1/transactions/" + Asked.Transaction + "/rollback", "{}");
}

ExitCode Commands::explain() {
  const auto reply = Client.get("/v1/explain/" + Asked.Decision);
  if (!reply)
    return unreachable();
  if (reply->Status != HttpOk)
    return printAnswer(reply->Body);
  if (Asked.Json) {
    Out << reply->Body;
    return ExitCode::Ran;
  }
  const auto answer = json::parse(reply->Body, nullptr, false);
  for (const auto &it : answer.value("explanation", json::array()))
    Out << cellText(it) << "\n";
  return ExitCode::Ran;
}

ExitCode Commands::ready() {
  const auto reply = Client.get("/ready");
  if (!reply)
    return unreachable();
  Out << reply->Body;
  return reply->Status == HttpOk ? ExitCode::Ran : ExitCode::NotRun;
}

} // namespace stepledge::ctl
