// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Replaces the lost primary of one database group. Any VM may run the
/// replacement: a majority of the instances decides by the terms that they
/// promise. Its progress is read from the instances alone, so another VM can
/// continue if the VM that runs it fails.

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
  /// A primary that has not answered for this long is suspected.
  Duration Suspect = milliseconds(250);
  /// Added delay for each rank, so that usually one VM runs the replacement.
  Duration Stagger = milliseconds(60);
  int Rank = 0;
  /// Between queries to the other halls, which may detect the loss a little
  /// later.
  Duration AskInterval = milliseconds(25);
  /// VMs in other halls that must agree; 0 if there are none.
  int AgreementNeeded = 1;
  /// An attempt that makes no progress for this long is ended.
  Duration AttemptTimeout = milliseconds(1500);
  /// Minimum time from the end of this VM's own replacement until it begins the
  /// next one.
  Duration Rest = milliseconds(3000);
  /// An instance that promised a later term than the primary's, and so follows
  /// no primary, is brought back by a new term after this long.
  Duration StrandedTimeout = milliseconds(3000);
  /// A primary that has been leaving for this long is replaced.
  Duration Leave = milliseconds(1650);
  /// An instance that has not answered for this long counts as unreachable.
  Duration Silence = milliseconds(600);
};

class ReplacementDriver {
public:
  ReplacementDriver(DriverSettings settings, TermAllotment terms)
      : Config(settings), Terms(terms) {}

  /// The orders for now. They are repeated until the view shows them done.
  std::vector<ReplacementOrder> tick(const routing::GroupView &view,
                                     TimePoint now);

  /// Records whether a VM in another hall receives no answers from the primary
  /// of \p term; ignored unless the VMs are being asked about that term. One VM
  /// that disagrees blocks the replacement until they are asked again.
  void receivePeerReport(const VmId &peer, Term term, bool isSilent);

  /// Whether no primary has answered within the suspect time.
  bool isSilent(const routing::GroupView &view, TimePoint now) const;

  ReplacementStage stage() const { return Stage; }
  /// Whether the instances should be observed more often than usual.
  bool needsFrequentPolling() const {
    return Stage != ReplacementStage::Watching;
  }

private:
  void watch(const routing::GroupView &view, TimePoint now,
             std::vector<ReplacementOrder> &out);
  void askPeers(const routing::GroupView &view, TimePoint now,
                std::vector<ReplacementOrder> &out);
  void beginFencing(const routing::GroupView &view, TimePoint now);
  void fence(const routing::GroupView &view, TimePoint now,
             std::vector<ReplacementOrder> &out);
  void promote(const routing::GroupView &view, TimePoint now,
               std::vector<ReplacementOrder> &out);
  void orderFollowers(const routing::GroupView &view, TimePoint now,
                      std::vector<ReplacementOrder> &out) const;
  void endAttempt(TimePoint until);
  bool isReachable(const routing::InstanceState &state, TimePoint now) const;
  bool isPrimaryLeaving(const routing::GroupView &view, TimePoint now) const;
  /// The instances that may be promoted: those that are not leaving if they are
  /// a majority, else all.
  std::set<InstanceId> candidates(const routing::GroupView &view) const;
  bool hasStrandedInstance(const routing::GroupView &view, TimePoint now);
  std::optional<InstanceId> answeringPrimary(const routing::GroupView &view,
                                             TimePoint now) const;
  int reachableCount(const routing::GroupView &view, TimePoint now) const;

  DriverSettings Config;
  TermAllotment Terms;
  ReplacementStage Stage = ReplacementStage::Watching;
  Term SuspectedTerm;
  Term NextTerm;
  InstanceId ChosenInstance;
  std::set<VmId> AgreeingPeers;
  std::set<VmId> DisagreeingPeers;
  TimePoint StageSince;
  TimePoint AskedAt;
  TimePoint PausedUntil;
  std::optional<TimePoint> StrandedSince;
};

} // namespace stepledge::failover

#endif // STEPLEDGE_FAILOVER_REPLACEMENTDRIVER_H
