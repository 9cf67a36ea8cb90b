// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The share of a contested queue that each organisation is due, by its
/// configured rate.

#ifndef STEPLEDGE_SCHEDULING_SHAREWEIGHTS_H
#define STEPLEDGE_SCHEDULING_SHAREWEIGHTS_H

#include "base/types/Ids.h"

#include <map>

namespace stepledge::scheduling {

class ShareWeights {
public:
  ShareWeights() = default;
  /// Takes operations per second by organisation; 0 where none is configured.
  explicit ShareWeights(const std::map<OrganisationId, double> &rates);

  /// The weight, 1 on average; an organisation without a rate has weight 1.
  double of(const OrganisationId &organisation) const;

private:
  std::map<OrganisationId, double> Weights;
};

} // namespace stepledge::scheduling

#endif // STEPLEDGE_SCHEDULING_SHAREWEIGHTS_H
