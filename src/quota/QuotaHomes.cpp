// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "quota/QuotaHomes.h"

#include "membership/Rendezvous.h"

#include <algorithm>

namespace stepledge::quota {

using membership::rendezvousWeight;

namespace {

void sortByWeight(std::vector<std::string> &ips, const std::string &name) {
  std::sort(ips.begin(), ips.end(), [&](const auto &a, const auto &b) {
    return rendezvousWeight(a, name) < rendezvousWeight(b, name);
  });
}

} // namespace

void QuotaHomes::setEntries(const std::vector<membership::EntryVm> &entries) {
  ByHall.clear();
  for (const auto &it : entries)
    ByHall[it.Hall].push_back(it.Ip);
  for (auto &[hall, ips] : ByHall) {
    sortByWeight(ips, hall.str());
    ips.resize(std::min(ips.size(), HomesPerHall));
  }
}

std::vector<std::string>
QuotaHomes::homesOf(const HallId &hall,
                    const OrganisationId &organisation) const {
  std::vector<std::string> homes = homesIn(hall);
  sortByWeight(homes, organisation.str());
  return homes;
}

const std::vector<std::string> &QuotaHomes::homesIn(const HallId &hall) const {
  static const std::vector<std::string> none;
  const auto it = ByHall.find(hall);
  return it == ByHall.end() ? none : it->second;
}

std::vector<HallId> QuotaHomes::halls() const {
  std::vector<HallId> halls;
  for (const auto &[hall, ips] : ByHall)
    halls.push_back(hall);
  return halls;
}

} // namespace stepledge::quota
