// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "proxy/internal/ServiceWatch.h"

#include "membership/Rendezvous.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace stepledge::proxy {

using membership::rendezvousWeight;

void ServiceWatch::setEntries(const std::vector<membership::EntryVm> &entries) {
  Halls.clear();
  Neighbours.clear();
  IsListed = false;
  for (const auto &it : entries) {
    Halls.insert(it.Hall);
    if (it.Ip == OwnIp)
      IsListed = true;
    else if (it.Hall == OwnHall)
      Neighbours.push_back(it.Ip);
  }
  IsObservedStale = true;
}

void ServiceWatch::addService(const std::string &service) {
  if (!Services.insert(service).second)
    return;
  IsObservedStale = true;
  ReviewAt = {};
}

void ServiceWatch::noteStatement(TimePoint now, const std::string &service) {
  if (Services.size() <= Options.MaxAlwaysWatched)
    return;
  const double before = recentStatements(now, service);
  Usages[service] = {before + 1, now};
  // NOTE: watched at once, since a replica can serve the next read as soon as a
  // position is known.
  Watched.insert(service);
}

double ServiceWatch::recentStatements(TimePoint now,
                                      const std::string &service) const {
  const auto it = Usages.find(service);
  if (it == Usages.end())
    return 0;
  const std::chrono::duration<double> passed = now - it->second.At;
  const std::chrono::duration<double> time = Options.RateTimeConstant;
  return it->second.Statements * std::exp(-passed / time);
}

bool ServiceWatch::isObserver(const std::string &service) const {
  const auto ownHall = rendezvousWeight(OwnHall.str(), service);
  const auto earlierHalls =
      std::count_if(Halls.begin(), Halls.end(), [&](const HallId &it) {
        return rendezvousWeight(it.str(), service) < ownHall;
      });
  if (static_cast<std::size_t>(earlierHalls) >= Options.ObservingHalls)
    return false;
  const auto own = rendezvousWeight(OwnIp, service);
  return IsListed && std::none_of(Neighbours.begin(), Neighbours.end(),
                                  [&](const std::string &it) {
                                    return rendezvousWeight(it, service) < own;
                                  });
}

void ServiceWatch::updateObserved(TimePoint now) {
  IsObservedStale = false;
  ObservedAt = now;
  Observed.clear();
  for (const auto &it : Services)
    if (isObserver(it))
      Observed.insert(it);
}

void ServiceWatch::review(TimePoint now) {
  ReviewAt = now + Options.ReviewInterval;
  if (Services.size() <= Options.MaxAlwaysWatched) {
    Watched = Services;
    return;
  }
  if (IsObservedStale && now - ObservedAt >= Options.ObserverInterval)
    updateObserved(now);
  Watched = Observed;
  const std::chrono::duration<double> time = Options.RateTimeConstant;
  std::erase_if(Usages, [&](const auto &it) {
    const bool isUsed = recentStatements(now, it.first) / time.count() >=
                        Options.MinStatementRate;
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
