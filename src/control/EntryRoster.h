// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The entry VMs that are connected to a control VM, and which changes
/// among them the others haven't been told.

#ifndef STEPLEDGE_CONTROL_ENTRYROSTER_H
#define STEPLEDGE_CONTROL_ENTRYROSTER_H

#include "peer/generated/Peer.pb.h"

#include <map>
#include <set>
#include <string>

namespace stepledge::control {

class EntryRoster {
public:
  void join(const std::string &ip, const std::string &hall);
  void leave(const std::string &ip);
  /// By address, the halls of those that are connected.
  const std::map<std::string, std::string> &halls() const { return Halls; }

  /// Whether \p ip wants to hear of the instances; while it is connected.
  void setWantsInstances(const std::string &ip, bool isWanted);
  const std::set<std::string> &instanceListeners() const {
    return InstanceListeners;
  }

  /// Names all of them, for one that has just connected.
  void tellAll(peer::wire::Notice &notice) const;
  /// Names those that came or went since the last call, for all the others.
  /// Naming all VMs every two seconds instead took half of the bytes that 70
  /// entry VMs without load sent between halls: 20 MB in 52 s, now 10 MB
  /// (simulated day).
  void tellChanges(peer::wire::Notice &notice);

private:
  std::map<std::string, std::string> Halls;
  std::set<std::string> InstanceListeners;
  /// As of the last change that was told.
  std::map<std::string, std::string> Told;
};

} // namespace stepledge::control

#endif // STEPLEDGE_CONTROL_ENTRYROSTER_H
