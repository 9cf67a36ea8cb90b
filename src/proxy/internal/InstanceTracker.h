// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The state of a service's instances as one VM observes it, and the
/// choice of the instance for a statement.

#ifndef STEPLEDGE_PROXY_INTERNAL_INSTANCETRACKER_H
#define STEPLEDGE_PROXY_INTERNAL_INSTANCETRACKER_H

#include "balancing/OutlierDetector.h"
#include "base/types/LogPosition.h"
#include "base/types/Time.h"
#include "membership/types/InstanceRecord.h"
#include "proxy/internal/InstanceConcurrencyLimit.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace stepledge::proxy {

/// At \p SentAt or later, the primary reported \p Position as the end of its
/// log, which ended there or beyond. So every commit acknowledged before SentAt
/// is at or before Position.
struct PositionProof {
  TimePoint SentAt;
  Mark Position;
};

/// A connection counts as silent if its statement has no answer although one
/// sent this much later on another connection has: longer than the run times of
/// concurrent statements differ.
constexpr Duration OutOfOrderLimit = milliseconds(150);

/// The most statements that one VM runs at an instance at once; the limit falls
/// as the instance's answers slow down.
constexpr int MaxRunningStatements = 4;

struct TrackedInstance {
  membership::InstanceRecord Record;
  /// The newest log end that the instance reported, and when.
  std::optional<Mark> Position;
  TimePoint PositionAt{};
  /// Smoothed estimate of how far its log is behind the primary's.
  Duration Lag{};
  /// The least position for which it refused a read, until it reports a
  /// position at or after it.
  std::optional<Mark> RefusedPosition;
  /// Reads that need RefusedPosition or more aren't sent to it before this
  /// time.
  TimePoint LagBackoffUntil{};
  /// Backoff after the last such refusal; doubles with each further one.
  Duration LagBackoff{};
  /// Clients' statements sent and not answered. Commands that set up a
  /// connection, begin or roll back take none of the instance's slots and don't
  /// count.
  int Statements = 0;
  InstanceConcurrencyLimit Running{MaxRunningStatements};
  /// Smoothed time from sending to answer.
  Duration ServiceTime = milliseconds(10);
  /// Not chosen for reads before this time, after it failed to answer.
  TimePoint AvoidUntil{};
  /// Since when it has answered nothing although commands are outstanding.
  std::optional<TimePoint> SilentSince;
  TimePoint LastAnswerAt{};
  /// The same for answers on this VM's own connections.
  TimePoint LastDirectAnswerAt{};
  /// Latest send time of the statements that it has answered on own
  /// connections.
  TimePoint NewestAnsweredSentAt{};
  /// It failed to answer on direct connections, and hasn't answered on one
  /// since.
  bool IsDirectPathLost = false;
  TimePoint DirectProbedAt{};
  /// Nothing was received on own connections since \p sentAt, and the direct
  /// path counts as lost. A single failed opening doesn't show that the other
  /// connections are silent.
  bool isSilentSince(TimePoint sentAt) const {
    return IsDirectPathLost && LastDirectAnswerAt <= sentAt;
  }
  /// It has answered statements sent well after \p sentAt: the connection on
  /// which a command was sent at that time may be permanently silent.
  bool hasAnsweredLater(TimePoint sentAt) const {
    return NewestAnsweredSentAt > sentAt + OutOfOrderLimit;
  }
  /// Since when it is known to be leaving.
  std::optional<TimePoint> LeavingSince;
  /// It recently reported that it isn't the primary; asked again after this
  /// time.
  TimePoint NotPrimaryUntil{};
  /// Another instance has answered at its address, and it has not since.
  bool IsDisplaced = false;
};

/// Control made this incarnation of an instance the primary; of several
/// promotions the one with the highest fence is valid.
struct Promotion {
  InstanceId Instance;
  /// As in membership::InstanceRecord.
  std::uint64_t StartTimeMs = 0;
  std::uint64_t Fence = 0;
};

/// Decides whether a read belongs to the reduced share that an outlier gets.
struct ReadDraw {
  /// Random number from 0 to 1, the same each time the read is considered.
  double Chance = 0.0;
  /// How long the read has waited for a connection.
  Duration Waited{};
};

class InstanceTracker {
public:
  explicit InstanceTracker(HallId ownHall) : OwnHall(std::move(ownHall)) {}

  /// Returns true if the instance has restarted since the last record: then the
  /// state of its earlier incarnation is dropped.
  bool update(TimePoint now, const membership::InstanceRecord &record);
  /// Whether new work may be sent to \p instance: not after it has been leaving
  /// for long.
  static bool acceptsNewWork(TimePoint now, const TrackedInstance &instance);
  void remove(const InstanceId &id);
  /// Control replaced the primary; ignored if a promotion with the same or a
  /// higher fence is known.
  void notePromotion(const Promotion &promotion);
  /// Clears the silence recorded for an instance that wasn't silent: it is no
  /// longer avoided, and its direct path counts as usable again.
  void clearSilence(const InstanceId &id);

