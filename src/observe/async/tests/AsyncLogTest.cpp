// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The log never holds up its writer and stays within its bounds.

#include "observe/async/AsyncLog.h"

#include <doctest/doctest.h>

#include <csignal>
#include <string>
#include <unistd.h>

using namespace stepledge;
using stepledge::observe::AsyncLog;

namespace {

/// Standard output goes to a pipe that nobody reads while this lives.
class UnreadOutput {
public:
  UnreadOutput() : Saved(::dup(STDOUT_FILENO)) {
    REQUIRE(::pipe(Pipe) == 0);
    REQUIRE(::dup2(Pipe[1], STDOUT_FILENO) >= 0);
  }
  ~UnreadOutput() {
    // NOTE: the reading end goes first, so that a writer that waits is freed.
    ::close(Pipe[0]);
    ::dup2(Saved, STDOUT_FILENO);
    ::close(Saved);
    ::close(Pipe[1]);
  }
  UnreadOutput(const UnreadOutput &) = delete;
  UnreadOutput &operator=(const UnreadOutput &) = delete;

private:
  int Pipe[2] = {-1, -1};
  int Saved;
};

} // namespace

TEST_CASE("AsyncLog_NobodyReadsAndNobodyWaits") {
  std::signal(SIGPIPE, SIG_IGN);
  AsyncLog log("vm", {1000000, 64});
  // NOTE: goes before the log, whose end waits for its last lines.
  const UnreadOutput output;
  const std::string line(400, 'x');
  // Far more than a pipe holds: a writer that waited would never end here.
  for (int i = 0; i < 5000; ++i)
    log.write(TimePoint(std::chrono::seconds(1)), line);
  CHECK(log.leftOut() == 0);
}

TEST_CASE("AsyncLog_LinesBeyondTheRateAreCounted") {
  AsyncLog log("vm", {10, 64});
  const TimePoint now(std::chrono::seconds(5));
  for (int i = 0; i < 25; ++i)
    log.write(now, "event=test");
  CHECK(log.leftOut() == 15);
  log.write(now + std::chrono::seconds(1), "event=test");
  CHECK(log.leftOut() == 15);
}
