// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The state of one database group as this process has observed it. All
/// times are of the local monotonic clock; no other machine's clock is used.

#ifndef STEPLEDGE_ROUTING_GROUPVIEW_H
#define STEPLEDGE_ROUTING_GROUPVIEW_H

#include "base/types/Ids.h"
#include "base/types/Time.h"
#include "routing/types/Observation.h"
#include "session/TermHistory.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace stepledge::routing {

/// The last observed state of one instance.
struct InstanceState {
  Observation Last;
  bool Seen = false;
  /// When the query was sent that Last answers.
  TimePoint QuerySentAt;
  /// When the instance last answered a query.
  TimePoint AnsweredAt;
  /// The send time of the last query that showed Last.Promised as the highest
  /// term that the instance has promised.
  TimePoint PromiseObservedAt;
  /// How far the applied data of the instance is behind the primary, smoothed.
  Duration Lag{0};
  /// Set by an operator or the platform: the instance is to get no new work; a
  /// primary still gets some for LeaveGrace.
  bool Leaving = false;
  /// Since when Leaving has been set here or reported by the instance.
  std::optional<TimePoint> LeavingSince;
  /// From 1 (healthy) down towards 0 (ejected); each failure lowers it.
  double Health = 1.0;
};

class GroupView {
public:
  explicit GroupView(const std::vector<InstanceId> &instances);

  /// Records the answer to a query that was sent at \p sentAt.
  void observe(const InstanceId &instance, const Observation &observation,
               TimePoint sentAt, TimePoint now);
  /// Record that a request to the instance failed or succeeded.
  void noteFailure(const InstanceId &instance);
  void noteSuccess(const InstanceId &instance);

  void setLeaving(const InstanceId &instance, bool leaving, TimePoint now);
  /// How long \p instance has been leaving; nullopt if it is not.
  std::optional<Duration> leavingFor(const InstanceId &instance,
                                     TimePoint now) const;

  const InstanceState &of(const InstanceId &instance) const;
  const std::map<InstanceId, InstanceState> &all() const { return States; }
  const session::TermHistory &history() const { return History; }

  /// The instance last observed as primary of the highest term, unless a
  /// majority has promised a higher one.
  std::optional<InstanceId> primary() const;
  /// The highest term of a last log entry that was observed so far.
  Term term() const { return CurrentTerm; }

  /// The latest time at which a majority was observed to have promised \p term
  /// and no higher one. Until then, no later term had acknowledged anything.
  std::optional<TimePoint> confirmedAt(Term term) const;

  /// An upper bound of the age of reads at \p applied; nullopt if the primary
  /// was not observed that far back, no majority confirms the current term, or
  /// \p applied is on a lost branch or its history is unproved.
  std::optional<Duration> ageOf(Mark applied, TimePoint now) const;

  /// When the primary was first observed to include \p mark.
  std::optional<TimePoint> reachedAt(Mark mark) const;

  /// The number of instances that promised the current term, whose log ends in
  /// it, and whose durable log includes \p mark.
  int holderCount(Mark mark) const;
  int majority() const { return static_cast<int>(States.size()) / 2 + 1; }
  /// Whether \p mark survives the loss of any minority.
  bool isHeldByMajority(Mark mark) const;
  /// Whether a replacement has permanently discarded \p mark. The new primary's
  /// report alone does not prove it: while only a minority has the start of the
  /// new term, its loss may bring the old log back.
  bool isDiscarded(Mark mark) const;

private:
  /// The primary was at Position from FirstSeen to LastSeen; both are times at
  /// which a query was sent.
  struct Sample {
    Mark Position;
    TimePoint FirstSeen;
    TimePoint LastSeen;
  };

  /// The first position of the current term.
  std::optional<Mark> firstMarkOfTerm() const;
  static void noteLeaving(InstanceState &state, TimePoint now);
  void updateHistory(const Observation &observation);
  void addSample(Mark position, TimePoint sentAt);

  std::map<InstanceId, InstanceState> States;
  session::TermHistory History;
  std::deque<Sample> Samples;
  Term CurrentTerm;
};

} // namespace stepledge::routing

#endif // STEPLEDGE_ROUTING_GROUPVIEW_H
