// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "standin/internal/ServerSession.h"

#include <algorithm>
#include <cctype>

namespace stepledge::standin {

namespace {

constexpr std::int32_t SslRequest = 80877103;
constexpr std::int32_t GssRequest = 80877104;
constexpr std::int32_t CancelRequest = 80877102;
constexpr std::chrono::milliseconds BusyRetry{1};
constexpr std::chrono::seconds BusyLimit{2};

/// The upper-case text of a statement that only controls a transaction, or
/// empty for any other.
std::string controlWord(std::string_view sql) {
  while (!sql.empty() && (std::isspace(sql.back()) || sql.back() == ';'))
    sql.remove_suffix(1);
  std::string word(sql);
  std::transform(word.begin(), word.end(), word.begin(),
                 [](unsigned char c) { return std::toupper(c); });
  if (word == "BEGIN" || word == "BEGIN READ ONLY" || word == "COMMIT" ||
      word == "ROLLBACK")
    return word;
  return {};
}

std::string_view stateFor(int rc) {
  switch (rc) {
  case SQLITE_CONSTRAINT_UNIQUE:
  case SQLITE_CONSTRAINT_PRIMARYKEY:
    return "23505";
  case SQLITE_BUSY_SNAPSHOT:
    return "40001";
  case SQLITE_READONLY:
    return "25006";
  default:
    return (rc & 0xff) == SQLITE_CONSTRAINT ? "23000" : "42601";
  }
}

} // namespace

void SlotGate::enter(std::function<void()> next) {
  if (InFlight >= Instance.Options.Slots) {
    Waiting.push_back(std::move(next));
    return;
  }
  ++InFlight;
  auto &peak = Instance.SeenPeaks.InFlight;
  peak = std::max(peak, InFlight);
  next();
}

void SlotGate::leave() {
  --InFlight;
  if (Waiting.empty())
    return;
  auto next = std::move(Waiting.front());
  Waiting.pop_front();
  enter(std::move(next));
}

ServerSession::ServerSession(asio::ip::tcp::socket socket, Engine &engine,
                             SlotGate &gate, bool isControl)
    : Socket(std::move(socket)), Timer(Socket.get_executor()), Instance(engine),
      Gate(gate), Control(isControl) {}

ServerSession::~ServerSession() {
  if (HoldsSlot)
    Gate.leave();
}

void ServerSession::start() {
  asio::error_code ec;
  Socket.set_option(asio::ip::tcp::no_delay(true), ec);
  Database = Instance.open();
  read();
}

void ServerSession::close() {
  asio::error_code ec;
  Closed = true;
  Timer.cancel(ec);
  Socket.close(ec);
  Statement.reset();
  Database.reset();
}

void ServerSession::resume() {
  if (Closed)
    return;
  takeMessages();
  if (!Writing)
    flush();
}

void ServerSession::read() {
  Socket.async_read_some(
      asio::buffer(Input),
      [self = shared_from_this()](asio::error_code ec, std::size_t n) {
        if (ec || self->Closed)
          return self->close();
        self->Received.append(self->Input.data(), n);
        if (self->Control || !self->Instance.CurrentFaults.Cut)
          self->takeMessages();
        self->read();
      });
}

void ServerSession::takeMessages() {
  if (!Started)
    takeStartup();
  while (Started && Received.size() >= 5) {
    const auto length = static_cast<std::size_t>(
        WireReader(std::string_view(Received).substr(1)).int32());
    if (length < 4 || Received.size() < length + 1)
      break;
    Messages.push_back({Received[0], Received.substr(5, length - 4)});
    Received.erase(0, length + 1);
  }
  if (!Running)
    runNext();
}

void ServerSession::takeStartup() {
  while (!Started && Received.size() >= 8) {
    const auto length = static_cast<std::size_t>(WireReader(Received).int32());
    if (length < 8 || Received.size() < length)
      return;
    const std::string body = Received.substr(4, length - 4);
    Received.erase(0, length);
    const auto code = WireReader(body).int32();
    if (code == SslRequest || code == GssRequest)
      write("N");
    else if (code == CancelRequest)
      return close();
    else
      greet(body);
  }
}

void ServerSession::greet(std::string_view body) {
  Started = true;
  Limited = !Control && body.find("replicator") == std::string_view::npos;
  Running = true;
  Timer.expires_after(Control ? std::chrono::milliseconds(0)
                              : Instance.Options.ConnectTime);
  Timer.async_wait([self = shared_from_this()](asio::error_code ec) {
    if (ec || self->Closed)
      return;
    self->Running = false;
    self->write(WireMessage('R').int32(0).finish());
    self->write(
        WireMessage('S').string("server_version").string("15.0").finish());
    self->write(
        WireMessage('S').string("client_encoding").string("UTF8").finish());
    self->write(WireMessage('K').int32(1).int32(1).finish());
    self->write(readyForQuery('I'));
    self->runNext();
  });
}

void ServerSession::runNext() {
  while (!Running && !Closed && !Messages.empty()) {
    const Message message = std::move(Messages.front());
    Messages.pop_front();
    Running = true;
    run(message);
  }
}

void ServerSession::run(const Message &message) {
  const WireReader reader(message.Body);
  if (message.Type == 'X')
    return close();
  if (message.Type == 'S')
    return sync();
  if (message.Type == 'Q')
    return simpleQuery(reader);
  if (Skipping)
    return done();
  switch (message.Type) {
  case 'P':
    return parse(reader);
  case 'B':
    return bind(reader);
  case 'D':
    return describe();
  case 'E':
    return execute();
  default:
    return done();
  }
}

void ServerSession::parse(WireReader reader) {
  reader.string();
  Sql = reader.string();
  ControlWord = controlWord(Sql);
  Statement.reset();
  if (ControlWord.empty()) {
    sqlite3_stmt *raw = nullptr;
    const int rc =
        sqlite3_prepare_v2(Database.get(), Sql.c_str(), -1, &raw, nullptr);
    Statement.reset(raw);
    if (rc != SQLITE_OK || raw == nullptr)
      return fail("42601", sqlite3_errmsg(Database.get()));
  }
  if (!SimpleMode)
    write(WireMessage('1').finish());
  done();
}

void ServerSession::bind(WireReader reader) {
  reader.string();
  reader.string();
  for (int n = reader.int16(); n > 0; --n)
    reader.int16();
  Parameters = nlohmann::json::array();
  const int count = reader.int16();
  for (int index = 1; index <= count; ++index) {
    const auto length = reader.int32();
    if (length < 0) {
      Parameters.push_back(nullptr);
      continue;
    }
    const auto text = reader.bytes(static_cast<std::size_t>(length));
    Parameters.push_back(std::string(text));
    if (Statement)
      bindParameter(Statement.get(), index, text);
  }
  write(WireMessage('2').finish());
  done();
}

void ServerSession::describe() {
  const int count = Statement ? sqlite3_column_count(Statement.get()) : 0;
  std::vector<std::string> columns;
  columns.reserve(static_cast<std::size_t>(count));
  for (int n = 0; n < count; ++n)
    columns.emplace_back(sqlite3_column_name(Statement.get(), n));
  if (!columns.empty())
    write(rowDescription(columns));
  else if (!SimpleMode)
    write(WireMessage('n').finish());
  done();
}

void ServerSession::execute() {
  if (!ControlWord.empty())
    return control(ControlWord);
  if (Failed)
    return fail("25P02", "the transaction is aborted");
  const bool writes = sqlite3_stmt_readonly(Statement.get()) == 0;
  if (writes && (ReadOnly || !Instance.isPrimary()))
    return fail("25006", "the instance or transaction is read-only");
  if (!Explicit && !Implicit) {
    sqlite3_exec(Database.get(), "BEGIN", nullptr, nullptr, nullptr);
    Implicit = true;
  }
  // NOTE: Questions about the instance itself take no slot and no time.
  if (Sql.find("standin(") != std::string::npos)
    return step(std::chrono::steady_clock::now());
  Gate.enter([self = shared_from_this()] {
    self->HoldsSlot = true;
    self->Timer.expires_after(self->Instance.CurrentFaults.ServiceTime);
    self->Timer.async_wait([self](asio::error_code ec) {
      if (!ec && !self->Closed)
        self->step(std::chrono::steady_clock::now() + BusyLimit);
    });
  });
}

void ServerSession::step(std::chrono::steady_clock::time_point giveUp) {
  int rc = sqlite3_step(Statement.get());
  if (rc == SQLITE_BUSY && std::chrono::steady_clock::now() < giveUp) {
    sqlite3_reset(Statement.get());
    Timer.expires_after(BusyRetry);
    Timer.async_wait([self = shared_from_this(), giveUp](asio::error_code ec) {
      if (!ec && !self->Closed)
        self->step(giveUp);
    });
    return;
  }
  while (rc == SQLITE_ROW) {
    std::vector<Field> fields;
    for (int n = 0; n < sqlite3_column_count(Statement.get()); ++n) {
      const auto *text = reinterpret_cast<const char *>(
          sqlite3_column_text(Statement.get(), n));
      fields.push_back(text == nullptr ? Field() : Field(text));
    }
    write(dataRow(fields));
    rc = sqlite3_step(Statement.get());
  }
  finishStatement(rc);
}

void ServerSession::finishStatement(int rc) {
  if (HoldsSlot) {
    HoldsSlot = false;
    Gate.leave();
  }
  if (rc != SQLITE_DONE)
    return fail(stateFor(rc), sqlite3_errmsg(Database.get()));
  const bool writes = sqlite3_stmt_readonly(Statement.get()) == 0;
  const auto changes =
      std::to_string(writes ? sqlite3_changes(Database.get()) : 0);
  if (writes)
    Written.push_back({{"sql", Sql}, {"parameters", Parameters}});
  const std::string tag = writes ? "UPDATE " + changes : "SELECT 0";
  write(WireMessage('C').string(tag).finish());
  Statement.reset();
  done();
}

void ServerSession::control(const std::string &word) {
  if (word.starts_with("BEGIN")) {
    if (!Implicit)
      sqlite3_exec(Database.get(), "BEGIN", nullptr, nullptr, nullptr);
    Implicit = false;
    Explicit = true;
    ReadOnly = word == "BEGIN READ ONLY";
  } else if (word == "COMMIT" && !Failed) {
    if (!commit())
      return fail("40001", "the transaction could not be committed");
  } else {
    sqlite3_exec(Database.get(), "ROLLBACK", nullptr, nullptr, nullptr);
    Written.clear();
    Explicit = Implicit = Failed = ReadOnly = false;
  }
  write(WireMessage('C').string(word).finish());
  done();
}

bool ServerSession::commit() {
  const bool writes = !Written.empty();
  const bool logged = !writes || Instance.logWrite(Database.get(), Written);
  const bool held = logged && sqlite3_exec(Database.get(), "COMMIT", nullptr,
                                           nullptr, nullptr) == SQLITE_OK;
  if (!held)
    sqlite3_exec(Database.get(), "ROLLBACK", nullptr, nullptr, nullptr);
  else if (writes)
    Instance.committed();
  Written.clear();
  Explicit = Implicit = Failed = ReadOnly = false;
  return held;
}

void ServerSession::sync() {
  if (Implicit && !Failed && !commit())
    fail("40001", "the transaction could not be committed");
  if (Implicit) {
    sqlite3_exec(Database.get(), "ROLLBACK", nullptr, nullptr, nullptr);
    Written.clear();
    Implicit = Failed = false;
  }
  Skipping = false;
  SimpleMode = false;
  write(readyForQuery(Failed ? 'E' : Explicit ? 'T' : 'I'));
  done();
}

// Turned into the extended messages that do the same.
void ServerSession::simpleQuery(WireReader reader) {
  const std::string sql(reader.string());
  SimpleMode = true;
  Messages.push_front({'S', ""});
  Messages.push_front({'E', ""});
  if (controlWord(sql).empty())
    Messages.push_front({'D', ""});
  Messages.push_front({'P', std::string(1, '\0') + sql + '\0'});
  done();
}

void ServerSession::fail(std::string_view sqlState, std::string_view text) {
  if (HoldsSlot) {
    HoldsSlot = false;
    Gate.leave();
  }
  Statement.reset();
  Skipping = true;
  Failed = Explicit || Implicit;
  write(errorResponse(sqlState, text));
  done();
}

void ServerSession::done() {
  Running = false;
  // NOTE: Called from runNext()'s loop or from a timer; only the latter must
  // start the loop again, and a posted start does for both.
  if (!Messages.empty())
    asio::post(Socket.get_executor(), [self = shared_from_this()] {
      if (!self->Running)
        self->runNext();
    });
}

void ServerSession::write(const std::string &bytes) {
  Output += bytes;
  if (!Writing)
    flush();
}

void ServerSession::flush() {
  // NOTE: While it is cut off, an instance's answers reach nobody.
  const bool cut = !Control && Instance.CurrentFaults.Cut;
  if (Output.empty() || Closed || cut)
    return;
  Writing = true;
  InWriting = std::move(Output);
  Output.clear();
  asio::async_write(
      Socket, asio::buffer(InWriting),
      [self = shared_from_this()](asio::error_code ec, std::size_t) {
        self->Writing = false;
        if (!ec)
          self->flush();
      });
}

} // namespace stepledge::standin
