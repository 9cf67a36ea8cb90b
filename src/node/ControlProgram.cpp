// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "node/ControlProgram.h"

#include "observe/SystemClock.h"

#include "absl/strings/str_cat.h"

#include <utility>

namespace stepledge::node {

namespace {

/// How often elections, heartbeats and calls are looked at: a fifth of the
/// consensus's heartbeat.
constexpr Duration Tick = milliseconds(20);
/// From the stop signal to the answers of calls that still wait: some hundred
/// round trips within a region.
constexpr Duration CallTime = milliseconds(300);
/// From these answers to the end, for their way to the callers.
constexpr Duration AnswerTime = milliseconds(100);
/// Time that a change of voters gets at the most before the process ends.
constexpr Duration MaxLeaveTime = milliseconds(1500);

} // namespace

ControlProgram::ControlProgram(const ControlProgramOptions &options,
                               ControlAdapters adapters)
    : Options(options), Adapters(std::move(adapters)), Loop(options.NodeName),
      Promoter(Adapters.MakePromoter(Loop.context())),
      Probe(Loop.context(), Adapters.Codec, observe::readClock, *this),
      Control(Loop.context(), options.Module, *Promoter, Probe, *this,
              observe::readClock),
      Seeds(Adapters.ReadSeeds, options.Module.Node.SeedIps,
            [this](const std::string &line) { log(line); }) {}

int ControlProgram::run() {
  log(absl::StrCat("event=start program=control hall=",
                   Options.Module.Node.Hall));
  if (auto status = Control.start(); !status.ok())
    return Loop.fail(status);
  Calls = Adapters.MakeCallHandler(Control.node(), *this);
  Loop.serve(Options.Calls, *Calls);
  ProgramEvents events;
  events.Tick = [this] { return tick(); };
  events.Stop = [this] { stop(); };
  events.Reload = [this] { reload(); };
  events.FillMetrics = [this](auto &page) { fillMetrics(page); };
  return Loop.run(std::move(events), Options.Metrics);
}

std::optional<Duration> ControlProgram::tick() {
  const TimePoint now = observe::readClock();
  if (EndsAt && now >= *EndsAt)
    return std::nullopt;
  if (StoppingSince && !EndsAt && canEnd(now)) {
    EndsAt = now + AnswerTime;
    Control.node().endCalls();
  }
  Control.tick();
  reviewSeeds(now);
  Loop.noteTraffic(now, Control.traffic());
  return Tick;
}

void ControlProgram::reload() {
  if (auto seeds = Seeds.reload())
    Control.node().setSeeds(observe::readClock(), *std::move(seeds));
}

void ControlProgram::reviewSeeds(TimePoint now) {
  if (!Control.node().needsSeeds())
    return;
  if (auto seeds = Seeds.poll(now))
    Control.node().setSeeds(now, *std::move(seeds));
}

void ControlProgram::stop() {
  if (StoppingSince)
    return;
  StoppingSince = observe::readClock();
  log("event=stopping");
  Control.node().leave(*StoppingSince);
}

bool ControlProgram::canEnd(TimePoint now) const {
  const Duration time = now - *StoppingSince;
  return time >= CallTime &&
         (Control.consensus().canEnd() || time >= MaxLeaveTime);
}

void ControlProgram::fillMetrics(observe::MetricsPage &page) {
  const auto &consensus = Control.consensus();
  page.set("leads", consensus.isLeader());
  page.set("is_voter", consensus.isVoter());
  page.set("term", static_cast<double>(consensus.term()));
  const auto health = consensus.health(observe::readClock());
  page.set("voters", static_cast<double>(health.Voters.size()));
  page.set("silent_voters", static_cast<double>(health.silentCount()));
  page.set("wiped_voters", static_cast<double>(health.wipedCount()));
  page.set("has_majority", health.HasMajority);
  page.set("without_leader_ms", toMilliseconds(health.WithoutLeader));
  page.set("commit_index", static_cast<double>(consensus.commitIndex()));
  page.set("configuration_version",
           static_cast<double>(Control.node().configurationVersion()));
  setTraffic(Control.traffic(), page);
}

void ControlProgram::log(const std::string &line) { Loop.write(line); }

} // namespace stepledge::node
