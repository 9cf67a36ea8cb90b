// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "membership/InstanceDirectory.h"

#include <algorithm>

namespace stepledge::membership {

InstanceRecord merged(const InstanceRecord &known,
                      const InstanceRecord &update) {
  if (update.StartTimeMs < known.StartTimeMs)
    return known;
  if (update.StartTimeMs > known.StartTimeMs) {
    InstanceRecord next = update;
    // NOTE: a start time reported for the first time doesn't show that data was
    // lost: the instance may have started long ago.
    next.HasRestarted |= known.StartTimeMs != 0;
    return next;
  }
  InstanceRecord next = update.isNewerThan(known) ? update : known;
  next.State = std::max(update.State, known.State);
  next.HasRestarted = update.HasRestarted || known.HasRestarted;
  return next;
}

HeartbeatEffect InstanceDirectory::merge(TimePoint now,
                                         const InstanceRecord &record) {
  const auto [it, isNew] = Instances.try_emplace(record.Id, Known{record, now});
  if (isNew) {
    ByService[record.Service].insert(record.Id);
    return HeartbeatEffect::Changed;
  }
  auto &known = it->second;
  const InstanceRecord next = merged(known.Record, record);
  const bool isLaterIncarnation = next.StartTimeMs > known.Record.StartTimeMs;
  const bool isNewer = next.isNewerThan(known.Record);
  InstanceRecord same = next;
  same.Sequence = known.Record.Sequence;
  const bool isChanged = same != known.Record;
  if (next.Service != known.Record.Service) {
    removeFromService(known.Record);
    ByService[next.Service].insert(next.Id);
  }
  known.Record = next;
  if (isNewer)
    known.LastHeartbeatAt = now;
  if (isLaterIncarnation)
    return HeartbeatEffect::Restarted;
  if (isChanged)
    return HeartbeatEffect::Changed;
  return isNewer ? HeartbeatEffect::Alive : HeartbeatEffect::None;
}

bool InstanceDirectory::raiseState(const InstanceId &id,
                                   std::uint64_t startTimeMs,
                                   InstanceState state) {
  const auto it = Instances.find(id);
  if (it == Instances.end())
    return false;
  auto &record = it->second.Record;
  if (record.StartTimeMs != startTimeMs || record.State >= state)
    return false;
  record.State = state;
  return true;
}

const InstanceRecord *InstanceDirectory::find(const InstanceId &id) const {
  const auto it = Instances.find(id);
  return it == Instances.end() ? nullptr : &it->second.Record;
}

std::vector<InstanceRecord> InstanceDirectory::all() const {
  std::vector<InstanceRecord> records;
  for (const auto &[id, it] : Instances)
    records.push_back(it.Record);
  return records;
}

InstanceList InstanceDirectory::ofService(const std::string &service) const {
  InstanceList records;
  const auto found = ByService.find(service);
  if (found == ByService.end())
    return records;
  records.reserve(found->second.size());
  for (const auto &id : found->second)
    records.push_back(find(id));
  return records;
}

std::vector<std::string> InstanceDirectory::services() const {
  std::vector<std::string> names;
  names.reserve(ByService.size());
  for (const auto &[service, ids] : ByService)
    names.push_back(service);
  return names;
}

void InstanceDirectory::removeFromService(const InstanceRecord &record) {
  const auto it = ByService.find(record.Service);
  if (it == ByService.end())
    return;
  it->second.erase(record.Id);
  if (it->second.empty())
    ByService.erase(it);
}

std::vector<InstanceRecord> InstanceDirectory::expire(
    TimePoint now, Duration silence,
    const std::function<bool(const InstanceRecord &)> &isKept) {
  std::vector<InstanceRecord> dropped;
  for (const auto &[id, it] : Instances)
    if (now - it.LastHeartbeatAt > silence && !isKept(it.Record))
      dropped.push_back(it.Record);
  for (const auto &it : dropped) {
    removeFromService(it);
    Instances.erase(it.Id);
  }
  return dropped;
}

} // namespace stepledge::membership
