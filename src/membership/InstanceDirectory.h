// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file All instances that are known by their heartbeats, newest word first.

#ifndef STEPLEDGE_MEMBERSHIP_INSTANCEDIRECTORY_H
#define STEPLEDGE_MEMBERSHIP_INSTANCEDIRECTORY_H

#include "base/types/Time.h"
#include "membership/types/InstanceRecord.h"

#include <map>
#include <set>
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
  /// Valid until the next change, as what forEach gives.
  std::vector<const InstanceRecord *>
  ofService(const std::string &service) const;
  std::vector<std::string> services() const;
  template <typename Visit> void forEach(Visit visit) const {
    for (const auto &[id, it] : Instances)
      visit(it.Record);
  }
  std::size_t size() const { return Instances.size(); }
  /// Drops instances that have long been silent, and tells which.
  std::vector<InstanceRecord> expire(TimePoint now, Duration silence);

private:
  struct Known {
    InstanceRecord Record;
    TimePoint HeardAt{};
  };

  void unlist(const InstanceRecord &record);

  std::map<InstanceId, Known> Instances;
  /// A leader looks at each service some fifty times a second. A walk over all
  /// instances for each took 0.6 of a core before 400 services, and more than
  /// there is before 1,300.
  std::map<std::string, std::set<InstanceId>> ByService;
};

} // namespace stepledge::membership

#endif // STEPLEDGE_MEMBERSHIP_INSTANCEDIRECTORY_H
