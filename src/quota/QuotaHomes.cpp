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
  Listed.clear();
  for (const auto &it : entries)
    Listed.emplace(it.Ip, it.Hall);
  for (const auto &[hall, ips] : ByHall)
    for (const auto &ip : ips)
      if (Connected.contains(ip))
        Departed.emplace(ip, hall);
  std::erase_if(Departed,
                [&](const auto &it) { return Listed.contains(it.first); });
  choose();
}

void QuotaHomes::choose() {
  ByHall.clear();
  Ordered.clear();
  for (const auto *vms : {&Listed, &Departed})
    for (const auto &[ip, hall] : *vms)
      ByHall[hall].push_back(ip);
  for (auto &[hall, ips] : ByHall) {
    sortByWeight(ips, hall.str());
    ips.resize(std::min(ips.size(), HomesPerHall));
  }
}

void QuotaHomes::disconnected(const std::string &ip) {
  Connected.erase(ip);
  unavailable(ip);
}

void QuotaHomes::unavailable(const std::string &ip) {
  if (Departed.erase(ip) > 0)
    choose();
}

std::optional<HallId> QuotaHomes::hallOf(const std::string &ip) const {
  for (const auto *vms : {&Listed, &Departed})
    if (const auto it = vms->find(ip); it != vms->end())
      return it->second;
  return std::nullopt;
}

const std::vector<std::string> &
QuotaHomes::homesOf(const HallId &hall,
                    const OrganisationId &organisation) const {
  const auto [it, isNew] = Ordered.try_emplace({hall, organisation});
  if (isNew) {
    it->second = homesIn(hall);
    sortByWeight(it->second, organisation.str());
  }
  return it->second;
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
