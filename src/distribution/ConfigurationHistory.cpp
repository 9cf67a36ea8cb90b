// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "distribution/ConfigurationHistory.h"

#include "distribution/DeltaCodec.h"

#include <algorithm>
#include <utility>

namespace stepledge::distribution {

namespace {

/// Maximum number of deltas: some minutes of an operator's quickest series of
/// changes, longer than an entry VM is away without a restart.
constexpr std::size_t MaxDeltas = 64;

} // namespace

void ConfigurationHistory::take(control::Configuration configuration) {
  Deltas.push_back(deltaBetween(Newest, configuration));
  DeltaRoutes += Deltas.back().size();
  Newest = std::move(configuration);
  Encoded.clear();
  // NOTE: deltas that contain more routes than the configuration are no shorter
  // than the full configuration, so they aren't kept.
  while (Deltas.size() > MaxDeltas || DeltaRoutes > Newest.Routes.size()) {
    DeltaRoutes -= Deltas.front().size();
    Deltas.pop_front();
  }
}

std::shared_ptr<const std::string>
ConfigurationHistory::deltaFrom(std::uint64_t version) {
  const auto first =
      std::find_if(Deltas.begin(), Deltas.end(),
                   [&](const auto &it) { return it.From == version; });
  auto &it = Encoded[first == Deltas.end() ? 0 : version];
  if (!it)
    it = std::make_shared<const std::string>(encodeFrom(first));
  return it;
}

std::string ConfigurationHistory::encodeFrom(const DeltaIterator &first) const {
  if (first == Deltas.end() || first->From == 0)
    return encodeDelta(deltaBetween({}, Newest));
  ConfigurationDelta delta = *first;
  for (auto it = first + 1; it != Deltas.end(); ++it)
    extendDelta(delta, *it);
  return encodeDelta(delta);
}

} // namespace stepledge::distribution
