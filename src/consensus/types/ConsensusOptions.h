// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The timing and sizes of the control group's log.

#ifndef STEPLEDGE_CONSENSUS_TYPES_CONSENSUSOPTIONS_H
#define STEPLEDGE_CONSENSUS_TYPES_CONSENSUSOPTIONS_H

#include "base/types/Time.h"

#include <cstdint>

namespace stepledge::consensus {

struct ConsensusOptions {
  /// The leader's heartbeat; some ten round trips between halls.
  Duration HeartbeatInterval = milliseconds(100);
  /// The least silence after which a follower stands for election; a draw of
  /// up to as much again is added. Five heartbeats, so that one slow turn of
  /// a small processor doesn't depose a leader.
  Duration ElectionTimeout = milliseconds(500);
  /// After a start, until a leader is heard, a trial vote follows the last one
  /// after a pause between these two, where no connection that came up brought
  /// one before: far enough apart for two round trips and a turn of the timers.
  /// Longer pauses only delay a group of which one member hears nobody.
  Duration LeastFirstTrial = milliseconds(40);
  Duration MostFirstTrial = milliseconds(120);
  /// For so long after a connection to another voter came up, members that
  /// know of no leader stand for election in order: the newest log first, then
  /// the lowest number. Also for so long a member holds back for one that it
  /// has let go first; then that one has had its turn, and the others go in
  /// order without it. That is a trial, a vote and the first entry with two
  /// syncs each, some ten round trips within a region; the next trial after it
  /// still comes before callers give up.
  Duration OrderTime = milliseconds(60);
  /// After a start, until a leader is heard, the least time from the first
  /// election to the next trial; a draw of up to as much again is added. After
  /// that it is ElectionTimeout: votes that weren't counted by then wait for
  /// slow disks, and a next election would make them vain. A pause that
  /// only doubles is too short for them.
  Duration FirstElectionTimeout = milliseconds(60);
  /// A voter that is silent for longer may be replaced by a caught-up spare.
  Duration ReplaceAfter = milliseconds(3000);
  /// A member that answered within this time counts as alive.
  Duration AliveLimit = milliseconds(1000);
  /// A voter that hears no leader for so long asks to join as a spare does: it
  /// may have been replaced while it was out of reach. Longer than elections
  /// take. Without it such a voter never got an entry again.
  Duration RejoinAfter = milliseconds(2000);
  /// A spare that stopped asking is forgotten.
  Duration SpareLifetime = milliseconds(3000);
  /// How many voters the group should have: 2f + 1.
  int TargetVoters = 3;
  /// Entries kept behind a snapshot, so that a member that was away for a
  /// moment needs no whole state.
  std::uint64_t EntriesKept = 64;
  /// A snapshot is taken when this many entries or bytes have been applied.
  std::uint64_t SnapshotEntries = 128;
  std::uint64_t SnapshotBytes = 1 << 20;
  /// Bytes of entries in one message; larger ones go alone.
  std::uint64_t BatchBytes = 256 << 10;
  /// An unanswered batch or snapshot is sent again after this time, then after
  /// twice as long each time, up to the longest. A message is lost with its
  /// connection only, and then it is sent again at once; so a late answer means
  /// a slow link, on which a copy stands in front of all that follows.
  Duration ResendAfter = milliseconds(400);
  /// A member that was unreachable without losing its connection waits for its
  /// entries for as long: under ReplaceAfter, which would have it replaced.
  Duration LongestResend = milliseconds(1600);
  /// Each time is longer by what its bytes take at this rate: half of that of
  /// the narrowest links between VMs. Without it three entries of 205 KB each
  /// took 1,233 KB of such a link (250 KB/s), with it 619 KB.
  std::uint64_t LeastBytesPerSecond = 125'000;
};

} // namespace stepledge::consensus

#endif // STEPLEDGE_CONSENSUS_TYPES_CONSENSUSOPTIONS_H
