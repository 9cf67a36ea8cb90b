// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "distribution/ConfigurationHistory.h"

#include "distribution/ChangeCodec.h"

#include <algorithm>
#include <utility>

namespace stepledge::distribution {

namespace {

/// Maximum number of deltas: some minutes of an operator's quickest series of
/// changes, longer than an entry VM is away without a restart.
constexpr std::size_t MostSteps = 64;

} // namespace

void ConfigurationHistory::take(control::Configuration configuration) {
  Steps.push_back(changeBetween(Newest, configuration));
  StepRoutes += Steps.back().size();
  Newest = std::move(configuration);
  Encoded.clear();
  // NOTE: deltas that contain more routes than the configuration are no shorter
  // than the full configuration, so they aren't kept.
  while (Steps.size() > MostSteps || StepRoutes > Newest.Routes.size()) {
    StepRoutes -= Steps.front().size();
    Steps.pop_front();
  }
}

std::shared_ptr<const std::string>
ConfigurationHistory::changeFrom(std::uint64_t version) {
  const auto first =
      std::find_if(Steps.begin(), Steps.end(),
                   [&](const auto &it) { return it.From == version; });
  auto &it = Encoded[first == Steps.end() ? 0 : version];
  if (!it)
    it = std::make_shared<const std::string>(encodeFrom(first));
  return it;
}

std::string ConfigurationHistory::encodeFrom(const StepIterator &first) const {
  if (first == Steps.end() || first->From == 0)
    return encodeChange(changeBetween({}, Newest));
  ConfigurationChange change = *first;
  for (auto it = first + 1; it != Steps.end(); ++it)
    extendChange(change, *it);
  return encodeChange(change);
}

} // namespace stepledge::distribution
