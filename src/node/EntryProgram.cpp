// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "node/EntryProgram.h"

#include "observe/SystemClock.h"
#include "quota/types/QuotaPriority.h"

#include "absl/strings/str_cat.h"

#include <utility>

namespace stepledge::node {

namespace {

/// How often timeouts and retries are looked at while clients wait: well below
/// the shortest latency objectives, which are some 100 ms.
constexpr Duration BusyTick = milliseconds(10);
/// The same while nobody waits, for heartbeats and probes.
constexpr Duration IdleTick = milliseconds(40);

} // namespace

EntryProgram::EntryProgram(const EntryProgramOptions &options,
                           const gateway::ILineCodec &codec,
                           ReadSeeds readSeeds)
    : Options(options),
      Seeds(std::move(readSeeds), options.Module.Node.SeedIps,
            [this](const std::string &line) { decision(line); }),
      Loop(options.NodeName),
      Sockets(Loop.context(), codec, observe::readClock),
      Entry(Loop.context(), options.Module, Sockets, *this,
            observe::readClock) {}

int EntryProgram::run() {
  decision(absl::StrCat("event=start program=entry hall=",
                        Options.Module.Node.Hall));
  if (auto status = Sockets.listen(Options.Clients, Entry.proxy());
      !status.ok())
    return Loop.fail(status);
  Loop.serve(Options.Ready, *this);
  Entry.start();
  ProgramEvents events;
  events.Tick = [this] { return tick(); };
  events.Stop = [this] { Entry.stop(); };
  events.Reload = [this] { reload(); };
  events.FillMetrics = [this](auto &page) { fillMetrics(page); };
  return Loop.run(std::move(events), Options.Metrics);
}

std::optional<Duration> EntryProgram::tick() {
  if (Entry.tick())
    return std::nullopt;
  Loop.noteTraffic(observe::readClock(), Entry.traffic());
  reviewSeeds();
  return Entry.proxy().isBusy() ? BusyTick : IdleTick;
}

void EntryProgram::reload() {
  if (auto seeds = Seeds.reload())
    Entry.setSeeds(*std::move(seeds));
}

void EntryProgram::reviewSeeds() {
  if (!Entry.needsSeeds())
    return;
  if (auto seeds = Seeds.poll(observe::readClock()))
    Entry.setSeeds(*std::move(seeds));
}

void EntryProgram::fillMetrics(observe::MetricsPage &page) {
  const auto &proxy = Entry.proxy();
  page.set("sessions", static_cast<double>(proxy.sessionCount()));
  page.set("configuration_version",
           static_cast<double>(proxy.configurationVersion()));
  page.set("instances_held_back",
           static_cast<double>(proxy.outlierInstances()));
  page.set(
      "organisations_held_back",
      static_cast<double>(proxy.deferredOrganisations(observe::readClock())));
  setTraffic(Entry.traffic(), page);
}

void EntryProgram::decision(const std::string &line) { Loop.write(line); }

void EntryProgram::answered(proxy::ReplyCode code, Duration took) {
  Loop.metrics().count("statements_total", std::string(nameOf(code)));
  Loop.metrics().noteLatency(took);
}

void EntryProgram::retried(proxy::ReplyCode code) {
  Loop.metrics().count("retries_total", std::string(nameOf(code)));
}

void EntryProgram::refusedForCapacity(bool isAtOnce) {
  Loop.metrics().count("room_refusals_total", isAtOnce ? "at_once" : "waited");
}

void EntryProgram::lendRefused(proxy::LendingEnd reason) {
  Loop.metrics().count("lend_refusals_total", std::string(nameOf(reason)));
}

void EntryProgram::sessionEnded(proxy::SessionEnd reason) {
  Loop.metrics().count("sessions_ended_total", std::string(nameOf(reason)));
}

void EntryProgram::unanswered(const std::string &reason) {
  Loop.metrics().count("statements_unanswered_total", reason);
}

void EntryProgram::givenUp(bool wasSent) {
  Loop.metrics().count("statements_given_up_total",
                       wasSent ? "sent" : "waiting");
}

void EntryProgram::answerMismatch(proxy::AnswerFault fault) {
  Loop.metrics().count("answer_mismatches_total", std::string(nameOf(fault)));
}

void EntryProgram::errorRepeated(proxy::ReplyCode code) {
  Loop.metrics().count("errors_repeated_total", std::string(nameOf(code)));
}

void EntryProgram::heldBack() {
  Loop.metrics().count("clients_held_back_total", "unanswered");
}

void EntryProgram::refusedByQuota(int priority) {
  Loop.metrics().count("quota_refusals_total",
                       std::to_string(quota::quotaPriorityOf(priority)));
}

void EntryProgram::handle(http::HttpCall call, http::Reply reply) {
  (void)call;
  constexpr int Success = 200;
  constexpr int Unavailable = 503;
  http::HttpReply answer;
  answer.Status = Entry.isReady() ? Success : Unavailable;
  reply(std::move(answer));
}

} // namespace stepledge::node
