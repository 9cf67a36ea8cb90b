// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What all programs of the system share: the event loop, the log, the
/// metrics' page, ticks and signals.

#ifndef STEPLEDGE_NODE_PROGRAMLOOP_H
#define STEPLEDGE_NODE_PROGRAMLOOP_H

#include "absl/status/status.h"
#include "base/types/Time.h"
#include "http/IHttpServer.h"
#include "lines/HostPort.h"
#include "observe/async/AsyncLog.h"
#include "observe/page/MetricsPage.h"

#include <asio.hpp>

#include "peer/TrafficCount.h"
#include <functional>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace stepledge::node {

/// What a program does on the loop's events.
struct ProgramEvents {
  /// Acts, and gives the time until the next call; none ends the program.
  std::function<std::optional<Duration>()> Tick;
  /// SIGTERM or SIGINT; the program ends by a later tick.
  std::function<void()> Stop;
  /// SIGHUP.
  std::function<void()> Reload;
  /// Brings the gauges up to date before the page is read.
  std::function<void(observe::MetricsPage &)> FillMetrics;
};

/// Tells what was sent to other VMs, by kind of message.
void setTraffic(const peer::TrafficCount &traffic, observe::MetricsPage &page);

class ProgramLoop : public http::ICallHandler {
public:
  explicit ProgramLoop(const std::string &nodeName);
  ~ProgramLoop() override;

  asio::io_context &context() { return Context; }
  observe::MetricsPage &metrics() { return Metrics; }
  /// Writes a line of the log.
  void write(const std::string &line);
  /// Writes now and then what was sent to other VMs since the start.
  void noteTraffic(TimePoint now, const peer::TrafficCount &traffic);
  /// Serves calls at \p address with \p handler until the program ends.
  void serve(const lines::HostPort &address, http::ICallHandler &handler);
  /// Runs until a tick ends the program; the process's exit code.
  int run(ProgramEvents events, const lines::HostPort &metrics);
  /// Why the program can't start; the process's exit code.
  int fail(const absl::Status &status);

  /// The metrics' page.
  void handle(http::HttpCall call, http::Reply reply) override;

private:
  void awaitSignal();
  void tick();

  observe::AsyncLog Log;
  observe::MetricsPage Metrics;
  asio::io_context Context{1};
  asio::steady_timer Timer;
  asio::signal_set Signals;
  ProgramEvents On;
  TimePoint TrafficAt{};
  std::vector<std::unique_ptr<http::IHttpServer>> Servers;
};

} // namespace stepledge::node

#endif // STEPLEDGE_NODE_PROGRAMLOOP_H
