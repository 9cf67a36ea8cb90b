// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The newest configuration, and the deltas to it from earlier versions.

#ifndef STEPLEDGE_DISTRIBUTION_CONFIGURATIONHISTORY_H
#define STEPLEDGE_DISTRIBUTION_CONFIGURATIONHISTORY_H

#include "distribution/types/ConfigurationDelta.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace stepledge::distribution {

class ConfigurationHistory {
public:
  /// Adds \p configuration, whose version must be above the newest one.
  void take(control::Configuration configuration);
  const control::Configuration &newest() const { return Newest; }

  /// Returns the encoded delta from \p version to the newest configuration; the
  /// full configuration if that version is unknown or the delta isn't shorter.
  std::shared_ptr<const std::string> deltaFrom(std::uint64_t version);

private:
  using DeltaIterator = std::deque<ConfigurationDelta>::const_iterator;

  /// Encodes the deltas from \p first on as one; the full configuration if \p
  /// first is the end.
  std::string encodeFrom(const DeltaIterator &first) const;

  control::Configuration Newest;
  /// Each delta starts at the version where the previous one ends; the last one
  /// ends at the newest version.
  std::deque<ConfigurationDelta> Deltas;
  /// Total number of routes in Deltas.
  std::size_t DeltaRoutes = 0;
  /// Requested encoded deltas to the newest configuration by the version they
  /// start from; 0 for the full configuration, which serves all unknown
  /// versions.
  std::map<std::uint64_t, std::shared_ptr<const std::string>> Encoded;
};

} // namespace stepledge::distribution

#endif // STEPLEDGE_DISTRIBUTION_CONFIGURATIONHISTORY_H