  TrackedInstance *find(const InstanceId &id);
  std::map<InstanceId, TrackedInstance> &all() { return Instances; }

  /// The instance to ask for writes and current reads, if one is known.
  std::optional<InstanceId> primary(TimePoint now) const;
  /// No instance has proved to be the primary, and at least one recently
  /// reported that it isn't.
  bool isPrimaryDenied(TimePoint now) const;
  /// For how long instances have been known, but no primary; none if a primary
  /// is known, or no instance.
  std::optional<Duration> unledFor(TimePoint now);
  /// Whether a search for the primary is due, and it counts as made.
  bool takeSearch(TimePoint now, Duration interval);
  /// Whether \p id is another instance than the primary, and said to lead by
  /// its own report or by control: where the primary is silent, it may have
  /// taken over.
  bool mayHaveTakenOver(TimePoint now, const InstanceId &id) const;
  /// The instances for a read that needs \p minimum, best first. Where a
  /// sibling should have the position, an outlier to which \p draw doesn't
  /// assign the read is left out, or comes last if the read has waited long.
  std::vector<InstanceId> readCandidates(TimePoint now, const Mark &minimum,
                                         const std::set<InstanceId> &tried,
                                         const ReadDraw &draw = {}) const;
  /// Tracks how well each instance answers reads that its siblings could run.
  balancing::OutlierDetector &outliers() { return Outliers; }
  const balancing::OutlierDetector &outliers() const { return Outliers; }

  void notePosition(TimePoint now, const InstanceId &id, const Mark &position);
  /// Records that \p id began a read-write transaction, which only a primary
  /// does; ignored if canBePrimary() is false.
  void noteProof(TimePoint sentAt, const InstanceId &id, const Mark &position);
  /// The least position that covers all commits acknowledged before \p time.
  std::optional<Mark> coveringPosition(TimePoint time) const;
  std::optional<TimePoint> newestProofAt() const;
  void noteAnswer(TimePoint now, const InstanceId &id, Duration took);
  /// The instance answered with a failure or refusal: it is no longer avoided,
  /// and its service time gets no sample.
  void noteRefusal(TimePoint now, const InstanceId &id);
  void noteSilence(TimePoint now, const InstanceId &id);
  void noteNotPrimary(TimePoint now, const InstanceId &id);
  /// Another instance answers at the address of \p id, which counts as the
  /// primary only as long as no other one is said to lead.
  void noteDisplaced(const InstanceId &id);
  /// The instance has answered at its address.
  void noteReached(const InstanceId &id);
  /// Records that \p id refused a read that needs \p minimum, which its log
  /// hasn't reached.
  void noteLagging(TimePoint now, const InstanceId &id, const Mark &minimum);
  void clearProofs() { Proofs.clear(); }

private:
  bool isPromoted(const membership::InstanceRecord &record) const {
    return Promoted.Instance == record.Id &&
           Promoted.StartTimeMs == record.StartTimeMs;
  }
  /// Whether the instance may count as the primary by what it answered last.
  static bool isUsable(TimePoint now, const TrackedInstance &instance) {
    return instance.NotPrimaryUntil <= now && !instance.IsDisplaced;
  }
  /// The instance is said to lead, by its own report or by control.
  bool isSaidToLead(const TrackedInstance &instance) const;
  /// Of the instances that are said to lead and that \p isAllowed accepts, the
  /// one that control promoted, else the one with the longest log.
  template <typename Predicate>
  const TrackedInstance *saidToLead(Predicate isAllowed) const;
  /// An instance that lost its data in a restart isn't accepted as the primary
  /// by its own report while another one has the acknowledged commits.
  bool canBePrimary(const membership::InstanceRecord &record) const;
  Duration lagOf(TimePoint now, const Mark &position) const;
  bool isExpectedAt(TimePoint now, const TrackedInstance &instance,
                    const Mark &minimum) const;
  /// It recently refused such a position and has reported none since that
  /// covers it.
  static bool isKnownLagging(TimePoint now, const TrackedInstance &instance,
                             const Mark &minimum);
  double readCost(TimePoint now, const TrackedInstance &instance,
                  const Mark &minimum) const;
  /// The service time to rank it by. An outlier is ranked as if it were as fast
  /// as the fastest, since otherwise no read would detect its recovery.
  Duration assumedServiceTime(const TrackedInstance &instance) const;
  /// Moves the outliers to which \p draw doesn't assign the read behind the
  /// others, or removes them.
  void demoteOutliers(TimePoint now, const Mark &minimum, const ReadDraw &draw,
                      std::vector<InstanceId> &ids) const;

  HallId OwnHall;
  balancing::OutlierDetector Outliers;
  std::map<InstanceId, TrackedInstance> Instances;
  /// The last instance that proved to be the primary, unless control has named
  /// another since.
  std::optional<InstanceId> ProvenPrimary;
  Promotion Promoted;
  std::optional<TimePoint> UnledSince;
  TimePoint SearchedAt{};
  std::deque<PositionProof> Proofs;
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_INTERNAL_INSTANCETRACKER_H
