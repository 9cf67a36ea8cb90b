// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "request/internal/ObserveFlow.h"

#include "request/internal/ObservationRow.h"

#include <algorithm>

namespace stepledge::request {

namespace {

/// Poll interval while answers wait for a majority or a primary is replaced.
constexpr Duration FastPollInterval = milliseconds(2);
/// How soon to check again whether a monitoring connection may be opened.
constexpr Duration OpenRetryInterval = milliseconds(50);

} // namespace

ObserveFlow::ObserveFlow(DatabaseContext &context) : Context(context) {
  for (const auto &it : context.Database.Instances)
    Monitors[it.Id];
}

TimePoint ObserveFlow::nextPollAt(const Monitor &monitor, bool fast) const {
  return monitor.Since +
         (fast ? FastPollInterval : Context.Common.Timing.Observe);
}

std::vector<InstanceId> ObserveFlow::tick(bool fast, TimePoint now) {
  std::vector<InstanceId> silent;
  for (auto &[instance, monitor] : Monitors) {
    if (!monitor.Connection) {
      if (!Context.Pool.canOpen(instance, true, now))
        continue;
      monitor = {Context.Pool.startOpening(instance, true, now), true, now};
      Context.PendingEffects.push_back(
          OpenConnection{*monitor.Connection, Context.Database.Id, instance});
    } else if (monitor.IsPending) {
      if (now - monitor.Since >= Context.Common.Timing.Silence)
        silent.push_back(instance);
    } else if (now >= nextPollAt(monitor, fast)) {
      poll(monitor, now);
    }
  }
  return silent;
}

void ObserveFlow::poll(Monitor &monitor, TimePoint now) {
  monitor.IsPending = true;
  monitor.Since = now;
  Context.send(*monitor.Connection, ObserveWork{},
               {{Context.Common.Dialect.Observe, {}, true}}, now);
}

void ObserveFlow::sendOrder(const InstanceId &instance, upstream::Step step,
                            TimePoint now) {
  auto &monitor = Monitors[instance];
  if (!monitor.Connection || monitor.IsPending)
    return;
  monitor.IsPending = true;
  monitor.Since = now;
  // NOTE: The step is a transaction of its own, so that the poll is answered
  // even if the step fails.
  step.SyncAfter = true;
  Context.send(*monitor.Connection, ObserveWork{},
               {std::move(step), {Context.Common.Dialect.Observe, {}, true}},
               now);
}

void ObserveFlow::opened(ConnectionId connection, TimePoint now) {
  for (auto &[instance, monitor] : Monitors)
    if (monitor.Connection == connection)
      poll(monitor, now);
}

void ObserveFlow::finished(const RunningWork &running, ConnectionId connection,
                           const upstream::BatchResult &result, TimePoint now) {
  auto &monitor = Monitors[running.Instance];
  if (monitor.Connection == connection)
    monitor.IsPending = false;
  if (!result.Steps.empty())
    if (const auto seen = readObservation(result.Steps.back())) {
      Context.View.observe(running.Instance, *seen, running.SentAt, now);
      Context.View.noteSuccess(running.Instance);
    }
  Context.release(connection, result.After, now);
}

void ObserveFlow::lost(const InstanceId &instance) { Monitors[instance] = {}; }

TimePoint ObserveFlow::nextWake(bool fast, TimePoint now) const {
  auto next = now + Context.Common.Timing.Observe;
  for (const auto &[instance, monitor] : Monitors) {
    auto wake = now + OpenRetryInterval;
    if (monitor.Connection)
      wake = monitor.IsPending ? monitor.Since + Context.Common.Timing.Silence
                               : nextPollAt(monitor, fast);
    next = std::min(next, wake);
  }
  return next;
}

} // namespace stepledge::request
