// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "entry/ControlAddresses.h"

#include <utility>

namespace stepledge::entry {

void ControlAddresses::setSeeds(Ips ips) {
  add(std::exchange(Seeds, std::move(ips)));
}

void ControlAddresses::setMembers(Ips ips) {
  if (ips == Members)
    return;
  add(std::exchange(Members, std::move(ips)));
}

void ControlAddresses::add(const Ips &ips) {
  for (const auto &ip : ips) {
    std::erase(Candidates, ip);
    Candidates.push_back(ip);
  }
  while (Candidates.size() > MaxCandidates)
    Candidates.pop_front();
}

ControlAddresses::Ips ControlAddresses::wanted(bool isControlLost,
                                               const Ips &connected) const {
  // NOTE: one that is connected stays so until it goes by itself: those that
  // were named may be the members of an older state.
  Ips ips = connected;
  ips.insert(Seeds.begin(), Seeds.end());
  ips.insert(Members.begin(), Members.end());
  if (isControlLost)
    ips.insert(Candidates.begin(), Candidates.end());
  return ips;
}

} // namespace stepledge::entry
