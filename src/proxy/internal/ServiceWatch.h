// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Selects the services whose primaries this VM probes for their
/// positions and reports on: all where they are few, else those that its
/// clients use and those that it observes for all VMs.

#ifndef STEPLEDGE_PROXY_INTERNAL_SERVICEWATCH_H
#define STEPLEDGE_PROXY_INTERNAL_SERVICEWATCH_H

#include "base/types/Time.h"
#include "membership/types/EntryVm.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace stepledge::proxy {

struct WatchOptions {
  /// Up to this many services are all watched, with some 50 probes a second.
  /// Probing each of some hundreds of services used 225 KB/s of a VM among 100,
  /// the whole bandwidth of its link; with this limit it is 25 KB/s.
  std::size_t MaxAlwaysWatched = 24;
  /// A service counts as used while it gets this many statements a second: then
  /// a probe that is answered in time serves about one of them.
  double MinStatementRate = 0.3;
  /// Time constant of the decaying count of statements.
  Duration RateTimeConstant = milliseconds(2000);
  /// How many halls have an observer of a service: after the loss of one hall,
  /// the observers in two others can still agree that a primary is lost.
  std::size_t ObservingHalls = 3;
  /// How often the set of watched services is recomputed.
  Duration ReviewInterval = milliseconds(250);
  /// How often the set of observed services is recomputed while the list of VMs
  /// changes: with 1,300 services and 300 VMs that takes some milliseconds.
  Duration ObserverInterval = milliseconds(1000);
};

class ServiceWatch {
public:
  ServiceWatch(std::string ownIp, HallId ownHall, WatchOptions options = {})
      : OwnIp(std::move(ownIp)), OwnHall(std::move(ownHall)), Options(options) {
  }

  void setEntries(const std::vector<membership::EntryVm> &entries);
  void addService(const std::string &service);
  /// Records that a client's statement needs \p service.
  void noteStatement(TimePoint now, const std::string &service);
  const std::set<std::string> &watched(TimePoint now);

private:
  struct Usage {
    double Statements = 0;
    TimePoint At{};
  };

  double recentStatements(TimePoint now, const std::string &service) const;
  bool isObserver(const std::string &service) const;
  /// Recomputes which services this VM observes.
  void updateObserved(TimePoint now);
  void review(TimePoint now);

  std::string OwnIp;
  HallId OwnHall;
  WatchOptions Options;
  /// The halls of the listed VMs, and the addresses of the others in this hall.
  std::set<HallId> Halls;
  std::vector<std::string> Neighbours;
  bool IsListed = false;
  std::set<std::string> Services;
  std::map<std::string, Usage> Usages;
  std::set<std::string> Observed;
  std::set<std::string> Watched;
  bool IsObservedStale = true;
  TimePoint ObservedAt{};
  TimePoint ReviewAt{};
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_INTERNAL_SERVICEWATCH_H
