// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "standin/internal/Engine.h"

#include <filesystem>
#include <stdexcept>
#include <string_view>

namespace stepledge::standin {

namespace {

constexpr int EntriesPerAnswer = 200;
/// The one SQL function: its first argument says what is asked.
constexpr const char *FunctionName = "standin";

std::string_view roleName(Role role) {
  switch (role) {
  case Role::Primary:
    return "primary";
  case Role::Replica:
    return "replica";
  case Role::Fenced:
    return "fenced";
  }
  return "?";
}

struct StatementCloser {
  void operator()(sqlite3_stmt *it) const { sqlite3_finalize(it); }
};
using StatementHandle = std::unique_ptr<sqlite3_stmt, StatementCloser>;

StatementHandle prepare(sqlite3 *handle, const std::string &sql) {
  sqlite3_stmt *raw = nullptr;
  sqlite3_prepare_v2(handle, sql.c_str(), -1, &raw, nullptr);
  return StatementHandle(raw);
}

std::uint64_t number(sqlite3 *handle, const std::string &sql) {
  auto stmt = prepare(handle, sql);
  if (!stmt || sqlite3_step(stmt.get()) != SQLITE_ROW)
    return 0;
  return static_cast<std::uint64_t>(sqlite3_column_int64(stmt.get(), 0));
}

bool runLogged(sqlite3 *handle, const nlohmann::json &statement) {
  auto stmt = prepare(handle, statement.at("sql").get<std::string>());
  if (!stmt)
    return false;
  int number = 0;
  for (const auto &it : statement.at("parameters")) {
    ++number;
    if (!it.is_null())
      bindParameter(stmt.get(), number, it.get<std::string>());
  }
  int rc = SQLITE_ROW;
  while (rc == SQLITE_ROW)
    rc = sqlite3_step(stmt.get());
  return rc == SQLITE_DONE;
}

std::uint64_t unsignedAt(sqlite3_value **values, int n) {
  return static_cast<std::uint64_t>(sqlite3_value_int64(values[n]));
}

std::string textAt(sqlite3_value **values, int n) {
  const auto *text =
      reinterpret_cast<const char *>(sqlite3_value_text(values[n]));
  return text == nullptr ? "" : text;
}

} // namespace

// NOTE: SQLite counts "$2" by where it stands, not by its number.
void bindParameter(sqlite3_stmt *statement, int number, std::string_view text) {
  const auto name = "$" + std::to_string(number);
  const int index = sqlite3_bind_parameter_index(statement, name.c_str());
  sqlite3_bind_text(statement, index, text.data(),
                    static_cast<int>(text.size()), SQLITE_TRANSIENT);
}

Engine::Engine(const StandinOptions &options) : Options(options) {
  std::filesystem::create_directories(Options.DataFolder);
  CurrentFaults.Lag = Options.Lag;
  CurrentFaults.ServiceTime = Options.ServiceTime;
  if (!Options.FollowAddress.empty())
    CurrentRole = Role::Replica;
  Own = open();
  recover();
}

Handle Engine::open() {
  const std::string path = Options.DataFolder + "/data.sqlite";
  sqlite3 *raw = nullptr;
  if (sqlite3_open(path.c_str(), &raw) != SQLITE_OK)
    throw std::runtime_error("can't open " + path);
  Handle handle(raw);
  sqlite3_extended_result_codes(raw, 1);
  sqlite3_exec(raw, "PRAGMA journal_mode=WAL; PRAGMA synchronous=OFF", nullptr,
               nullptr, nullptr);
  sqlite3_create_function(raw, FunctionName, -1, SQLITE_UTF8, this,
                          &Engine::callFunction, nullptr, nullptr);
  return handle;
}

void Engine::recover() {
  sqlite3_exec(Own.get(),
               "CREATE TABLE IF NOT EXISTS standin_log(position INTEGER "
               "PRIMARY KEY, term INTEGER, body TEXT);"
               "CREATE TABLE IF NOT EXISTS standin_meta(name TEXT PRIMARY "
               "KEY, value INTEGER)",
               nullptr, nullptr, nullptr);
  Received = number(Own.get(), "SELECT max(position) FROM standin_log");
  LogTerm = termAt(Received);
  readHistory();
  Applied = load("applied");
  Promised = std::max<std::uint64_t>(load("promised"), 1);
  const auto role = load("role");
  if (role != 0)
    CurrentRole = static_cast<Role>(role - 1);
  if (isPrimary() && Received == 0)
    appendOwnEmptyEntry();
}

void Engine::store(const char *name, std::uint64_t value) {
  const std::string sql = "INSERT OR REPLACE INTO standin_meta VALUES('" +
                          std::string(name) + "'," + std::to_string(value) +
                          ")";
  sqlite3_exec(Own.get(), sql.c_str(), nullptr, nullptr, nullptr);
}

std::uint64_t Engine::load(const char *name) {
  return number(Own.get(), "SELECT value FROM standin_meta WHERE name='" +
                               std::string(name) + "'");
}

std::uint64_t Engine::termAt(std::uint64_t position) {
  return number(Own.get(), "SELECT term FROM standin_log WHERE position=" +
                               std::to_string(position));
}

void Engine::readHistory() {
  History.clear();
  auto stmt = prepare(Own.get(), "SELECT term, min(position)-1 FROM "
                                 "standin_log GROUP BY term ORDER BY term");
  while (stmt && sqlite3_step(stmt.get()) == SQLITE_ROW)
    History += (History.empty() ? "" : ",") +
               std::to_string(sqlite3_column_int64(stmt.get(), 0)) + ":" +
               std::to_string(sqlite3_column_int64(stmt.get(), 1));
}

bool Engine::appendEntry(sqlite3 *handle, std::uint64_t position,
                         std::uint64_t term, const std::string &body) {
  auto stmt = prepare(handle, "INSERT INTO standin_log VALUES(?,?,?)");
  if (!stmt)
    return false;
  sqlite3_bind_int64(stmt.get(), 1, static_cast<sqlite3_int64>(position));
  sqlite3_bind_int64(stmt.get(), 2, static_cast<sqlite3_int64>(term));
  sqlite3_bind_text(stmt.get(), 3, body.c_str(), static_cast<int>(body.size()),
                    SQLITE_TRANSIENT);
  return sqlite3_step(stmt.get()) == SQLITE_DONE;
}

void Engine::appendOwnEmptyEntry() {
  if (!appendEntry(Own.get(), Received + 1, Promised, "[]"))
    throw std::runtime_error("can't write the log");
  ++Received;
  LogTerm = Promised;
  Applied = Received;
  store("applied", Applied);
  readHistory();
}

bool Engine::logWrite(sqlite3 *handle, const nlohmann::json &statements) {
  const auto sql = "INSERT OR REPLACE INTO standin_meta VALUES('applied'," +
                   std::to_string(Received + 1) + ")";
  return isPrimary() &&
         appendEntry(handle, Received + 1, Promised, statements.dump()) &&
         sqlite3_exec(handle, sql.c_str(), nullptr, nullptr, nullptr) ==
             SQLITE_OK;
}

void Engine::committed() {
  ++Received;
  Applied = Received;
  LogTerm = Promised;
}

bool Engine::receive(std::uint64_t term, const nlohmann::json &answer) {
  if (!isReplica() || term < Promised)
    return true;
  if (term > Promised) {
    Promised = term;
    store("promised", Promised);
  }
  if (!answer.at("match").get<bool>()) {
    rebuild(answer.at("retry").get<std::uint64_t>());
    return false;
  }
  const auto due = std::chrono::steady_clock::now() + CurrentFaults.Lag;
  sqlite3_exec(Own.get(), "BEGIN IMMEDIATE", nullptr, nullptr, nullptr);
  for (const auto &it : answer.at("entries")) {
    const auto position = it.at("position").get<std::uint64_t>();
    if (position != Received + 1)
      break;
    if (!appendEntry(Own.get(), position, it.at("term").get<std::uint64_t>(),
                     it.at("body").get<std::string>()))
      break;
    Received = position;
    Due.push_back({position, due});
  }
  sqlite3_exec(Own.get(), "COMMIT", nullptr, nullptr, nullptr);
  const auto newest = termAt(Received);
  if (newest != LogTerm)
    readHistory();
  LogTerm = newest;
  return true;
}

void Engine::applyDue(std::chrono::steady_clock::time_point now) {
  std::uint64_t last = 0;
  while (!Due.empty() && Due.front().Due <= now) {
    last = Due.front().Position;
    Due.pop_front();
  }
  if (last > Applied)
    applyUpTo(last);
}

void Engine::applyUpTo(std::uint64_t position) {
  while (Applied < position) {
    auto stmt = prepare(Own.get(), "SELECT body FROM standin_log WHERE "
                                   "position=" +
                                       std::to_string(Applied + 1));
    if (!stmt || sqlite3_step(stmt.get()) != SQLITE_ROW)
      return;
    const auto body = nlohmann::json::parse(
        reinterpret_cast<const char *>(sqlite3_column_text(stmt.get(), 0)));
    stmt.reset();
    sqlite3_exec(Own.get(), "BEGIN IMMEDIATE", nullptr, nullptr, nullptr);
    for (const auto &it : body)
      runLogged(Own.get(), it);
    store("applied", Applied + 1);
    if (sqlite3_exec(Own.get(), "COMMIT", nullptr, nullptr, nullptr) !=
        SQLITE_OK) {
      sqlite3_exec(Own.get(), "ROLLBACK", nullptr, nullptr, nullptr);
      return;
    }
    ++Applied;
  }
}

// Cuts the log back to `keep` entries and applies those to an empty database.
void Engine::rebuild(std::uint64_t keep) {
  if (OnRebuilt)
    OnRebuilt();
  std::vector<std::string> drops;
  {
    auto stmt =
        prepare(Own.get(), "SELECT name FROM sqlite_master WHERE type='table' "
                           "AND name NOT LIKE 'standin_%' AND name NOT LIKE "
                           "'sqlite_%'");
    while (stmt && sqlite3_step(stmt.get()) == SQLITE_ROW)
      drops.emplace_back(
          reinterpret_cast<const char *>(sqlite3_column_text(stmt.get(), 0)));
  }
  for (const auto &it : drops)
    sqlite3_exec(Own.get(), ("DROP TABLE \"" + it + "\"").c_str(), nullptr,
                 nullptr, nullptr);
  const auto sql =
      "DELETE FROM standin_log WHERE position>" + std::to_string(keep);
  sqlite3_exec(Own.get(), sql.c_str(), nullptr, nullptr, nullptr);
  Due.clear();
  Received = keep;
  LogTerm = termAt(Received);
  readHistory();
  Applied = 0;
  store("applied", 0);
  applyUpTo(Received);
}

std::int64_t Engine::fence(std::uint64_t term) {
  if (term <= Promised)
    return term == Promised && CurrentRole == Role::Fenced ? 1 : 0;
  Promised = term;
  CurrentRole = Role::Fenced;
  store("promised", Promised);
  store("role", static_cast<std::uint64_t>(CurrentRole) + 1);
  return 1;
}

std::int64_t Engine::promote(std::uint64_t term) {
  if (term != Promised)
    return 0;
  if (isPrimary())
    return 1;
  Due.clear();
  applyUpTo(Received);
  CurrentRole = Role::Primary;
  store("role", static_cast<std::uint64_t>(CurrentRole) + 1);
  appendOwnEmptyEntry();
  return 1;
}

std::int64_t Engine::follow(const std::string &address, std::uint16_t port,
                            std::uint64_t term) {
  if (term < Promised)
    return 0;
  Promised = term;
  CurrentRole = Role::Replica;
  store("promised", Promised);
  store("role", static_cast<std::uint64_t>(CurrentRole) + 1);
  Options.FollowAddress = address;
  Options.FollowPort = port;
  return 1;
}

// A follower's question for what comes after (position, term) of its log.
std::string Engine::entriesAfter(std::uint64_t position, std::uint64_t term,
                                 std::uint64_t promised) {
  if (!isPrimary() || promised > Promised)
    return "{}";
  nlohmann::json answer = {{"term", Promised}, {"match", true}};
  if (position > Received || termAt(position) != term) {
    answer["match"] = false;
    answer["retry"] = std::min(position, Received + 1) - (position > 0);
    return answer.dump();
  }
  auto entries = nlohmann::json::array();
  auto stmt =
      prepare(Own.get(), "SELECT position, term, body FROM standin_log WHERE "
                         "position>" +
                             std::to_string(position) + " LIMIT " +
                             std::to_string(EntriesPerAnswer));
  while (stmt && sqlite3_step(stmt.get()) == SQLITE_ROW)
    entries.push_back({{"position", sqlite3_column_int64(stmt.get(), 0)},
                       {"term", sqlite3_column_int64(stmt.get(), 1)},
                       {"body", reinterpret_cast<const char *>(
                                    sqlite3_column_text(stmt.get(), 2))}});
  answer["entries"] = std::move(entries);
  return answer.dump();
}

std::int64_t Engine::setFault(const std::string &name, std::int64_t value) {
  const std::chrono::milliseconds time(value);
  if (name == "lag")
    CurrentFaults.Lag = time;
  else if (name == "receive_lag")
    CurrentFaults.ReceiveLag = time;
  else if (name == "service")
    CurrentFaults.ServiceTime = time;
  else if (name == "cut")
    CurrentFaults.Cut = value != 0;
  else if (name == "leaving")
    CurrentFaults.Leaving = value != 0;
  else if (name == "kill")
    std::_Exit(0);
  else
    return 0;
  return 1;
}

void Engine::callFunction(sqlite3_context *context, int count,
                          sqlite3_value **values) {
  auto *engine = static_cast<Engine *>(sqlite3_user_data(context));
  const auto answerText = [&](std::string_view text) {
    sqlite3_result_text(context, text.data(), static_cast<int>(text.size()),
                        SQLITE_TRANSIENT);
  };
  const auto answerNumber = [&](std::uint64_t n) {
    sqlite3_result_int64(context, static_cast<sqlite3_int64>(n));
  };
  const std::string name = count > 0 ? textAt(values, 0) : "";
  if (name == "role")
    answerText(roleName(engine->CurrentRole));
  else if (name == "term")
    answerNumber(engine->Promised);
  else if (name == "log_term")
    answerNumber(engine->LogTerm);
  else if (name == "durable")
    answerNumber(engine->Received);
  else if (name == "applied")
    answerNumber(engine->Applied);
  else if (name == "leaving")
    answerNumber(engine->CurrentFaults.Leaving ? 1 : 0);
  else if (name == "history")
    answerText(engine->History);
  else if (name == "peak_connections")
    answerNumber(static_cast<std::uint64_t>(engine->SeenPeaks.Connections));
  else if (name == "peak_in_flight")
    answerNumber(static_cast<std::uint64_t>(engine->SeenPeaks.InFlight));
  else if (name == "fence" && count == 2)
    sqlite3_result_int64(context, engine->fence(unsignedAt(values, 1)));
  else if (name == "promote" && count == 2)
    sqlite3_result_int64(context, engine->promote(unsignedAt(values, 1)));
  else if (name == "follow" && count == 4)
    sqlite3_result_int64(
        context,
        engine->follow(textAt(values, 1),
                       static_cast<std::uint16_t>(sqlite3_value_int(values[2])),
                       unsignedAt(values, 3)));
  else if (name == "entries" && count == 4)
    answerText(engine->entriesAfter(
        unsignedAt(values, 1), unsignedAt(values, 2), unsignedAt(values, 3)));
  else if (name == "fault" && count == 3)
    sqlite3_result_int64(
        context,
        engine->setFault(textAt(values, 1), sqlite3_value_int64(values[2])));
  else
    sqlite3_result_error(context, "unknown stand-in function", -1);
}

} // namespace stepledge::standin
