// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "quota/HallPresence.h"

namespace stepledge::quota {

void HallPresence::setEntries(const std::vector<membership::EntryVm> &entries) {
  for (auto &[ip, it] : Members)
    it.IsListed = false;
  for (const auto &it : entries)
    if (it.Hall == OwnHall && it.Ip != OwnIp)
      Members[it.Ip].IsListed = true;
}

void HallPresence::tick(TimePoint now) {
  for (auto &[ip, it] : Members) {
    if (it.IsListed)
      it.LeftAt.reset();
    else if (!it.LeftAt)
      it.LeftAt = now;
  }
  std::erase_if(Members, [&](const auto &it) {
    return !it.second.IsListed && hasEnded(now, it.second);
  });
}

void HallPresence::heard(TimePoint now, const std::string &ip, bool isLeaving) {
  const auto it = Members.find(ip);
  if (it == Members.end())
    return;
  it->second.HeardAt = now;
  it->second.IsLeaving = isLeaving;
}

bool HallPresence::isHeard(TimePoint now, const Member &member,
                           TimePoint since) {
  return member.HeardAt && *member.HeardAt >= since &&
         now - *member.HeardAt <= HeardLimit;
}

bool HallPresence::hasEnded(TimePoint now, const Member &member) {
  const bool isSilent = !isHeard(now, member, TimePoint{});
  return isSilent &&
         (member.IsLeaving ||
          (member.LeftAt && now - *member.LeftAt > DepartedLifetime));
}

double HallPresence::share(TimePoint now, TimePoint since) const {
  int all = 1;
  int heard = 1;
  for (const auto &[ip, it] : Members) {
    if (hasEnded(now, it))
      continue;
    ++all;
    heard += isHeard(now, it, since);
  }
  return static_cast<double>(heard) / all;
}

} // namespace stepledge::quota
