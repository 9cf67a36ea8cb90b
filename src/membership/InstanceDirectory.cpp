// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "membership/InstanceDirectory.h"

#include <algorithm>

namespace stepledge::membership {

Change InstanceDirectory::merge(TimePoint now, const InstanceRecord &record) {
  const auto [it, isNew] = Instances.try_emplace(record.Id, Known{record, now});
  if (isNew)
    return Change::Changed;
  auto &known = it->second;
  InstanceRecord next = known.Record;
  if (record.Sequence > known.Record.Sequence)
    next = record;
  // A state is never undone, not even by a later word of another kind.
  next.State = std::max(record.State, known.Record.State);
  const bool isNewer = next.Sequence > known.Record.Sequence;
  InstanceRecord same = next;
  same.Sequence = known.Record.Sequence;
  const bool isChanged = same != known.Record;
  known.Record = next;
  if (isNewer)
    known.HeardAt = now;
  if (isChanged)
    return Change::Changed;
  return isNewer ? Change::Alive : Change::None;
}

bool InstanceDirectory::raise(const InstanceId &id, InstanceState state) {
  const auto it = Instances.find(id);
  if (it == Instances.end() || it->second.Record.State >= state)
    return false;
  it->second.Record.State = state;
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
  for (const auto &[id, it] : Instances)
    if (it.Record.Service == service)
      records.push_back(&it.Record);
  return records;
}

std::vector<InstanceId> InstanceDirectory::expire(TimePoint now,
                                                  Duration silence) {
  std::vector<InstanceId> dropped;
  for (const auto &[id, it] : Instances)
    if (now - it.HeardAt > silence)
      dropped.push_back(id);
  for (const auto &it : dropped)
    Instances.erase(it);
  return dropped;
}

} // namespace stepledge::membership
