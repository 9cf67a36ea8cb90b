// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What a member knows of its group's ability to commit.

#ifndef STEPLEDGE_CONSENSUS_TYPES_GROUPHEALTH_H
#define STEPLEDGE_CONSENSUS_TYPES_GROUPHEALTH_H

#include "base/types/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace stepledge::consensus {

using MemberNumber = std::uint64_t;

/// A voter that doesn't answer the leader, or without a leader isn't heard.
struct SilentVoter {
  MemberNumber Number = 0;
  std::string Ip;
  /// Since its last answer or message, or since this member's start.
  Duration SilentFor{};
  /// The last entry that it is known to have; 0 unless this member leads.
  std::uint64_t Match = 0;
};

struct GroupHealth {
  bool Leads = false;
  std::uint64_t Term = 0;
  std::uint64_t Commit = 0;
  std::uint64_t LastIndex = 0;
  std::size_t Voters = 0;
  /// Since the last message of a leader; zero on a leader.
  Duration WithoutLeader{};
  /// Empty on a follower: other followers have nothing to tell it.
  std::vector<SilentVoter> SilentVoters;
};

} // namespace stepledge::consensus

#endif // STEPLEDGE_CONSENSUS_TYPES_GROUPHEALTH_H
