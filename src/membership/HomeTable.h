// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Which VMs hold the connections to an instance where there are too few
/// for every VM to have its own: rendezvous hashing over the live VMs, so that
/// all VMs with the same list agree without a word, and a VM that comes or goes
/// moves only its own part.

#ifndef STEPLEDGE_MEMBERSHIP_HOMETABLE_H
#define STEPLEDGE_MEMBERSHIP_HOMETABLE_H

#include "membership/types/EntryVm.h"

#include <map>
#include <string>
#include <vector>

namespace stepledge::membership {

struct HomeOptions {
  /// The most VMs that hold connections to one instance: enough that the loss
  /// of one is no loss of service, few enough that each keeps some connections.
  int MostHomes = 6;
  /// The fewest connections that a home should have for that number of homes.
  int FewestConnections = 4;
  /// The part of an instance's connections (one in so many) left to VMs that
  /// are no homes: one each, for the case that a home is full or cut off.
  int GuestShare = 8;
};

/// How the connections to one instance are shared out.
struct HomeShare {
  int Homes = 1;
  /// For each home. Homes times this and the guests are within the limit.
  int Connections = 1;
  /// Other VMs that may hold one connection each.
  int Guests = 0;
  bool operator==(const HomeShare &) const = default;
};

class HomeTable {
public:
  explicit HomeTable(std::string ownIp, HomeOptions options = {})
      : OwnIp(std::move(ownIp)), Options(options) {}

  void setEntries(std::vector<EntryVm> entries);
  const std::vector<EntryVm> &entries() const { return Entries; }

  /// True where \p usable connections don't go round for all VMs.
  bool isNeeded(int usable) const;
  HomeShare share(int usable) const;
  /// This VM's part of \p connections to \p instance in \p hall that all VMs
  /// share out evenly, at least one. What doesn't go round goes to the VMs of
  /// the instance's hall first, which ask it for reads, then to other VMs for
  /// each instance. Over all VMs with the same list the parts make up
  /// \p connections where these are as many as the VMs.
  int evenShare(const InstanceId &instance, const HallId &hall,
                int connections);
  bool isHome(const InstanceId &instance, const HallId &hall,
              const HomeShare &share);
  /// The VMs to ask for a connection to \p instance in \p hall, best first,
  /// without this one: the homes in this VM's own order, then the guests.
  const std::vector<std::string> &lenders(const InstanceId &instance,
                                          const HallId &hall,
                                          const HomeShare &share);

  /// The homes in \p organisation's own order, this VM among them if it is one:
  /// all VMs with the same list ask the same home first, so that the
  /// organisation needs a connection only there.
  std::vector<std::string> homesOf(const InstanceId &instance,
                                   const HallId &hall, const HomeShare &share,
                                   const OrganisationId &organisation);
  /// VMs that are no homes and may hold one connection, in \p organisation's
  /// own order, so that not all turn to the same one.
  std::vector<std::string> guestsOf(const InstanceId &instance,
                                    const HallId &hall, const HomeShare &share,
                                    const OrganisationId &organisation);

private:
  struct Ranking {
    HomeShare Share;
    bool IsHome = false;
    std::vector<std::string> Lenders;
    std::vector<std::string> Homes;
    std::vector<std::string> Guests;
  };
  /// How many VMs come before this one where connections to the instance are
  /// left over.
  int placeOf(const InstanceId &instance, const HallId &hall);
  const Ranking &ranking(const InstanceId &instance, const HallId &hall,
                         const HomeShare &share);

  std::string OwnIp;
  HomeOptions Options;
  std::vector<EntryVm> Entries;
  /// Worked out when first asked for, forgotten when the VMs change.
  std::map<InstanceId, Ranking> Rankings;
  /// Likewise. A share is asked for per free connection and tick; without this
  /// it took 3.1 us among 69 VMs and 14.6 us among 300, with it 0.07 and 0.08
  /// (timed alone), and a small processor has some 1,000 us in such a tick.
  std::map<InstanceId, int> Places;
};

} // namespace stepledge::membership

#endif // STEPLEDGE_MEMBERSHIP_HOMETABLE_H
