// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "upstream/internal/PgConnection.h"

#include "absl/strings/numbers.h"

#include <asio/post.hpp>

#include <unistd.h>

#include <utility>

namespace stepledge::upstream {

namespace {

struct ResultCloser {
  void operator()(PGresult *it) const { PQclear(it); }
};
using ResultHandle = std::unique_ptr<PGresult, ResultCloser>;

TransactionState stateOf(const PGconn *connection) {
  switch (PQtransactionStatus(connection)) {
  case PQTRANS_IDLE:
    return TransactionState::Idle;
  case PQTRANS_INTRANS:
    return TransactionState::Open;
  case PQTRANS_INERROR:
    return TransactionState::Failed;
  default:
    return TransactionState::Unclear;
  }
}

std::string textOrEmpty(const char *text) {
  return text == nullptr ? std::string() : std::string(text);
}

} // namespace

PgConnection::PgConnection(asio::io_context &context, const std::string &target,
                           ConnectionEvents events)
    : Context(context), Events(std::move(events)),
      Connection(PQconnectStart(target.c_str())), Socket(context) {
  if (!Connection || PQstatus(Connection.get()) == CONNECTION_BAD) {
    close(Connection ? textOrEmpty(PQerrorMessage(Connection.get()))
                     : "out of memory");
    return;
  }
  PQsetnonblocking(Connection.get(), 1);
  adoptSocket();
  pollConnect(PGRES_POLLING_WRITING);
}

PgConnection::~PgConnection() { Life->Alive = false; }

template <typename Handler>
void PgConnection::wait(bool forWrite, Handler handler) {
  const auto kind = forWrite ? asio::posix::stream_descriptor::wait_write
                             : asio::posix::stream_descriptor::wait_read;
  Socket.async_wait(kind, [this, life = Life, handler](asio::error_code ec) {
    if (!life->Alive || Closed)
      return;
    if (ec)
      return close(ec.message());
    handler();
  });
}

void PgConnection::adoptSocket() {
  // NOTE: libpq closes its socket by itself when it fails, and the system
  // gives the number to another one. Asio would then let go of that one
  // instead. So Asio has a descriptor of its own, made anew at each step of
  // the opening, in which libpq may change its socket too.
  asio::error_code ec;
  if (Socket.is_open())
    Socket.close(ec);
  const int fd = dup(PQsocket(Connection.get()));
  if (fd >= 0)
    Socket.assign(fd, ec);
}

void PgConnection::pollConnect(PostgresPollingStatusType next) {
  if (next == PGRES_POLLING_FAILED)
    return close(textOrEmpty(PQerrorMessage(Connection.get())));
  if (next == PGRES_POLLING_OK)
    return opened();
  adoptSocket();
  wait(next == PGRES_POLLING_WRITING,
       [this] { pollConnect(PQconnectPoll(Connection.get())); });
}

void PgConnection::opened() {
  if (PQenterPipelineMode(Connection.get()) != 1)
    return close("can't enter pipeline mode");
  readMore();
  if (Events.OnOpen)
    Events.OnOpen();
}

void PgConnection::run(const Batch &batch) {
  Current = batch;
  Result = BatchResult{batch.Id, {}, TransactionState::Unclear};
  Result.Steps.resize(batch.Steps.size());
  StepsDone = 0;
  SyncsLeft = 0;
  Running = true;
  for (const auto &step : Current.Steps) {
    std::vector<const char *> values;
    values.reserve(step.Parameters.size());
    for (const auto &it : step.Parameters)
      values.push_back(it ? it->c_str() : nullptr);
    if (PQsendQueryParams(Connection.get(), step.Sql.c_str(),
                          static_cast<int>(values.size()), nullptr,
                          values.data(), nullptr, nullptr, 0) != 1)
      return close(textOrEmpty(PQerrorMessage(Connection.get())));
    if (!step.SyncAfter)
      continue;
    ++SyncsLeft;
    if (PQpipelineSync(Connection.get()) != 1)
      return close(textOrEmpty(PQerrorMessage(Connection.get())));
  }
  flushMore();
}

void PgConnection::flushMore() {
  if (Flushing)
    return;
  const int left = PQflush(Connection.get());
  if (left < 0)
    return close(textOrEmpty(PQerrorMessage(Connection.get())));
  if (left == 0)
    return;
  Flushing = true;
  wait(true, [this] {
    Flushing = false;
    flushMore();
  });
}

void PgConnection::readMore() {
  wait(false, [this] {
    if (PQconsumeInput(Connection.get()) != 1)
      return close(textOrEmpty(PQerrorMessage(Connection.get())));
    const auto life = Life;
    drain();
    if (life->Alive && !Closed)
      readMore();
  });
}

void PgConnection::drain() {
  while (Running && PQisBusy(Connection.get()) == 0)
    if (!takeResult())
      break;
  if (Running && SyncsLeft == 0)
    finishBatch();
}

// Returns false when no more can be taken now.
bool PgConnection::takeResult() {
  const ResultHandle result(PQgetResult(Connection.get()));
  if (!result)
    return SyncsLeft > 0;
  const auto status = PQresultStatus(result.get());
  if (status == PGRES_PIPELINE_SYNC) {
    --SyncsLeft;
    return SyncsLeft > 0;
  }
  if (StepsDone >= Result.Steps.size())
    return true;
  auto &step = Result.Steps[StepsDone];
  ++StepsDone;
  if (status == PGRES_TUPLES_OK || status == PGRES_COMMAND_OK) {
    step.Outcome = StepOutcome::Ok;
    takeTuples(*result, step);
  } else if (status != PGRES_PIPELINE_ABORTED) {
    step.Outcome = StepOutcome::Failed;
    step.SqlState =
        textOrEmpty(PQresultErrorField(result.get(), PG_DIAG_SQLSTATE));
    step.Message =
        textOrEmpty(PQresultErrorField(result.get(), PG_DIAG_MESSAGE_PRIMARY));
  }
  return true;
}

void PgConnection::takeTuples(const PGresult &result, StepResult &step) {
  const int columns = PQnfields(&result);
  const int rows = PQntuples(&result);
  for (int column = 0; column < columns; ++column)
    step.Columns.push_back(textOrEmpty(PQfname(&result, column)));
  step.Rows.reserve(static_cast<std::size_t>(rows));
  for (int n = 0; n < rows; ++n) {
    Row row;
    row.reserve(static_cast<std::size_t>(columns));
    for (int column = 0; column < columns; ++column) {
      if (PQgetisnull(&result, n, column) != 0) {
        row.emplace_back();
        continue;
      }
      const auto length =
          static_cast<std::size_t>(PQgetlength(&result, n, column));
      row.emplace_back(std::string(PQgetvalue(&result, n, column), length));
    }
    step.Rows.push_back(std::move(row));
  }
  const char *affected = PQcmdTuples(const_cast<PGresult *>(&result));
  if (!absl::SimpleAtoi(affected, &step.AffectedRows))
    step.AffectedRows = 0;
}

void PgConnection::finishBatch() {
  Running = false;
  Result.After = stateOf(Connection.get());
  if (Events.OnBatch)
    Events.OnBatch(std::exchange(Result, {}));
}

void PgConnection::close(const std::string &reason) {
  if (Closed)
    return;
  Closed = true;
  Running = false;
  asio::post(Context, [this, life = Life, reason] {
    if (life->Alive && Events.OnClosed)
      Events.OnClosed(reason);
  });
}

} // namespace stepledge::upstream
