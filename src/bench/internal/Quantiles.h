// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Quantiles of what an experiment measured.

#ifndef STEPLEDGE_BENCH_INTERNAL_QUANTILES_H
#define STEPLEDGE_BENCH_INTERNAL_QUANTILES_H

#include <algorithm>
#include <cstddef>
#include <vector>

namespace stepledge::bench {

/// The least value that is not below \p share of \p values; 0 for none.
inline double quantile(std::vector<double> values, double share) {
  if (values.empty())
    return 0;
  const auto last = static_cast<double>(values.size() - 1);
  const auto rank = static_cast<std::ptrdiff_t>(share * last + 0.5);
  std::nth_element(values.begin(), values.begin() + rank, values.end());
  return values[static_cast<std::size_t>(rank)];
}

} // namespace stepledge::bench

#endif // STEPLEDGE_BENCH_INTERNAL_QUANTILES_H
