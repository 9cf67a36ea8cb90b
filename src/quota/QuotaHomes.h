// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Chooses the VM of a hall that keeps an organisation's quota there.

#ifndef STEPLEDGE_QUOTA_QUOTAHOMES_H
#define STEPLEDGE_QUOTA_QUOTAHOMES_H

#include "membership/types/EntryVm.h"

#include <map>
#include <string>
#include <vector>

namespace stepledge::quota {

class QuotaHomes {
public:
  explicit QuotaHomes(std::size_t homesPerHall) : HomesPerHall(homesPerHall) {}

  void setEntries(const std::vector<membership::EntryVm> &entries);
  /// The homes of \p organisation in \p hall, the one to ask first in front.
  std::vector<std::string> homesOf(const HallId &hall,
                                   const OrganisationId &organisation) const;
  /// All VMs of \p hall that keep quotas.
  const std::vector<std::string> &homesIn(const HallId &hall) const;
  std::vector<HallId> halls() const;

private:
  std::size_t HomesPerHall;
  std::map<HallId, std::vector<std::string>> ByHall;
};

} // namespace stepledge::quota

#endif // STEPLEDGE_QUOTA_QUOTAHOMES_H
