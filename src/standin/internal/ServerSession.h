// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file One connection of the stand-in: messages in, statements run in order,
/// messages out.

#ifndef STEPLEDGE_STANDIN_INTERNAL_SERVERSESSION_H
#define STEPLEDGE_STANDIN_INTERNAL_SERVERSESSION_H

#include "standin/internal/Engine.h"
#include "standin/internal/WireMessages.h"

#include <asio.hpp>

#include <array>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace stepledge::standin {

/// Lets at most so many statements of the instance run at once.
class SlotGate {
public:
  explicit SlotGate(Engine &engine) : Instance(engine) {}

  void enter(std::function<void()> next);
  void leave();

private:
  Engine &Instance;
  int InFlight = 0;
  std::deque<std::function<void()>> Waiting;
};

class ServerSession : public std::enable_shared_from_this<ServerSession> {
public:
  ServerSession(asio::ip::tcp::socket socket, Engine &engine, SlotGate &gate,
                bool isControl);
  ~ServerSession();

  void start();
  void close();
  /// Goes on reading after a cut has ended.
  void resume();
  bool isLimited() const { return Limited; }

private:
  struct Message {
    char Type;
    std::string Body;
  };

  void read();
  void takeStartup();
  void takeMessages();
  void greet(std::string_view body);
  void runNext();
  void run(const Message &message);
  void parse(WireReader reader);
  void bind(WireReader reader);
  void describe();
  void execute();
  void step(std::chrono::steady_clock::time_point giveUp);
  void finishStatement(int rc);
  void control(const std::string &word);
  void sync();
  void simpleQuery(WireReader reader);
  bool commit();
  void fail(std::string_view sqlState, std::string_view text);
  void done();
  void write(const std::string &bytes);
  void flush();

  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  Engine &Instance;
  SlotGate &Gate;
  const bool Control;
  bool Limited = false;
  bool Started = false;
  bool Closed = false;
  bool Running = false;
  bool HoldsSlot = false;
  bool Writing = false;
  std::array<char, 16384> Input{};
  std::string Received;
  std::string Output;
  std::string InWriting;
  std::deque<Message> Messages;

  Handle Database;
  struct StatementCloser {
    void operator()(sqlite3_stmt *it) const { sqlite3_finalize(it); }
  };
  std::unique_ptr<sqlite3_stmt, StatementCloser> Statement;
  std::string Sql;
  std::string ControlWord;
  nlohmann::json Parameters;
  nlohmann::json Written = nlohmann::json::array();
  bool Skipping = false;
  bool Explicit = false;
  bool Implicit = false;
  bool Failed = false;
  bool ReadOnly = false;
  bool SimpleMode = false;
};

} // namespace stepledge::standin

#endif // STEPLEDGE_STANDIN_INTERNAL_SERVERSESSION_H
