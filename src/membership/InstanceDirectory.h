// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The known instances, each with its newest heartbeat.

#ifndef STEPLEDGE_MEMBERSHIP_INSTANCEDIRECTORY_H
#define STEPLEDGE_MEMBERSHIP_INSTANCEDIRECTORY_H

#include "base/types/Time.h"
#include "membership/types/InstanceRecord.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace stepledge::membership {

/// Valid until the next change of the directory.
using InstanceList = std::vector<const InstanceRecord *>;

/// The effect of a heartbeat on the directory.
enum class HeartbeatEffect {
  /// The heartbeat was late or a duplicate.
  None,
  /// The instance is alive; nothing else has changed.
  Alive,
  /// The record has changed, and other VMs must receive it.
  Changed,
  /// As Changed, and the instance has restarted under its id, or reports its
  /// start time for the first time: the state learned from its previous
  /// incarnation is no longer valid.
  Restarted,
};

/// The record that results from \p known and the heartbeat \p update of the
/// same instance. A state is never reverted within an incarnation, not even by
/// a later heartbeat.
InstanceRecord merged(const InstanceRecord &known,
                      const InstanceRecord &update);

class InstanceDirectory {
public:
  /// Merges a record received from the instance or from another VM.
  HeartbeatEffect merge(TimePoint now, const InstanceRecord &record);
  /// Permanently raises the state of the incarnation that started at
  /// \p startTimeMs to \p state. False if the instance is unknown or of another
  /// incarnation, or its state is already as late.
  bool raiseState(const InstanceId &id, std::uint64_t startTimeMs,
                  InstanceState state);
  const InstanceRecord *find(const InstanceId &id) const;
  std::vector<InstanceRecord> all() const;
  /// Valid until the next change, like the references that forEach passes.
  InstanceList ofService(const std::string &service) const;
  std::vector<std::string> services() const;
  template <typename Visit> void forEach(Visit visit) const {
    for (const auto &[id, it] : Instances)
      visit(it.Record);
  }
  std::size_t size() const { return Instances.size(); }
  /// Removes and returns the instances without a heartbeat within \p silence,
  /// but none that \p isKept names.
  std::vector<InstanceRecord> expire(
      TimePoint now, Duration silence,
      const std::function<bool(const InstanceRecord &)> &isKept =
          [](const auto &) { return false; });

private:
  struct Known {
    InstanceRecord Record;
    TimePoint LastHeartbeatAt{};
  };

  void removeFromService(const InstanceRecord &record);

  std::map<InstanceId, Known> Instances;
  /// The leader checks each service about 50 times a second. Scanning all
  /// instances for each took 0.6 of a core with 400 services, and more CPU than
  /// there is with 1,300.
  std::map<std::string, std::set<InstanceId>> ByService;
};

} // namespace stepledge::membership

#endif // STEPLEDGE_MEMBERSHIP_INSTANCEDIRECTORY_H
