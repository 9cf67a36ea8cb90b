// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The part of ControlNode that tracks the instances: their heartbeats,
/// their incarnations, and whether they answer pings.

#include "control/ControlNode.h"

#include "base/LogField.h"
#include "control/internal/FailoverCoordinator.h"
#include "peer/InstanceCodec.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace stepledge::control {

using membership::HeartbeatEffect;
using membership::InstanceRole;
using membership::InstanceState;

void ControlNode::receiveHeartbeat(TimePoint now,
                                   membership::InstanceRecord record,
                                   OnDone onDone) {
  // NOTE: a delayed heartbeat of an earlier incarnation.
  if (record.StartTimeMs < startTimeOf(record.Id))
    return onDone(true);
  const auto lifecycle = State.lifecycleOf(record.Id.str(), record.StartTimeMs);
  record.State = std::max(record.State, static_cast<InstanceState>(lifecycle));
  updateInstance(now, record, false);
  const bool isMarked = lifecycle != wire::READY;
  if (record.State == InstanceState::Ready || isMarked)
    return onDone(true);
  wire::Command command;
  auto &mark = *command.mutable_mark_instance();
  mark.set_instance(record.Id.str());
  mark.set_state(wire::LEAVING);
  mark.set_born_ms(record.StartTimeMs);
  startCall(now, std::move(command), false, std::move(onDone));
}

bool ControlNode::acceptsInstance(
    const membership::InstanceRecord &record) const {
  const auto &newest = Configurations.newest();
  return newest.Version == 0 || newest.Services.contains(record.Service) ||
         Directory.find(record.Id) != nullptr;
}

std::uint64_t ControlNode::startTimeOf(const InstanceId &id) const {
  const auto *known = Directory.find(id);
  return known ? known->StartTimeMs : 0;
}

void ControlNode::deregisterInstance(TimePoint now, const InstanceId &id,
                                     std::optional<std::uint64_t> startTimeMs,
                                     OnDone onDone) {
  wire::Command command;
  auto &mark = *command.mutable_mark_instance();
  mark.set_instance(id.str());
  mark.set_state(wire::GONE);
  mark.set_born_ms(startTimeMs.value_or(startTimeOf(id)));
  startCall(now, std::move(command), false, std::move(onDone));
}

void ControlNode::updateInstance(TimePoint now,
                                 const membership::InstanceRecord &record,
                                 bool isFromPeer) {
  auto known = record;
  const auto lifecycle = State.lifecycleOf(known.Id.str(), known.StartTimeMs);
  known.State = std::max(known.State, static_cast<InstanceState>(lifecycle));
  const HeartbeatEffect change = Directory.merge(now, known);
  if (change == HeartbeatEffect::None)
    return;
  if (change == HeartbeatEffect::Restarted)
    discardEarlierIncarnation(now, record);
  const bool isChanged = change != HeartbeatEffect::Alive;
  if (isChanged)
    UnsentInstances.insert(record.Id);
  auto &reportedAt = AliveReportedAt[record.Id];
  const bool isDue =
      isChanged || now - reportedAt > Options.AliveReportInterval;
  if (isFromPeer || !isDue)
    return;
  reportedAt = now;
  peer::wire::Message message;
  *message.mutable_instances()->add_instances() =
      peer::encode(*Directory.find(record.Id));
  sendToControls(message);
  if (isChanged)
    keepInstance(now, record.Id, startTimeOf(record.Id));
}

void ControlNode::updateFromWire(TimePoint now,
                                 const peer::wire::Instance &instance) {
  if (const auto record = peer::decode(instance))
    return updateInstance(now, *record, true);
  if (const auto leftOut = UnreadableLines.take(now))
    Log.log(absl::StrCat("event=instance_unreadable instance=",
                         logField(instance.id().substr(0, 64)),
                         " state=", instance.state(), " left_out=", *leftOut));
}

void ControlNode::discardEarlierIncarnation(
    TimePoint now, const membership::InstanceRecord &record) {
  Log.log(absl::StrCat("event=instance_restarted instance=", record.Id.str(),
                       " service=", record.Service,
                       " born_ms=", record.StartTimeMs));
  UnansweredPingSentAt.erase(record.Id);
  PingMissedSince.erase(record.Id);
  LastPingAt.erase(record.Id);
  Detector.dropReports(record.Service, record.Id);
  Probe.cancelRequests(record.Id);
  Failover->instanceRestarted(now, record);
}

