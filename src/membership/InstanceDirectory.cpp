// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "membership/InstanceDirectory.h"

#include <algorithm>

namespace stepledge::membership {

InstanceRecord merged(const InstanceRecord &known, const InstanceRecord &word) {
  if (word.BornMs < known.BornMs)
    return known;
  if (word.BornMs > known.BornMs) {
    InstanceRecord next = word;
    // NOTE: a start time reported for the first time is no restart: the
    // instance may have started long ago.
    next.HasRestarted |= known.BornMs != 0;
    return next;
  }
  InstanceRecord next = word.isNewerThan(known) ? word : known;
  next.State = std::max(word.State, known.State);
  next.HasRestarted = word.HasRestarted || known.HasRestarted;
  return next;
}

Change InstanceDirectory::merge(TimePoint now, const InstanceRecord &record) {
  const auto [it, isNew] = Instances.try_emplace(record.Id, Known{record, now});
  if (isNew) {
    ByService[record.Service].insert(record.Id);
    return Change::Changed;
  }
  auto &known = it->second;
  const InstanceRecord next = merged(known.Record, record);
  const bool isLaterLife = next.BornMs > known.Record.BornMs;
  const bool isNewer = next.isNewerThan(known.Record);
  InstanceRecord same = next;
  same.Sequence = known.Record.Sequence;
  const bool isChanged = same != known.Record;
  if (next.Service != known.Record.Service) {
    unlist(known.Record);
    ByService[next.Service].insert(next.Id);
  }
  known.Record = next;
  if (isNewer)
    known.HeardAt = now;
  if (isLaterLife)
    return Change::Restarted;
  if (isChanged)
    return Change::Changed;
  return isNewer ? Change::Alive : Change::None;
}

bool InstanceDirectory::raise(const InstanceId &id, std::uint64_t bornMs,
                              InstanceState state) {
  const auto it = Instances.find(id);
  if (it == Instances.end())
    return false;
  auto &record = it->second.Record;
  if (record.BornMs != bornMs || record.State >= state)
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

std::vector<const InstanceRecord *>
InstanceDirectory::ofService(const std::string &service) const {
  std::vector<const InstanceRecord *> records;
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

void InstanceDirectory::unlist(const InstanceRecord &record) {
  const auto it = ByService.find(record.Service);
  if (it == ByService.end())
    return;
  it->second.erase(record.Id);
  if (it->second.empty())
    ByService.erase(it);
}

std::vector<InstanceRecord> InstanceDirectory::expire(TimePoint now,
                                                      Duration silence) {
  std::vector<InstanceRecord> dropped;
  for (const auto &[id, it] : Instances)
    if (now - it.HeardAt > silence)
      dropped.push_back(it.Record);
  for (const auto &it : dropped) {
    unlist(it);
    Instances.erase(it.Id);
  }
  return dropped;
}

} // namespace stepledge::membership
