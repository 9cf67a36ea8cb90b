// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The loop that programs share: ticks, signals and the metrics' page.

#include "node/ProgramLoop.h"

#include <doctest/doctest.h>

#include <csignal>
#include <cstdlib>

using namespace stepledge;
using namespace stepledge::node;

namespace {

constexpr Duration Pause = milliseconds(1);
const lines::HostPort AnyPort{"127.0.0.1", 0};

} // namespace

TEST_CASE("ProgramLoop_TicksUntilATickEndsIt") {
  ProgramLoop loop("vm-1");
  int ticks = 0;
  ProgramEvents events;
  events.Tick = [&]() -> std::optional<Duration> {
    return ++ticks < 3 ? std::optional(Pause) : std::nullopt;
  };
  CHECK(loop.run(events, AnyPort) == EXIT_SUCCESS);
  CHECK(ticks == 3);
}

TEST_CASE("ProgramLoop_SignalsReachTheProgram") {
  ProgramLoop loop("vm-1");
  int reloads = 0;
  bool isStopping = false;
  int ticks = 0;
  ProgramEvents events;
  events.Tick = [&]() -> std::optional<Duration> {
    if (isStopping)
      return std::nullopt;
    // The stop comes once the reload has been seen.
    if (ticks++ == 0)
      std::raise(SIGHUP);
    else if (reloads == 1)
      std::raise(SIGTERM);
    return Pause;
  };
  events.Reload = [&] { ++reloads; };
  events.Stop = [&] { isStopping = true; };
  CHECK(loop.run(events, AnyPort) == EXIT_SUCCESS);
  CHECK(reloads == 1);
}

TEST_CASE("ProgramLoop_PageIsFilledWhenItIsRead") {
  ProgramLoop loop("vm-1");
  std::string page;
  ProgramEvents events;
  events.FillMetrics = [](auto &metrics) { metrics.set("sessions", 7); };
  events.Tick = [&]() -> std::optional<Duration> {
    loop.handle({}, [&](const http::HttpReply &reply) { page = reply.Body; });
    return std::nullopt;
  };
  loop.run(events, AnyPort);
  CHECK(page.find("stepledge_sessions 7") != std::string::npos);
}

TEST_CASE("ProgramLoop_FaultAtTheStartIsAFailure") {
  ProgramLoop loop("vm-1");
  CHECK(loop.fail(absl::UnavailableError("no port")) == EXIT_FAILURE);
}
