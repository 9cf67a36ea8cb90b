// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What one VM knows of the instances of a service, and its choice of
/// the instance for a statement.

#ifndef STEPLEDGE_PROXY_INTERNAL_INSTANCETRACKER_H
#define STEPLEDGE_PROXY_INTERNAL_INSTANCETRACKER_H

#include "balancing/OutlierDetector.h"
#include "base/types/LogPosition.h"
#include "base/types/Time.h"
#include "membership/types/InstanceRecord.h"
#include "proxy/internal/SharedLimit.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace stepledge::proxy {

/// At \p SentAt or later, the primary's log ended at \p Position or after it;
/// so every commit acknowledged before SentAt is at Position or before it.
struct PositionProof {
  TimePoint SentAt;
  Mark Position;
};

/// A connection whose statement has no answer although one that was sent so
/// much later on another connection has is taken for silent: longer than
/// statements that run beside each other differ.
constexpr Duration OutOfOrderLimit = milliseconds(150);

/// The most statements that one VM has at an instance at once; less as its
/// answers slow down.
constexpr int MostRunning = 4;

struct TrackedInstance {
  membership::InstanceRecord Record;
  /// The newest log end it told, and when.
  std::optional<Mark> Position;
  TimePoint PositionAt{};
  /// Smoothed estimate of how far its log is behind the primary's.
  Duration Lag{};
  /// The least position that it refused a read for, until it tells a position
  /// at or after it.
  std::optional<Mark> RefusedPosition;
  /// It isn't asked for RefusedPosition or more before this time.
  TimePoint LagBackoffUntil{};
  /// How long it isn't asked after one more such refusal.
  Duration LagBackoff{};
  /// Clients' statements sent and not answered. What sets a connection up,
  /// opens or rolls back takes none of the instance's slots and doesn't count.
  int Statements = 0;
  SharedLimit Running{MostRunning};
  /// Smoothed time from sending to answer.
  Duration ServiceTime = milliseconds(10);
  /// Not chosen for reads before this time, after it failed to answer.
  TimePoint AvoidUntil{};
  /// Since when nothing came back although something was asked.
  std::optional<TimePoint> SilentSince;
  TimePoint LastAnswerAt{};
  /// The same on connections of this VM's own.
  TimePoint LastDirectAnswerAt{};
  /// When the newest of the statements that it has answered on own connections
  /// was sent.
  TimePoint NewestAnsweredSentAt{};
  /// It didn't answer on its direct connections, and has not done so since.
  bool IsDirectBad = false;
  TimePoint DirectProbedAt{};
  /// Nothing has come back on own connections since \p sentAt, and the path
  /// counts as lost: one opening that failed says nothing of the others.
  bool isSilentSince(TimePoint sentAt) const {
    return IsDirectBad && LastDirectAnswerAt <= sentAt;
  }
  /// It has answered statements sent well after \p sentAt: the connection that
  /// this one was sent on may be silent for good.
  bool hasAnsweredLater(TimePoint sentAt) const {
    return NewestAnsweredSentAt > sentAt + OutOfOrderLimit;
  }
  /// Since when it is known to leave.
  std::optional<TimePoint> LeavingSince;
  /// It said lately that it isn't the primary; asked again after this time.
  TimePoint DeniedLeadUntil{};
};

/// Control made this life of an instance the primary; the highest fence holds.
struct Promotion {
  InstanceId Instance;
  /// As in membership::InstanceRecord.
  std::uint64_t BornMs = 0;
  std::uint64_t Fence = 0;
};

/// What decides whether a read is one of the few that an instance that is held
/// back still gets.
struct ReadDraw {
  /// From 0 to 1, the same whenever the read is looked at again.
  double Chance = 0.0;
  /// How long it has waited for a connection.
  Duration Waited{};
};

class InstanceTracker {
public:
  explicit InstanceTracker(HallId ownHall) : OwnHall(std::move(ownHall)) {}

