// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The delta between two versions of the configuration.

#ifndef STEPLEDGE_DISTRIBUTION_TYPES_CONFIGURATIONDELTA_H
#define STEPLEDGE_DISTRIBUTION_TYPES_CONFIGURATIONDELTA_H

#include "control/types/Configuration.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace stepledge::distribution {

struct ConfigurationDelta {
  /// Version that the delta applies to; 0 for a full configuration.
  std::uint64_t From = 0;
  std::uint64_t To = 0;
  /// New and changed routes.
  std::map<DatabaseId, control::Route> Routes;
  std::set<DatabaseId> RemovedRoutes;
  std::map<std::string, control::ServiceSettings> Services;
  std::set<std::string> RemovedServices;
  std::map<OrganisationId, control::Organisation> Organisations;
  std::set<OrganisationId> RemovedOrganisations;
  bool HasOrganisations = false;
  Duration TransactionIdleLimit{};
  /// Digest of the resulting configuration.
  std::uint64_t Digest = 0;

  /// Number of changed and removed routes.
  std::size_t size() const { return Routes.size() + RemovedRoutes.size(); }
};

/// Returns the delta from \p from, which may be empty, to \p to.
ConfigurationDelta deltaBetween(const control::Configuration &from,
                                const control::Configuration &to);

/// Extends \p delta by \p next, which starts at the version where \p delta
/// ends.
void extendDelta(ConfigurationDelta &delta, const ConfigurationDelta &next);

/// Applies \p delta. False if \p configuration isn't the version that the
/// delta starts from, or the result differs from the sender's configuration; \p
/// configuration is then unusable.
bool applyDelta(control::Configuration &configuration,
                const ConfigurationDelta &delta);

/// Returns the same digest for equal configurations on every VM.
std::uint64_t digestOf(const control::Configuration &configuration);

} // namespace stepledge::distribution

#endif // STEPLEDGE_DISTRIBUTION_TYPES_CONFIGURATIONDELTA_H
