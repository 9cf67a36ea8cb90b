// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "node/ProgramLoop.h"

#include "http/HttpServer.h"
#include "observe/SystemClock.h"

#include "absl/strings/str_cat.h"

#include <csignal>
#include <cstdlib>
#include <utility>

namespace stepledge::node {

namespace {

/// One line for an engineer to see from what fills a link.
constexpr Duration TrafficInterval = milliseconds(10000);

} // namespace

void setTraffic(const peer::TrafficCount &traffic, observe::MetricsPage &page) {
  for (const auto &[kind, sent] : traffic.byKind()) {
    const std::string name(nameIn(peer::MessageKindNames, kind));
    page.set("sent_messages_" + name, static_cast<double>(sent.Messages));
    page.set("sent_bytes_" + name, static_cast<double>(sent.Bytes));
  }
}

ProgramLoop::ProgramLoop(const std::string &nodeName)
    : Log(nodeName, {}), Timer(Context), Signals(Context) {}

ProgramLoop::~ProgramLoop() = default;

void ProgramLoop::write(const std::string &line) {
  Log.write(observe::readClock(), line);
}

void ProgramLoop::noteTraffic(TimePoint now,
                              const peer::TrafficCount &traffic) {
  if (now - TrafficAt < TrafficInterval)
    return;
  TrafficAt = now;
  write("event=traffic" + traffic.line());
}

void ProgramLoop::serve(const lines::HostPort &address,
                        http::ICallHandler &handler) {
  http::HttpServerOptions options;
  options.Address = address.Ip;
  options.Port = address.Port;
  Servers.push_back(http::startHttpServer(Context, options, handler));
}

int ProgramLoop::run(ProgramEvents events, const lines::HostPort &metrics) {
  On = std::move(events);
  serve(metrics, *this);
  for (const int it : {SIGTERM, SIGINT, SIGHUP})
    Signals.add(it);
  awaitSignal();
  tick();
  Context.run();
  write("event=stop");
  return EXIT_SUCCESS;
}

int ProgramLoop::fail(const absl::Status &status) {
  write(absl::StrCat("event=stop reason=\"", std::string(status.message()),
                     "\""));
  return EXIT_FAILURE;
}

void ProgramLoop::handle(http::HttpCall call, http::Reply reply) {
  (void)call;
  On.FillMetrics(Metrics);
  Metrics.set("log_lines_left_out", static_cast<double>(Log.leftOut()));
  http::HttpReply answer;
  answer.ContentType = "text/plain";
  answer.Body = Metrics.text();
  reply(std::move(answer));
}

void ProgramLoop::awaitSignal() {
  Signals.async_wait([this](std::error_code ec, int number) {
    if (ec)
      return;
    if (number == SIGHUP)
      On.Reload();
    else
      On.Stop();
    awaitSignal();
  });
}

void ProgramLoop::tick() {
  const auto next = On.Tick();
  if (!next)
    return Context.stop();
  Timer.expires_after(*next);
  Timer.async_wait([this](std::error_code ec) {
    if (!ec)
      tick();
  });
}

} // namespace stepledge::node
