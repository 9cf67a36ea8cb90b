// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Decides which voters the group should have next.

#ifndef STEPLEDGE_CONSENSUS_INTERNAL_VOTERPLAN_H
#define STEPLEDGE_CONSENSUS_INTERNAL_VOTERPLAN_H

#include "consensus/VoterSets.h"

#include <optional>
#include <vector>

namespace stepledge::consensus {

/// Why a voter is to be replaced, the most urgent reason first.
enum class VoterLoss {
  /// Its disk is gone, so this number never votes again.
  Wiped,
  /// Its process has said that it ends.
  Leaving,
  /// It hasn't replied for long.
  Silent,
  /// It hasn't replied for a short time, so it is replaced only by a spare that
  /// leaves the voters in as many halls.
  Suspected,
  /// It isn't lost.
  None,
};

struct VoterCandidates {
  struct Voter {
    wire::Member Member;
    VoterLoss Loss = VoterLoss::None;
  };
  std::vector<Voter> Voters;
  /// Members that aren't voters, reply, and have all committed entries.
  std::vector<wire::Member> Spares;
};

/// Returns the next voters, or nothing if the present ones are to stay.
///
/// Lost voters are replaced by spares, and the group grows to \p target only
/// by odd sizes: one voter more than an odd number needs a larger majority and
/// bears no more losses. It never shrinks below \p target, since a committed
/// entry would then be on too few disks.
std::optional<VoterList> planVoters(const VoterCandidates &candidates,
                                    int target);

} // namespace stepledge::consensus

#endif // STEPLEDGE_CONSENSUS_INTERNAL_VOTERPLAN_H
