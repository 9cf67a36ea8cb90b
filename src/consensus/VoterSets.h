// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Majorities of the voters, also during a change of voters.
///
/// A change is a joint one, as in Raft: from the entry that has both sets until
/// the one that has only the new set, each decision needs a majority of either.
/// So no step of a change needs a member that the old set didn't need.

#ifndef STEPLEDGE_CONSENSUS_VOTERSETS_H
#define STEPLEDGE_CONSENSUS_VOTERSETS_H

#include "consensus/generated/Consensus.pb.h"
#include "consensus/types/GroupHealth.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace stepledge::consensus {

using VoterList = google::protobuf::RepeatedPtrField<wire::Member>;

/// True while a change of voters needs majorities of both sets.
inline bool isJoint(const wire::Membership &voters) {
  return voters.next_voters_size() > 0;
}

bool contains(const VoterList &voters, MemberNumber number);

/// All voters of both sets, each once.
std::vector<wire::Member> allVoters(const wire::Membership &voters);

inline std::size_t majorityOf(const VoterList &voters) {
  return static_cast<std::size_t>(voters.size()) / 2 + 1;
}

/// True if \p isCounted is true for a majority of each set.
template <typename Predicate>
bool hasMajority(const wire::Membership &voters, Predicate isCounted) {
  const auto isMajority = [&](const VoterList &list) {
    const auto count =
        std::count_if(list.begin(), list.end(),
                      [&](const auto &it) { return isCounted(it.number()); });
    return static_cast<std::size_t>(count) >= majorityOf(list);
  };
  return isMajority(voters.voters()) &&
         (!isJoint(voters) || isMajority(voters.next_voters()));
}

/// Returns the highest value that a majority of each set has reached; 0 if
/// there is no voter. \p valueOf gives the value of a member.
template <typename ValueOf>
std::uint64_t reachedByMajority(const wire::Membership &voters,
                                ValueOf valueOf) {
  const auto reached = [&](const VoterList &list) {
    std::vector<std::uint64_t> values;
    for (const auto &it : list)
      values.push_back(valueOf(it.number()));
    std::sort(values.begin(), values.end(), std::greater<>());
    return values.empty() ? 0 : values[majorityOf(list) - 1];
  };
  const std::uint64_t old = reached(voters.voters());
  return isJoint(voters) ? std::min(old, reached(voters.next_voters())) : old;
}

} // namespace stepledge::consensus

#endif // STEPLEDGE_CONSENSUS_VOTERSETS_H
