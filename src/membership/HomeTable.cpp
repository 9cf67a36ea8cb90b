// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "membership/HomeTable.h"

#include "membership/Rendezvous.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace stepledge::membership {

namespace {

/// \p ips by the preference of \p organisation for \p instance.
std::vector<std::string> ordered(std::vector<std::string> ips,
                                 const InstanceId &instance,
                                 const OrganisationId &organisation) {
  const std::string pair = instance.str() + '/' + organisation.str();
  std::sort(ips.begin(), ips.end(), [&](const auto &a, const auto &b) {
    return rendezvousWeight(a, pair) < rendezvousWeight(b, pair);
  });
  return ips;
}

} // namespace

void HomeTable::setEntries(std::vector<EntryVm> entries) {
  std::sort(entries.begin(), entries.end());
  if (entries == Entries)
    return;
  Entries = std::move(entries);
  Rankings.clear();
  RemainderRanks.clear();
}

bool HomeTable::isSharingNeeded(int usable) const {
  // NOTE: with fewer than 1.5 connections per VM, a transaction that holds one
  // leaves none for the other statements of its VM.
  return 2 * usable < 3 * static_cast<int>(Entries.size());
}

HomeShare HomeTable::share(int usable) const {
  HomeShare share;
  share.Homes =
      std::clamp(usable / Options.MinConnections, 1, Options.MaxHomes);
  share.Connections =
      std::max(1, (usable - usable / Options.NonHomeDivisor) / share.Homes);
  share.NonHomes = std::max(0, usable - share.Homes * share.Connections);
  return share;
}

int HomeTable::evenShare(const InstanceId &instance, const HallId &hall,
                         int connections) {
  const int vms = std::max(1, static_cast<int>(Entries.size()));
  const int extra = remainderRankOf(instance, hall) < connections % vms ? 1 : 0;
  return std::max(1, connections / vms + extra);
}

int HomeTable::remainderRankOf(const InstanceId &instance, const HallId &hall) {
  const auto [known, isNew] = RemainderRanks.try_emplace(instance, 0);
  if (!isNew)
    return known->second;
  const auto rankOf = [&](const EntryVm &it) {
    return std::tuple(it.Hall != hall, rendezvousWeight(instance.str(), it.Ip),
                      it.Ip);
  };
  const auto own =
      std::find_if(Entries.begin(), Entries.end(),
                   [&](const EntryVm &it) { return it.Ip == OwnIp; });
  if (own == Entries.end())
    return known->second;
  const auto before =
      std::count_if(Entries.begin(), Entries.end(), [&](const EntryVm &it) {
        return rankOf(it) < rankOf(*own);
      });
  known->second = static_cast<int>(before);
  return known->second;
}

bool HomeTable::isHome(const InstanceId &instance, const HallId &hall,
                       const HomeShare &share) {
  return ranking(instance, hall, share).IsHome;
}

const std::vector<std::string> &HomeTable::lenders(const InstanceId &instance,
                                                   const HallId &hall,
                                                   const HomeShare &share) {
  return ranking(instance, hall, share).Lenders;
}

std::vector<std::string>
HomeTable::homesOf(const InstanceId &instance, const HallId &hall,
                   const HomeShare &share, const OrganisationId &organisation) {
  return ordered(ranking(instance, hall, share).Homes, instance, organisation);
}

std::vector<std::string>
HomeTable::nonHomesOf(const InstanceId &instance, const HallId &hall,
                      const HomeShare &share,
                      const OrganisationId &organisation) {
  return ordered(ranking(instance, hall, share).NonHomes, instance,
                 organisation);
}

const HomeTable::Ranking &HomeTable::ranking(const InstanceId &instance,
                                             const HallId &hall,
                                             const HomeShare &share) {
  const auto found = Rankings.find(instance);
  if (found != Rankings.end() && found->second.Share == share)
    return found->second;
  // VMs in the instance's hall come first: they lose the instance only together
  // with their hall, and the traffic between halls is the same as without
  // homes.
  std::vector<std::tuple<bool, std::uint64_t, std::string>> ranked;
  ranked.reserve(Entries.size());
  for (const auto &it : Entries)
    ranked.emplace_back(it.Hall != hall,
                        rendezvousWeight(instance.str(), it.Ip), it.Ip);
  std::sort(ranked.begin(), ranked.end());
  const auto count =
      std::min(ranked.size(), static_cast<std::size_t>(share.Homes));
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
  // Non-homes are picked from other halls first: a VM that can't reach the
  // instance's hall directly may reach it through a third hall.
  std::sort(end, ranked.end(), [](const auto &a, const auto &b) {
    return std::tuple(!std::get<bool>(a), std::get<std::uint64_t>(a)) <
           std::tuple(!std::get<bool>(b), std::get<std::uint64_t>(b));
  });
  const auto nonHomes =
      std::min(ranked.size() - count, static_cast<std::size_t>(share.NonHomes));
  ranked.erase(end + static_cast<std::ptrdiff_t>(nonHomes), ranked.end());
  // Each VM has its own order of the homes, so that borrowing is spread over
  // them.
  std::sort(ranked.begin(), end, [&](const auto &a, const auto &b) {
    return rendezvousWeight(std::get<std::string>(a), OwnIp) <
           rendezvousWeight(std::get<std::string>(b), OwnIp);
  });
  Ranking ranking;
  ranking.Share = share;
  for (auto it = ranked.begin(); it != ranked.end(); ++it) {
    const auto &ip = std::get<std::string>(*it);
    (it < end ? ranking.Homes : ranking.NonHomes).push_back(ip);
    if (ip != OwnIp)
      ranking.Lenders.push_back(ip);
    else
      ranking.IsHome = it < end;
  }
  return Rankings.insert_or_assign(instance, std::move(ranking)).first->second;
}

} // namespace stepledge::membership
