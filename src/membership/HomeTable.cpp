// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "membership/HomeTable.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace stepledge::membership {

namespace {

std::uint64_t weightOf(const std::string &first, const std::string &second) {
  return XXH64(first.data(), first.size(),
               XXH64(second.data(), second.size(), 0));
}

} // namespace

void HomeTable::setEntries(std::vector<EntryVm> entries) {
  std::sort(entries.begin(), entries.end());
  if (entries == Entries)
    return;
  Entries = std::move(entries);
  Rankings.clear();
}

bool HomeTable::isNeeded(int usable) const {
  // NOTE: below one and a half connections a VM, a transaction that holds one
  // leaves the other statements of its VM without.
  return 2 * usable < 3 * static_cast<int>(Entries.size());
}

HomeShare HomeTable::share(int usable) const {
  HomeShare share;
  share.Homes =
      std::clamp(usable / Options.FewestConnections, 1, Options.MostHomes);
  const int shared = usable - usable / Options.SpareShare;
  share.Connections = std::max(1, shared / share.Homes);
  return share;
}

bool HomeTable::isHome(const InstanceId &instance, const HallId &hall,
                       int homes) {
  return ranking(instance, hall, homes).IsHome;
}

const std::vector<std::string> &
HomeTable::lenders(const InstanceId &instance, const HallId &hall, int homes) {
  return ranking(instance, hall, homes).Lenders;
}

const HomeTable::Ranking &HomeTable::ranking(const InstanceId &instance,
                                             const HallId &hall, int homes) {
  const auto found = Rankings.find(instance);
  if (found != Rankings.end())
    return found->second;
  // VMs in the instance's hall come first: they lose it only with their hall,
  // and the bytes between halls are the same as without them.
  std::vector<std::tuple<bool, std::uint64_t, std::string>> ranked;
  ranked.reserve(Entries.size());
  for (const auto &it : Entries)
    ranked.emplace_back(it.Hall != hall, weightOf(instance.str(), it.Ip),
                        it.Ip);
  std::sort(ranked.begin(), ranked.end());
  const auto count = std::min(ranked.size(), static_cast<std::size_t>(homes));
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
  // Each VM has its own first choice, so that the homes share the work.
  std::sort(ranked.begin(), end, [&](const auto &a, const auto &b) {
    return weightOf(std::get<std::string>(a), OwnIp) <
           weightOf(std::get<std::string>(b), OwnIp);
  });
  Ranking ranking;
  for (auto it = ranked.begin(); it != ranked.end(); ++it) {
    const auto &ip = std::get<std::string>(*it);
    if (ip != OwnIp)
      ranking.Lenders.push_back(ip);
    else
      ranking.IsHome = it < end;
  }
  return Rankings.emplace(instance, std::move(ranking)).first->second;
}

} // namespace stepledge::membership
