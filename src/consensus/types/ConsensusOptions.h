// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Timing and size limits of the control group's replicated log.

#ifndef STEPLEDGE_CONSENSUS_TYPES_CONSENSUSOPTIONS_H
#define STEPLEDGE_CONSENSUS_TYPES_CONSENSUSOPTIONS_H

#include "base/types/Time.h"

#include <cstdint>

namespace stepledge::consensus {

struct ConsensusOptions {
  /// Interval of the leader's heartbeats; some ten round trips between halls.
  Duration HeartbeatInterval = milliseconds(100);
  /// Minimum time without a message of the leader after which a follower starts
  /// a pre-vote; a random time of up to as much again is added. Five
  /// heartbeats, so that one slow event loop turn on a small processor doesn't
  /// depose a leader.
  Duration ElectionTimeout = milliseconds(500);
  /// Range of the pause between pre-votes after a start, until the first
  /// message of a leader arrives; a new connection to a voter starts one
  /// earlier. Long enough for two round trips and a timer tick. Longer pauses
  /// would only delay groups in which one member receives no messages.
  Duration MinStartupPreVotePause = milliseconds(40);
  Duration MaxStartupPreVotePause = milliseconds(120);
  /// For this time after a connection to another voter opens, members that have
  /// received no message of a leader since their start become candidates in
  /// order: the newest log first, then the lowest number. A member that
  /// deferred to an earlier one waits for the same time; after it the earlier
  /// one has had its turn, and the others continue in order without it. The
  /// time covers a pre-vote, a vote and the first entry with two syncs each,
  /// some ten round trips within a region; the next pre-vote after it still
  /// comes before callers give up.
  Duration OrderedCandidacyTime = milliseconds(60);
  /// After a start, until the first message of a leader arrives: the minimum
  /// time from the first election to the next pre-vote; a random time of up to
  /// as much again is added. After that election it is ElectionTimeout: votes
  /// that were not counted by then wait for slow disks, and another election
  /// would void them. A pause that only doubles is too short for them.
  Duration FirstElectionTimeout = milliseconds(60);
  /// A voter that has not replied for longer may be replaced by a caught-up
  /// spare.
  Duration ReplaceAfter = milliseconds(3000);
  /// Sooner, if the spare leaves the voters in as many halls: another disk may
  /// be lost any time. As long as a leader counts a voter as alive.
  Duration SuspectAfter = milliseconds(1000);
  /// A member that replied within this time counts as alive.
  Duration AliveLimit = milliseconds(1000);
  /// A voter that has no leader for this time asks to join as a spare does: it
  /// may have been replaced while it was unreachable, and would never receive
  /// an entry again. Longer than elections take.
  Duration RejoinAfter = milliseconds(2000);
  /// A spare without a join request for this time is removed.
  Duration SpareLifetime = milliseconds(3000);
  /// How long a member's request to be replaced counts; it repeats the request
  /// as long as it runs.
  Duration LeaveLifetime = milliseconds(1000);
  /// Number of voters the group keeps: 2f + 1.
  int TargetVoters = 3;
  /// Added to SnapshotEntries to tell when a snapshot is due. A snapshot keeps
  /// no entries: a member that lacks some of them receives the full state.
  std::uint64_t EntriesKept = 64;
  /// A snapshot is due when more than SnapshotEntries + EntriesKept entries, or
  /// more than SnapshotBytes, were added since the last one.
  std::uint64_t SnapshotEntries = 128;
  std::uint64_t SnapshotBytes = 1 << 20;
  /// Maximum bytes of entries in one message; a larger entry is sent alone.
  std::uint64_t BatchBytes = 256 << 10;
  /// An unanswered batch or snapshot is sent again after this time, then after
  /// twice as long each time, up to MaxResendInterval. A message is lost only
  /// with its connection, and then it is sent again at once; a late reply
  /// therefore means a slow link, on which a copy delays everything behind it.
  Duration FirstResendInterval = milliseconds(400);
  /// Maximum time that a member which was unreachable without losing its
  /// connection waits for its entries. Below ReplaceAfter, which would have it
  /// replaced.
  Duration MaxResendInterval = milliseconds(1600);
  /// Each resend time is extended by the time that its bytes take at this rate:
  /// half the rate of the narrowest links between VMs. Without it, three
  /// entries of 205 KB each took 1,233 KB of such a link (250 KB/s) instead of
  /// 619 KB.
  std::uint64_t MinBytesPerSecond = 125'000;
};

} // namespace stepledge::consensus

#endif // STEPLEDGE_CONSENSUS_TYPES_CONSENSUSOPTIONS_H
