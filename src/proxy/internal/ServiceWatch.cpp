// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "proxy/internal/ServiceWatch.h"

#include "membership/Rendezvous.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace stepledge::proxy {

using membership::rendezvousWeight;

void ServiceWatch::setEntries(std::vector<membership::EntryVm> entries) {
  Entries = std::move(entries);
  IsObservedOld = true;
}

void ServiceWatch::addService(const std::string &service) {
  if (!Services.insert(service).second)
    return;
  IsObservedOld = true;
  ReviewAt = {};
}

void ServiceWatch::noteUse(TimePoint now, const std::string &service) {
  if (Services.size() <= Options.MostAlways)
    return;
  const double before = useOf(now, service);
  Uses[service] = {before + 1, now};
  // NOTE: the next read can be served by a replica once a position is known.
  Watched.insert(service);
}

double ServiceWatch::useOf(TimePoint now, const std::string &service) const {
  const auto it = Uses.find(service);
  if (it == Uses.end())
    return 0;
  const std::chrono::duration<double> passed = now - it->second.At;
  const std::chrono::duration<double> time = Options.UseTime;
  return it->second.Statements * std::exp(-passed / time);
}

bool ServiceWatch::isObserver(const std::string &service) const {
  std::set<std::pair<std::uint64_t, HallId>> halls;
  const membership::EntryVm *first = nullptr;
  for (const auto &it : Entries) {
    halls.emplace(rendezvousWeight(it.Hall.str(), service), it.Hall);
    const bool isEarlier = it.Hall == OwnHall &&
                           (!first || rendezvousWeight(it.Ip, service) <
                                          rendezvousWeight(first->Ip, service));
    if (isEarlier)
      first = &it;
  }
  if (!first || first->Ip != OwnIp)
    return false;
  const auto own =
      std::find_if(halls.begin(), halls.end(),
                   [&](const auto &it) { return it.second == OwnHall; });
  return std::distance(halls.begin(), own) <
         static_cast<std::ptrdiff_t>(Options.ObservingHalls);
}

void ServiceWatch::findObserved() {
  IsObservedOld = false;
  Observed.clear();
  for (const auto &it : Services)
    if (isObserver(it))
      Observed.insert(it);
}

void ServiceWatch::review(TimePoint now) {
  ReviewAt = now + Options.ReviewInterval;
  if (Services.size() <= Options.MostAlways) {
    Watched = Services;
    return;
  }
  if (IsObservedOld)
    findObserved();
  Watched = Observed;
  const std::chrono::duration<double> time = Options.UseTime;
  std::erase_if(Uses, [&](const auto &it) {
    const bool isUsed = useOf(now, it.first) / time.count() >= Options.LeastUse;
    if (isUsed)
      Watched.insert(it.first);
    return !isUsed;
  });
}

const std::set<std::string> &ServiceWatch::watched(TimePoint now) {
  if (now >= ReviewAt)
    review(now);
  return Watched;
}

} // namespace stepledge::proxy
