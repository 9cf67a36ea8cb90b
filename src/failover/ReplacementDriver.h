// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Replaces the lost primary of one database group. Any VM may drive: a
/// majority of the instances decides, by the terms that they promise. What
/// has been done is read from the instances alone, so a driver that dies
/// leaves nothing behind that another can't go on from.

#ifndef STEPLEDGE_FAILOVER_REPLACEMENTDRIVER_H
#define STEPLEDGE_FAILOVER_REPLACEMENTDRIVER_H

#include "base/types/Time.h"
#include "failover/TermAllotment.h"
#include "failover/types/ReplacementOrder.h"
#include "routing/GroupView.h"

#include <optional>
#include <set>
#include <vector>

namespace stepledge::failover {

struct DriverSettings {
  /// A primary silent for this long is suspected.
  Duration Suspect = milliseconds(250);
  /// Later by this much for each place in the order of VMs, so that usually
  /// one drives.
  Duration Stagger = milliseconds(60);
  int Rank = 0;
  /// Between questions to the other halls, which may notice a little later.
  Duration AskAgain = milliseconds(25);
  /// VMs in other halls that must agree; 0 where there are none.
  int AgreementNeeded = 1;
  /// An attempt that got no further is begun again.
  Duration Attempt = milliseconds(1500);
  /// After a replacement, before the next one.
  Duration Rest = milliseconds(3000);
  /// An instance that promised a later term than the primary's, and so
  /// follows nobody, is brought back by a new term after this long.
  Duration Stranded = milliseconds(3000);
  /// A primary known to be leaving for this long is replaced.
  Duration Leave = milliseconds(1650);
  /// An instance silent for this long counts as out of reach.
  Duration Silence = milliseconds(600);
};

class ReplacementDriver {
public:
  ReplacementDriver(DriverSettings settings, TermAllotment terms)
      : Config(settings), Terms(terms) {}

  /// What to do now. Orders are given again until the view shows them done.
  std::vector<ReplacementOrder> tick(const routing::GroupView &view,
                                     TimePoint now);

  /// A VM in another hall says whether it hears the primary of \p term.
  void peerSaid(const VmId &peer, Term term, bool isSilent);

  /// Whether no primary has been heard of for as long as makes it suspect.
  bool isSilent(const routing::GroupView &view, TimePoint now) const;

  ReplacementStage stage() const { return Stage; }
  /// Whether the instances should be asked more often than usual.
  bool isEager() const { return Stage != ReplacementStage::Watching; }

private:
  void watch(const routing::GroupView &view, TimePoint now,
             std::vector<ReplacementOrder> &out);
  void ask(const routing::GroupView &view, TimePoint now,
           std::vector<ReplacementOrder> &out);
  void beginFencing(const routing::GroupView &view, TimePoint now);
  void fence(const routing::GroupView &view, TimePoint now,
             std::vector<ReplacementOrder> &out);
  void promote(const routing::GroupView &view, TimePoint now,
               std::vector<ReplacementOrder> &out);
  void attach(const routing::GroupView &view, TimePoint now,
              std::vector<ReplacementOrder> &out) const;
  void rest(TimePoint until);
  bool isReachable(const routing::InstanceState &state, TimePoint now) const;
  bool isLeaving(const routing::GroupView &view, TimePoint now) const;
  /// The instances that may be promoted: those that stay, where they are a
  /// majority by themselves.
  std::set<InstanceId> candidates(const routing::GroupView &view) const;
  bool isStranded(const routing::GroupView &view, TimePoint now);
  std::optional<InstanceId> livePrimary(const routing::GroupView &view,
                                        TimePoint now) const;
  int reachable(const routing::GroupView &view, TimePoint now) const;

  DriverSettings Config;
  TermAllotment Terms;
  ReplacementStage Stage = ReplacementStage::Watching;
  Term Suspected;
  Term Next;
  InstanceId Chosen;
  std::set<VmId> Agreed;
  std::set<VmId> Disagreed;
  TimePoint StageSince;
  TimePoint AskedAt;
  TimePoint RestUntil;
  std::optional<TimePoint> StrandedSince;
};

} // namespace stepledge::failover

#endif // STEPLEDGE_FAILOVER_REPLACEMENTDRIVER_H
