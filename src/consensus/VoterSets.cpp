// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "consensus/VoterSets.h"

namespace stepledge::consensus {

bool contains(const VoterList &voters, MemberNumber number) {
  return std::any_of(voters.begin(), voters.end(),
                     [&](const auto &it) { return it.number() == number; });
}

std::vector<wire::Member> allVoters(const wire::Membership &voters) {
  std::vector<wire::Member> all(voters.voters().begin(), voters.voters().end());
  for (const auto &it : voters.next_voters())
    if (!contains(voters.voters(), it.number()))
      all.push_back(it);
  return all;
}

} // namespace stepledge::consensus
