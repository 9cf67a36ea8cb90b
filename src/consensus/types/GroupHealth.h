// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What a member knows of its group's ability to commit.

#ifndef STEPLEDGE_CONSENSUS_TYPES_GROUPHEALTH_H
#define STEPLEDGE_CONSENSUS_TYPES_GROUPHEALTH_H

#include "base/types/Time.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace stepledge::consensus {

using MemberNumber = std::uint64_t;

/// A voter that doesn't answer the leader, or without a leader isn't heard.
struct VoterHealth {
  MemberNumber Number = 0;
  std::string Ip;
  /// Whether it is in the set of voters, and in the one that replaces it.
  bool IsOld = false;
  bool IsNext = false;
  /// It doesn't answer. Never set on a follower, to which the other followers
  /// have nothing to tell.
  bool IsSilent = false;
  /// Since its last answer or message, or since this member's start.
  Duration SilentFor{};
  /// The last entry that it is known to have; 0 unless this member leads.
  std::uint64_t Match = 0;
  /// Its disk is gone: another member has since asked to join from its address,
  /// so this number never votes again.
  bool IsWiped = false;
};

/// A member that follows and is no voter, as the leader knows it.
struct SpareHealth {
  MemberNumber Number = 0;
  std::string Ip;
  /// Since its last answer, or since it was noted.
  Duration SilentFor{};
  /// The last entry that it is known to have.
  std::uint64_t Match = 0;
};

struct GroupHealth {
  bool Leads = false;
  std::uint64_t Term = 0;
  std::uint64_t Commit = 0;
  std::uint64_t LastIndex = 0;
  std::vector<VoterHealth> Voters;
  /// Empty unless this member leads.
  std::vector<SpareHealth> Spares;
  /// False if too many voters are wiped: the group never commits again.
  bool HasMajority = true;
  /// Since the last message of a leader; zero on a leader.
  Duration WithoutLeader{};

  std::size_t silentCount() const {
    return count([](const auto &it) { return it.IsSilent; });
  }
  std::size_t wipedCount() const {
    return count([](const auto &it) { return it.IsWiped; });
  }

private:
  template <typename Predicate> std::size_t count(Predicate predicate) const {
    return static_cast<std::size_t>(
        std::count_if(Voters.begin(), Voters.end(), predicate));
  }
};

} // namespace stepledge::consensus

#endif // STEPLEDGE_CONSENSUS_TYPES_GROUPHEALTH_H