  /// True if the instance has started again since the last word of it: then
  /// nothing is kept of what was learned.
  bool update(TimePoint now, const membership::InstanceRecord &record);
  /// No new work goes to an instance that has been leaving for long.
  static bool mayStartAt(TimePoint now, const TrackedInstance &instance);
  void remove(const InstanceId &id);
  /// Control replaced the primary.
  void notePromotion(const Promotion &promotion);
  /// What was taken for silence of the instance was none.
  void forgetSilence(const InstanceId &id);

  TrackedInstance *find(const InstanceId &id);
  std::map<InstanceId, TrackedInstance> &all() { return Instances; }

  /// The instance to ask for writes and current reads, if one is known.
  std::optional<InstanceId> primary(TimePoint now) const;
  /// The one that should lead said lately that it doesn't, and no other has
  /// proved to.
  bool isLeadDenied(TimePoint now) const;
  /// The instances for a read that needs \p minimum, best first. One that is
  /// held back is left out where a sibling should have the position, unless
  /// \p draw gives it the read.
  std::vector<InstanceId> readCandidates(TimePoint now, const Mark &minimum,
                                         const std::set<InstanceId> &tried,
                                         const ReadDraw &draw = {}) const;
  /// How reads that siblings could run as well do at each instance.
  balancing::OutlierDetector &outliers() { return Outliers; }
  const balancing::OutlierDetector &outliers() const { return Outliers; }

  void notePosition(TimePoint now, const InstanceId &id, const Mark &position);
  /// \p id ran the start of a plain transaction, which only a primary does.
  void noteProof(TimePoint sentAt, const InstanceId &id, const Mark &position);
  /// The least position that covers all acknowledged before \p time.
  std::optional<Mark> coveringPosition(TimePoint time) const;
  std::optional<TimePoint> newestProofAt() const;
  void noteAnswer(TimePoint now, const InstanceId &id, Duration took);
  /// It answered that a statement failed or was refused, which says nothing of
  /// the time that work takes there.
  void noteRefusal(TimePoint now, const InstanceId &id);
  void noteSilence(TimePoint now, const InstanceId &id);
  void noteDeniedLead(TimePoint now, const InstanceId &id);
  /// \p id refused a read that needs \p minimum, which its log lacks.
  void noteBehind(TimePoint now, const InstanceId &id, const Mark &minimum);
  void forgetProofs() { Proofs.clear(); }

private:
  bool isPromoted(const membership::InstanceRecord &record) const {
    return Promoted.Instance == record.Id && Promoted.BornMs == record.BornMs;
  }
  /// An instance that has started again and lost its data doesn't lead by its
  /// own word while another one holds what was acknowledged.
  bool mayLead(const membership::InstanceRecord &record) const;
  Duration lagOf(TimePoint now, const Mark &position) const;
  bool isExpectedAt(TimePoint now, const TrackedInstance &instance,
                    const Mark &minimum) const;
  /// It refused as much lately and has told nothing newer since.
  static bool isKnownBehind(TimePoint now, const TrackedInstance &instance,
                            const Mark &minimum);
  double readCost(TimePoint now, const TrackedInstance &instance,
                  const Mark &minimum) const;
  /// The answer time to judge it by: one that is held back is tried as if it
  /// were as fast as the fastest, since else no read would find out.
  Duration presumedTime(const TrackedInstance &instance) const;
  /// Moves those that \p draw keeps the read from behind the others, or out.
  void passOver(TimePoint now, const Mark &minimum, const ReadDraw &draw,
                std::vector<InstanceId> &ids) const;

  HallId OwnHall;
  balancing::OutlierDetector Outliers;
  std::map<InstanceId, TrackedInstance> Instances;
  /// The last one that proved its lead, unless control named another since.
  std::optional<InstanceId> ProvenLead;
  Promotion Promoted;
  std::deque<PositionProof> Proofs;
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_INTERNAL_INSTANCETRACKER_H
