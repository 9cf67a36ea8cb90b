// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The stand-in's storage: SQLite, a log of writes, a term and a role.

#ifndef STEPLEDGE_STANDIN_INTERNAL_ENGINE_H
#define STEPLEDGE_STANDIN_INTERNAL_ENGINE_H

#include "standin/types/StandinOptions.h"

#include <nlohmann/json.hpp>
#include <sqlite3.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace stepledge::standin {

struct HandleCloser {
  void operator()(sqlite3 *handle) const { sqlite3_close_v2(handle); }
};
using Handle = std::unique_ptr<sqlite3, HandleCloser>;

enum class Role { Primary, Replica, Fenced };

/// Faults and limits that can be set while it runs.
struct Faults {
  bool Cut = false;
  bool Leaving = false;
  std::chrono::milliseconds Lag{0};
  std::chrono::milliseconds ReceiveLag{0};
  std::chrono::milliseconds ServiceTime{0};
};

/// What the limits saw; read by tests.
struct Peaks {
  int Connections = 0;
  int InFlight = 0;
};

/// Binds "$NUMBER", if the statement has it.
void bindParameter(sqlite3_stmt *statement, int number, std::string_view text);

class Engine {
public:
  explicit Engine(const StandinOptions &options);

  /// A handle of its own for one connection, with the standin() function in it.
  Handle open();

  bool isPrimary() const { return CurrentRole == Role::Primary; }
  bool isReplica() const { return CurrentRole == Role::Replica; }
  std::uint64_t promised() const { return Promised; }
  std::uint64_t logTerm() const { return LogTerm; }
  std::uint64_t logPosition() const { return Received; }

  /// Logs \p statements in the open write transaction of \p handle. The
  /// caller commits, then calls committed().
  bool logWrite(sqlite3 *handle, const nlohmann::json &statements);
  void committed();

  /// Takes in entries a primary of \p term sent; false where they don't
  /// follow this log, which is then cut back.
  bool receive(std::uint64_t term, const nlohmann::json &answer);
  /// Applies what has waited for its lag.
  void applyDue(std::chrono::steady_clock::time_point now);

  Faults CurrentFaults;
  Peaks SeenPeaks;
  StandinOptions Options;
  /// Called when the data was rebuilt, so open connections must close.
  std::function<void()> OnRebuilt;

private:
  struct Waiting {
    std::uint64_t Position;
    std::chrono::steady_clock::time_point Due;
  };

  void recover();
  void rebuild(std::uint64_t keep);
  void applyUpTo(std::uint64_t position);
  bool appendEntry(sqlite3 *handle, std::uint64_t position, std::uint64_t term,
                   const std::string &body);
  void appendOwnEmptyEntry();
  void store(const char *name, std::uint64_t value);
  std::uint64_t load(const char *name);
  std::uint64_t termAt(std::uint64_t position);
  void readHistory();

  std::int64_t fence(std::uint64_t term);
  std::int64_t promote(std::uint64_t term);
  std::int64_t follow(const std::string &address, std::uint16_t port,
                      std::uint64_t term);
  std::string entriesAfter(std::uint64_t position, std::uint64_t term,
                           std::uint64_t promised);
  std::int64_t setFault(const std::string &name, std::int64_t value);
  static void callFunction(sqlite3_context *context, int count,
                           sqlite3_value **values);

  Handle Own;
  Role CurrentRole = Role::Primary;
  std::uint64_t Promised = 1;
  std::uint64_t LogTerm = 0;
  std::uint64_t Received = 0;
  std::uint64_t Applied = 0;
  std::deque<Waiting> Due;
  /// "TERM:START,..." for each term in the log.
  std::string History;
};

} // namespace stepledge::standin

#endif // STEPLEDGE_STANDIN_INTERNAL_ENGINE_H
