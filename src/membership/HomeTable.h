// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Selection of the home VMs of an instance: where connections are too
/// few for every VM to open its own, rendezvous hashing over the live VMs picks
/// the VMs that open them. All VMs with the same list get the same result
/// without exchanging messages, and a VM that joins or leaves moves only its
/// own part.

#ifndef STEPLEDGE_MEMBERSHIP_HOMETABLE_H
#define STEPLEDGE_MEMBERSHIP_HOMETABLE_H

#include "membership/types/EntryVm.h"

#include <map>
#include <string>
#include <vector>

namespace stepledge::membership {

struct HomeOptions {
  /// The maximum number of homes of one instance: enough that losing one
  /// doesn't interrupt service, few enough that each keeps several connections.
  int MaxHomes = 6;
  /// One home per this many of an instance's connections, at least one and at
  /// most MaxHomes. The connections of non-homes are deducted afterwards, so a
  /// home may get fewer.
  int MinConnections = 4;
  /// At least one in this many of an instance's connections, rounded down, is
  /// left to non-home VMs, one each, as a fallback for a home that is full or
  /// unreachable.
  int NonHomeDivisor = 8;
};

/// How the connections to one instance are divided among the VMs.
struct HomeShare {
  int Homes = 1;
  /// Connections per home. The homes' and the non-homes' connections together
  /// are within the limit.
  int Connections = 1;
  /// The number of non-home VMs that may hold one connection each.
  int NonHomes = 0;
  bool operator==(const HomeShare &) const = default;
};

class HomeTable {
public:
  explicit HomeTable(std::string ownIp, HomeOptions options = {})
      : OwnIp(std::move(ownIp)), Options(options) {}

  void setEntries(std::vector<EntryVm> entries);
  const std::vector<EntryVm> &entries() const { return Entries; }

  /// True if there are fewer than 1.5 \p usable connections per VM.
  bool isSharingNeeded(int usable) const;
  HomeShare share(int usable) const;
  /// This VM's even part, at least one, of the \p connections to \p instance in
  /// \p hall. The remainder goes first to the VMs in the instance's hall, which
  /// send it reads, then to other VMs, in an order that differs by instance.
  /// Where there are at least as many connections as VMs, the parts of all VMs
  /// with the same list add up to \p connections.
  int evenShare(const InstanceId &instance, const HallId &hall,
                int connections);
  bool isHome(const InstanceId &instance, const HallId &hall,
              const HomeShare &share);
  /// The VMs to borrow a connection to \p instance in \p hall from, most
  /// preferred first and without this VM: the homes in this VM's own order,
  /// then the non-homes.
  const std::vector<std::string> &lenders(const InstanceId &instance,
                                          const HallId &hall,
                                          const HomeShare &share);

  /// The homes in the order of preference of \p organisation, including this VM
  /// if it is a home. All VMs with the same list ask the same home first, so
  /// the organisation needs a connection only there.
  std::vector<std::string> homesOf(const InstanceId &instance,
                                   const HallId &hall, const HomeShare &share,
                                   const OrganisationId &organisation);
  /// The non-home VMs that may hold one connection, which may include this VM,
  /// in an order that differs by \p organisation, so that requests are spread
  /// over them.
  std::vector<std::string> nonHomesOf(const InstanceId &instance,
                                      const HallId &hall,
                                      const HomeShare &share,
                                      const OrganisationId &organisation);

private:
  struct Ranking {
    HomeShare Share;
    bool IsHome = false;
    std::vector<std::string> Lenders;
    std::vector<std::string> Homes;
    std::vector<std::string> NonHomes;
  };
  /// How many VMs precede this one when the remainder of the connections to the
  /// instance is assigned.
  int remainderRankOf(const InstanceId &instance, const HallId &hall);
  const Ranking &ranking(const InstanceId &instance, const HallId &hall,
                         const HomeShare &share);

  std::string OwnIp;
  HomeOptions Options;
  std::vector<EntryVm> Entries;
  /// Computed on demand; cleared when the list of VMs changes.
  std::map<InstanceId, Ranking> Rankings;
  /// Cached the same way: a share is computed per free connection and tick,
  /// which took 3.1 us with 69 VMs and 14.6 us with 300 without the cache and
  /// takes 0.07 and 0.08 us with it (timed in isolation), while a tick has
  /// about 1,000 us on a small processor.
  std::map<InstanceId, int> RemainderRanks;
};

} // namespace stepledge::membership

#endif // STEPLEDGE_MEMBERSHIP_HOMETABLE_H
