// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The newest configuration, and what leads to it from the ones before.

#ifndef STEPLEDGE_DISTRIBUTION_CONFIGURATIONHISTORY_H
#define STEPLEDGE_DISTRIBUTION_CONFIGURATIONHISTORY_H

#include "distribution/types/ConfigurationChange.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace stepledge::distribution {

class ConfigurationHistory {
public:
  /// Takes \p configuration, whose version is above the newest one's.
  void take(control::Configuration configuration);
  const control::Configuration &newest() const { return Newest; }

  /// The encoded change to the newest for one who holds \p version: from there
  /// if that is known and shorter than the whole.
  std::shared_ptr<const std::string> changeFrom(std::uint64_t version);

private:
  using StepIterator = std::deque<ConfigurationChange>::const_iterator;

  /// The change that begins with the step \p first; the whole at the end.
  std::string encodeFrom(const StepIterator &first) const;

  control::Configuration Newest;
  /// Each starts where the one before ends; the last ends at the newest.
  std::deque<ConfigurationChange> Steps;
  /// How many routes they name in all.
  std::size_t StepRoutes = 0;
  /// By the version they start from, changes to the newest that were asked for;
  /// one whole for all versions that aren't known.
  std::map<std::uint64_t, std::shared_ptr<const std::string>> Encoded;
};

} // namespace stepledge::distribution

#endif // STEPLEDGE_DISTRIBUTION_CONFIGURATIONHISTORY_H
