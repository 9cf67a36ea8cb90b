// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file All instances that are known by their heartbeats, newest word first.

#ifndef STEPLEDGE_MEMBERSHIP_INSTANCEDIRECTORY_H
#define STEPLEDGE_MEMBERSHIP_INSTANCEDIRECTORY_H

#include "base/types/Time.h"
#include "membership/types/InstanceRecord.h"

#include <map>
#include <vector>

namespace stepledge::membership {

/// What a heartbeat brought.
enum class Change {
  /// A late or repeated word.
  None,
  /// Nothing but that the instance lives.
  Alive,
  /// Something that others have to hear.
  Changed,
  /// The same, and the instance has started again under its id: what was
  /// learned from its earlier life holds no longer.
  Restarted,
};

/// What is known once \p word has come after \p known of the same instance. A
/// state is never undone within a life, not even by a later word.
InstanceRecord merged(const InstanceRecord &known, const InstanceRecord &word);

class InstanceDirectory {
public:
  /// Takes in what was heard of an instance, here or elsewhere.
  Change merge(TimePoint now, const InstanceRecord &record);
  /// The state of the life that began at \p bornMs is raised to \p state, for
  /// good.
  bool raise(const InstanceId &id, std::uint64_t bornMs, InstanceState state);
  const InstanceRecord *find(const InstanceId &id) const;
  std::vector<InstanceRecord> all() const;
  /// Valid until the next change.
  std::vector<const InstanceRecord *>
  ofService(const std::string &service) const;
  /// Drops instances that have long been silent, and tells which.
  std::vector<InstanceRecord> expire(TimePoint now, Duration silence);

private:
  struct Known {
    InstanceRecord Record;
    TimePoint HeardAt{};
  };

  std::map<InstanceId, Known> Instances;
};

} // namespace stepledge::membership

#endif // STEPLEDGE_MEMBERSHIP_INSTANCEDIRECTORY_H
