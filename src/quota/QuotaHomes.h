// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Chooses the VM of a hall that keeps an organisation's quota there.
///
/// VMs may have different lists: one that control VMs don't hear any more is
/// taken out of the lists of the others, but keeps its own and goes on as a
/// home. If the others chose a new home, two VMs would lend the same part. So a
/// home that has left the list stays a home for as long as it can be reached.

#ifndef STEPLEDGE_QUOTA_QUOTAHOMES_H
#define STEPLEDGE_QUOTA_QUOTAHOMES_H

#include "membership/types/EntryVm.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace stepledge::quota {

class QuotaHomes {
public:
  explicit QuotaHomes(std::size_t homesPerHall) : HomesPerHall(homesPerHall) {}

  void setEntries(const std::vector<membership::EntryVm> &entries);
  /// There is a connection to the VM now.
  void connected(const std::string &ip) { Connected.insert(ip); }
  /// The connection is lost.
  void disconnected(const std::string &ip);
  /// The VM doesn't answer, or no longer keeps quotas.
  void unavailable(const std::string &ip);
  /// The homes of \p organisation in \p hall, the one to ask first in front.
  const std::vector<std::string> &
  homesOf(const HallId &hall, const OrganisationId &organisation) const;
  /// All VMs of \p hall that keep quotas.
  const std::vector<std::string> &homesIn(const HallId &hall) const;
  std::vector<HallId> halls() const;
  /// Whether the VM has left the list and is still a home.
  bool hasDeparted(const std::string &ip) const {
    return Departed.contains(ip);
  }
  /// None if the VM isn't known.
  std::optional<HallId> hallOf(const std::string &ip) const;

private:
  void choose();

  std::size_t HomesPerHall;
  /// The hall of each VM in the list.
  std::map<std::string, HallId> Listed;
  /// Homes that have left the list and can still be reached.
  std::map<std::string, HallId> Departed;
  std::set<std::string> Connected;
  std::map<HallId, std::vector<std::string>> ByHall;
  /// By organisation, its homes in order, computed when first needed and kept
  /// until the homes change, since every operation looks them up.
  mutable std::map<std::pair<HallId, OrganisationId>, std::vector<std::string>>
      Ordered;
};

} // namespace stepledge::quota

#endif // STEPLEDGE_QUOTA_QUOTAHOMES_H
