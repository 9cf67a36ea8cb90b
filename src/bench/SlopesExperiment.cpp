// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "bench/BenchModule.h"

#include "base/NameTable.h"
#include "mesh/ForwardCodec.h"
#include "request/RequestModule.h"
#include "session/SessionModule.h"

#include "absl/strings/str_cat.h"

#include <nlohmann/json.hpp>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <map>
#include <ostream>

namespace stepledge::bench {

namespace {

using nlohmann::json;
using namespace stepledge::request;

constexpr int Instances = 3;
constexpr int SimulatedSeconds = 60;
constexpr int ReadCycles = 20000;
constexpr int TokenCycles = 20000;

double microsecondsNow() {
  return std::chrono::duration<double, std::micro>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

/// The process's memory that is in use, in kilobytes.
double residentKb() {
  std::ifstream in("/proc/self/statm");
  long total = 0;
  long resident = 0;
  in >> total >> resident;
  return static_cast<double>(resident * sysconf(_SC_PAGESIZE)) / 1024;
}

settings::Settings settingsWith(int databases) {
  settings::Settings out;
  out.Vm = VmId("entry-1");
  out.SessionKeys = {{1, std::string(32, 'k')}};
  for (int n = 0; n < databases; ++n) {
    settings::DatabaseSettings database;
    database.Id = DatabaseId(absl::StrCat("db", n));
    for (int i = 0; i < Instances; ++i)
      database.Instances.push_back({InstanceId(absl::StrCat(n, "-", i)),
                                    HallId(absl::StrCat(i)),
                                    {},
                                    8,
                                    3});
    out.Databases.push_back(std::move(database));
  }
  return out;
}

/// Drives a coordinator whose instances answer at once, all in this process.
class Driven {
public:
  explicit Driven(int databases)
      : Coordinator(makeRequestCoordinator(settingsWith(databases), 1, Now)) {
    tell(TimePassed{});
  }

  void advance(Duration time) {
    const auto end = Now + time;
    while (Now < end) {
      const auto wake = Coordinator->nextWake();
      Now = wake && *wake > Now ? std::min(*wake, end) : Now + Duration(100);
      tell(TimePassed{});
    }
  }

  void read(const session::SessionMarks &marks) {
    CallerRequest request;
    request.Id = RequestId{++Requests};
    request.Database = DatabaseId("db0");
    request.Marks = marks;
    request.Deadline = Now + milliseconds(1000);
    request.Operation = ReadCall{{"SELECT 1", {}}, milliseconds(5000)};
    tell(RequestArrived{std::move(request)});
  }

  int questions() const { return Questions; }
  int answers() const { return Answers; }

private:
  void tell(const Event &first) {
    std::vector<Event> events = {first};
    while (!events.empty()) {
      const auto event = std::move(events.back());
      events.pop_back();
      for (const auto &it : Coordinator->onEvent(event, Now)) {
        if (const auto *open = std::get_if<OpenConnection>(&it)) {
          Names[open->Connection] = open->Instance;
          events.push_back(ConnectionOpened{open->Connection});
        } else if (const auto *run = std::get_if<RunBatch>(&it)) {
          events.push_back(BatchFinished{run->Connection, answerTo(*run)});
        } else if (std::holds_alternative<SendAnswer>(it)) {
          ++Answers;
        }
      }
    }
  }

  upstream::BatchResult answerTo(const RunBatch &run) {
    upstream::BatchResult out{
        run.Batch.Id, {}, upstream::TransactionState::Idle};
    Questions += run.Batch.Steps.size() == 1 ? 1 : 0;
    const bool isPrimary = Names[run.Connection].str().ends_with("-0");
    for (std::size_t n = 0; n < run.Batch.Steps.size(); ++n) {
      upstream::StepResult step;
      step.Outcome = upstream::StepOutcome::Ok;
      step.Columns = {"role",    "term",    "log_term", "durable",
                      "applied", "leaving", "history"};
      step.Rows = {{isPrimary ? "primary" : "replica", "1", "1", "1000", "1000",
                    "0", "1:0"}};
      out.Steps.push_back(std::move(step));
    }
    return out;
  }

  TimePoint Now;
  std::unique_ptr<IRequestCoordinator> Coordinator;
  std::map<ConnectionId, InstanceId> Names;
  std::uint64_t Requests = 0;
  int Questions = 0;
  int Answers = 0;
};

/// Microseconds of processor for each simulated second of watching.
json watchSlope(int databases) {
  const double before = residentKb();
  Driven driven(databases);
  driven.advance(milliseconds(2000));
  const double kb = residentKb() - before;
  const int asked = driven.questions();
  const double start = microsecondsNow();
  driven.advance(milliseconds(1000LL * SimulatedSeconds));
  const double us = microsecondsNow() - start;
  return {{"databases", databases},
          {"us_per_second", us / SimulatedSeconds},
          {"us_per_question", us / (driven.questions() - asked)},
          {"kb", kb}};
}

double readMicroseconds() {
  Driven driven(1);
  driven.advance(milliseconds(1000));
  session::SessionMarks marks;
  marks.add(DatabaseId("db0"), {Term{1}, LogPosition{900}});
  const double start = microsecondsNow();
  for (int n = 0; n < ReadCycles; ++n)
    driven.read(marks);
  const double us = microsecondsNow() - start;
  return driven.answers() == ReadCycles ? us / ReadCycles : -1;
}

json tokenSlope() {
  const auto config = settingsWith(1);
  const auto codec = session::makeTokenCodec(config.SessionKeys, config.Limits);
  session::SessionMarks marks;
  for (int n = 0; n < 3; ++n)
    marks.add(DatabaseId(absl::StrCat("bookings", n)),
              {Term{4097}, LogPosition{123456789}});
  const double start = microsecondsNow();
  std::size_t bytes = 0;
  for (int n = 0; n < TokenCycles; ++n) {
    const auto token = codec->encode(marks);
    bytes = token.size();
    if (!codec->decode(token).ok())
      return {};
  }
  return {{"us", (microsecondsNow() - start) / TokenCycles}, {"bytes", bytes}};
}

json meshSlope() {
  mesh::wire::Envelope call;
  call.mutable_silence_call()->set_database("bookings");
  call.mutable_silence_call()->set_term(4097);
  mesh::wire::Envelope answer;
  answer.mutable_silence_answer()->set_database("bookings");
  answer.mutable_silence_answer()->set_term(4097);
  answer.mutable_silence_answer()->set_is_silent(true);
  CallerRequest request;
  request.Operation = StatementCall{
      TransactionId("entry-1.bookings.1.00112233445566ff"),
      1,
      {"UPDATE booking SET who = $1 WHERE slot = $2", {"ann", "mon-9"}}};
  mesh::wire::Envelope forward;
  forward.set_number(1);
  *forward.mutable_forward_call() = *mesh::toForwardCall(request, {});
  return {{"silence_call_bytes", call.ByteSizeLong()},
          {"silence_answer_bytes", answer.ByteSizeLong()},
          {"forward_call_bytes", forward.ByteSizeLong()}};
}

} // namespace

int runSlopes(std::ostream &out) {
  auto watching = json::array();
  for (const int databases : {1, 4, 16, 64})
    watching.push_back(watchSlope(databases));
  const json line = {{"experiment", "slopes"},
                     {"watch", watching},
                     {"read_us", readMicroseconds()},
                     {"token", tokenSlope()},
                     {"mesh", meshSlope()}};
  out << "In this process, with instances that answer at once.\n"
      << line.dump() << std::endl;
  return 0;
}

} // namespace stepledge::bench