void ControlNode::keepInstance(TimePoint now, const InstanceId &id,
                               std::uint64_t startTimeMs) {
  wire::Command command;
  auto &keep = *command.mutable_keep_instance();
  keep.set_instance(id.str());
  keep.set_born_ms(startTimeMs);
  if (const auto *known = Directory.find(id))
    keep.set_record(peer::encode(*known).SerializeAsString());
  // NOTE: no caller waits for it: the next heartbeats report the same again.
  startCall(now, std::move(command), false, [](bool) {});
}

void ControlNode::dropSilentInstances(TimePoint now) {
  const auto isKept = [&](const membership::InstanceRecord &it) {
    return it.Role == InstanceRole::Primary &&
           Failover->isBelievedPrimary(now, it);
  };
  for (const auto &it : Directory.expire(now, Options.InstanceTimeout, isKept))
    dropInstance(now, it);
}

void ControlNode::dropInstance(TimePoint now,
                               const membership::InstanceRecord &record) {
  AliveReportedAt.erase(record.Id);
  LastPingAt.erase(record.Id);
  PingMissedSince.erase(record.Id);
  if (Node.canServe())
    keepInstance(now, record.Id, record.StartTimeMs);
}

void ControlNode::addKeptInstances(TimePoint now) {
  for (const auto &[id, it] : State.instances()) {
    const auto *known = Directory.find(InstanceId(id));
    peer::wire::Instance instance;
    if (known && known->StartTimeMs >= it.born_ms())
      continue;
    // NOTE: if parsing fails, the default instance is logged as unreadable.
    (void)instance.ParseFromString(it.record());
    updateFromWire(now, instance);
  }
}

std::vector<InstanceId> ControlNode::findPingsDue(TimePoint now) {
  std::vector<std::pair<TimePoint, InstanceId>> due;
  std::vector<InstanceId> suspects;
  const bool keepsReplicas =
      Directory.size() <= Options.MaxInstancesForReplicaPings;
  Directory.forEach([&](const membership::InstanceRecord &it) {
    const bool isPrimary = it.Role == InstanceRole::Primary;
    const bool isWanted = isPrimary || keepsReplicas;
    if (it.State == InstanceState::Gone || !isWanted ||
        UnansweredPingSentAt.contains(it.Id))
      return;
    const bool isSuspect = PingMissedSince.contains(it.Id) ||
                           Detector.isSuspected(now, it.Service, it.Id);
    if (isSuspect)
      return suspects.push_back(it.Id);
    const Duration interval =
        isPrimary ? Options.PingInterval : Options.ReplicaPingInterval;
    // NOTE: half an interval early rather than a whole one late.
    if (now - LastPingAt[it.Id] >= interval - Options.PingInterval / 2)
      due.emplace_back(LastPingAt[it.Id], it.Id);
  });
  const std::chrono::duration<double> interval = Options.PingInterval;
  const auto most =
      std::min(due.size(), static_cast<std::size_t>(Options.MaxPingsPerSecond *
                                                    interval.count()));
  std::partial_sort(due.begin(),
                    due.begin() + static_cast<std::ptrdiff_t>(most), due.end());
  for (std::size_t i = 0; i < most; ++i)
    suspects.push_back(due[i].second);
  return suspects;
}

void ControlNode::reportPings(TimePoint now) {
  Directory.forEach([&](const membership::InstanceRecord &it) {
    if (it.Role != InstanceRole::Primary || it.State == InstanceState::Gone ||
        !Failover->isBelievedPrimary(now, it))
      return;
    const auto missed = PingMissedSince.find(it.Id);
    Detector.report(now, Options.Ip, it.Service, it.Id,
                    missed == PingMissedSince.end() ? Duration{}
                                                    : now - missed->second);
  });
}

void ControlNode::pingInstances(TimePoint now) {
  if (now < PingAt)
    return;
  PingAt = now + Options.PingInterval;
  reportPings(now);
  for (const auto &id : findPingsDue(now)) {
    UnansweredPingSentAt[id] = now;
    LastPingAt[id] = now;
    Probe.ping(*Directory.find(id), [this, id](bool isAlive) {
      const auto sent = UnansweredPingSentAt.extract(id);
      if (isAlive)
        PingMissedSince.erase(id);
      else if (!sent.empty())
        PingMissedSince.try_emplace(id, sent.mapped());
    });
  }
  std::set<InstanceId> known;
  Directory.forEach([&](const auto &it) {
    if (it.State != InstanceState::Gone)
      known.insert(known.end(), it.Id);
  });
  Probe.retainConnections(known);
}
} // namespace stepledge::control
