// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What this process knows of one database group. All times are of the
/// local monotonic clock; no other machine's clock is trusted.

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

/// The last that is known of one instance.
struct InstanceState {
  Observation Last;
  bool Seen = false;
  /// When the question was sent that Last answers.
  TimePoint AskedAt;
  /// When it last answered anything.
  TimePoint HeardAt;
  /// When it was last known to have promised Last.Promised and no more.
  TimePoint PromiseSeenAt;
  /// How far its reads are behind the primary, smoothed.
  Duration Lag{0};
  /// An operator or the platform wants it to get no new work.
  bool Leaving = false;
  /// Since when that, or its own word, has been known.
  std::optional<TimePoint> LeavingSince;
  /// From 1 (in order) down towards 0 (ejected) as it fails.
  double Health = 1.0;
};

class GroupView {
public:
  explicit GroupView(const std::vector<InstanceId> &instances);

  /// Takes in an answer to a question sent at \p askedAt.
  void observe(const InstanceId &instance, const Observation &observation,
               TimePoint askedAt, TimePoint now);
  /// Takes in that a request to it failed, or went well.
  void noteFailure(const InstanceId &instance);
  void noteSuccess(const InstanceId &instance);

  void setLeaving(const InstanceId &instance, bool leaving, TimePoint now);
  /// How long it has been known that the instance is to leave; none if it
  /// isn't.
  std::optional<Duration> leavingFor(const InstanceId &instance,
                                     TimePoint now) const;

  const InstanceState &of(const InstanceId &instance) const;
  const std::map<InstanceId, InstanceState> &all() const { return States; }
  const session::TermHistory &history() const { return History; }

  /// The instance last seen as primary of the highest term, unless a
  /// majority has promised a higher one.
  std::optional<InstanceId> primary() const;
  /// The highest term any instance was seen to write in or to promise as
  /// primary.
  Term term() const { return CurrentTerm; }

  /// When, at the latest, a majority was known to have promised \p term and
  /// no higher one. Until then no later term had acknowledged anything.
  std::optional<TimePoint> confirmedAt(Term term) const;

  /// An upper bound of the age of reads at \p applied; none where the
  /// primary was never seen that far back, or \p applied is on a lost branch.
  std::optional<Duration> ageOf(Mark applied, TimePoint now) const;

  /// When the primary was first seen to include \p mark.
  std::optional<TimePoint> reachedAt(Mark mark) const;

  /// Instances of the current term whose logs hold \p mark.
  int holders(Mark mark) const;
  int majority() const { return static_cast<int>(States.size()) / 2 + 1; }
  /// Whether no loss of a minority can undo \p mark.
  bool isHeldByMajority(Mark mark) const;
  /// Whether a replacement has undone \p mark for good. A new primary's word
  /// alone does not prove it: while only a minority holds the new term's
  /// beginning, its loss may bring the old log back.
  bool isDiscarded(Mark mark) const;

private:
  /// The primary was at Position from FirstSeen to LastSeen, both of them
  /// times at which a question was sent.
  struct Sample {
    Mark Position;
    TimePoint FirstSeen;
    TimePoint LastSeen;
  };

  /// The first position of the current term.
  std::optional<Mark> beginningOfTerm() const;
  static void noteLeaving(InstanceState &state, TimePoint now);
  void learnHistory(const Observation &observation);
  void addSample(Mark position, TimePoint askedAt);

  std::map<InstanceId, InstanceState> States;
  session::TermHistory History;
  std::deque<Sample> Samples;
  Term CurrentTerm;
};

} // namespace stepledge::routing

#endif // STEPLEDGE_ROUTING_GROUPVIEW_H
