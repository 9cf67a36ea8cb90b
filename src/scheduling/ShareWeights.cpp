// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "scheduling/ShareWeights.h"

namespace stepledge::scheduling {

ShareWeights::ShareWeights(const std::map<OrganisationId, double> &rates) {
  double sum = 0;
  for (const auto &[organisation, rate] : rates)
    if (rate > 0) {
      Weights[organisation] = rate;
      sum += rate;
    }
  if (Weights.empty())
    return;
  const double mean = sum / static_cast<double>(Weights.size());
  for (auto &[organisation, weight] : Weights)
    weight /= mean;
}

double ShareWeights::of(const OrganisationId &organisation) const {
  const auto it = Weights.find(organisation);
  return it == Weights.end() ? 1.0 : it->second;
}

} // namespace stepledge::scheduling
