// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What leads from one configuration to a later one.

#ifndef STEPLEDGE_DISTRIBUTION_TYPES_CONFIGURATIONCHANGE_H
#define STEPLEDGE_DISTRIBUTION_TYPES_CONFIGURATIONCHANGE_H

#include "control/types/Configuration.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace stepledge::distribution {

struct ConfigurationChange {
  /// The version that it starts from; 0 where it holds a whole configuration.
  std::uint64_t From = 0;
  std::uint64_t To = 0;
  /// New routes, and those that have changed.
  std::map<DatabaseId, control::Route> Routes;
  std::set<DatabaseId> RemovedRoutes;
  std::map<std::string, control::ServiceSettings> Services;
  std::set<std::string> RemovedServices;
  std::map<OrganisationId, control::Organisation> Organisations;
  std::set<OrganisationId> RemovedOrganisations;
  bool HasOrganisations = false;
  Duration TransactionIdleLimit{};
  /// Of the configuration that it leads to.
  std::uint64_t Digest = 0;

  /// How many routes it names.
  std::size_t size() const { return Routes.size() + RemovedRoutes.size(); }
};

/// The change from \p from, which may be empty, to \p to.
ConfigurationChange changeBetween(const control::Configuration &from,
                                  const control::Configuration &to);

/// Lets \p change go on with \p next, which starts where \p change ends.
void extendChange(ConfigurationChange &change, const ConfigurationChange &next);

/// False where \p configuration isn't what the change starts from, or where the
/// result isn't what its sender holds; \p configuration is then of no use.
bool applyChange(control::Configuration &configuration,
                 const ConfigurationChange &change);

/// Alike for configurations that are alike, whichever VM computes it.
std::uint64_t digestOf(const control::Configuration &configuration);

} // namespace stepledge::distribution

#endif // STEPLEDGE_DISTRIBUTION_TYPES_CONFIGURATIONCHANGE_H
