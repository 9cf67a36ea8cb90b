// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The demonstration and the experiments on real processes.

#ifndef STEPLEDGE_BENCH_BENCHMODULE_H
#define STEPLEDGE_BENCH_BENCHMODULE_H

#include "bench/internal/Cluster.h"
#include "bench/types/ExperimentOptions.h"

#include <iosfwd>

namespace stepledge::bench {

/// Books a slot, reads it elsewhere, browses at a replica, loses a replica.
/// Returns 0 where all went as promised.
int runDemo(const TrialPlaces &places, std::ostream &out);

/// Each prints a table and, as its last line, one JSON object. Returns 0
/// where no promise was broken.
int runFailover(const TrialPlaces &places, const ExperimentOptions &options,
                std::ostream &out);
/// What one unit of state or work costs; feeds docs/CAPACITY.md.
int runSlopes(std::ostream &out);
int runReads(const TrialPlaces &places, const ExperimentOptions &options,
             std::ostream &out);

} // namespace stepledge::bench

#endif // STEPLEDGE_BENCH_BENCHMODULE_H
