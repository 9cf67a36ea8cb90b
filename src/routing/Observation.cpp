// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "routing/types/Observation.h"

namespace stepledge::routing {

// The term is the last one that starts before the applied position.
Mark Observation::appliedMark() const {
  Term term = History.empty() ? LogTerm : History.front().Began;
  for (const auto &it : History)
    if (it.After < Applied)
      term = it.Began;
  return {term, Applied};
}

} // namespace stepledge::routing
