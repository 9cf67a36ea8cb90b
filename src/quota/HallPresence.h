// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Which VMs of the own hall this VM hears: the share of the hall's part
/// that it may lend as a home.
///
/// If the VMs of a hall are partitioned, each side has a home of its own. A VM
/// is heard by one side only, so the shares of the homes add up to at most the
/// whole part.

#ifndef STEPLEDGE_QUOTA_HALLPRESENCE_H
#define STEPLEDGE_QUOTA_HALLPRESENCE_H

#include "base/types/Ids.h"
#include "base/types/Time.h"
#include "membership/types/EntryVm.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace stepledge::quota {

class HallPresence {
public:
  /// How often a VM tells the homes of its hall that it is there.
  static constexpr Duration TellInterval = milliseconds(500);
  /// A VM that hasn't been heard for longer may be on the other side of a
  /// partition: two messages and a delay.
  static constexpr Duration HeardLimit = milliseconds(1250);
  /// A VM that has left the list without saying so counts as partitioned for
  /// this time, longer than most partitions; then it is taken for ended. One
  /// that is gone for good costs its hall that share meanwhile.
  static constexpr Duration DepartedLifetime = milliseconds(60000);

  HallPresence(HallId ownHall, std::string ownIp)
      : OwnHall(std::move(ownHall)), OwnIp(std::move(ownIp)) {}

  void setEntries(const std::vector<membership::EntryVm> &entries);
  /// Forgets the VMs that have ended.
  void tick(TimePoint now);
  /// \p isLeaving: the VM is about to stop; once it is silent, it has ended.
  void heard(TimePoint now, const std::string &ip, bool isLeaving);
  /// The fraction of the hall's VMs, this one among them, that were heard
  /// lately and not before \p since.
  double share(TimePoint now, TimePoint since) const;

private:
  struct Member {
    bool IsListed = false;
    /// The first tick at which the VM wasn't in the list.
    std::optional<TimePoint> LeftAt;
    std::optional<TimePoint> HeardAt;
    bool IsLeaving = false;
  };

  static bool isHeard(TimePoint now, const Member &member, TimePoint since);
  static bool hasEnded(TimePoint now, const Member &member);

  HallId OwnHall;
  std::string OwnIp;
  /// The other VMs of the hall.
  std::map<std::string, Member> Members;
};

} // namespace stepledge::quota

#endif // STEPLEDGE_QUOTA_HALLPRESENCE_H
