// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What an experiment is run with.

#ifndef STEPLEDGE_BENCH_TYPES_EXPERIMENTOPTIONS_H
#define STEPLEDGE_BENCH_TYPES_EXPERIMENTOPTIONS_H

#include "base/NameTable.h"

#include <array>
#include <cstdint>

namespace stepledge::bench {

enum class Profile {
  /// Mostly browsing: Brännhus.
  Kiln,
  /// Orders before dawn: Casa do Oficio.
  Ledger,
};

constexpr auto ProfileNames = std::to_array<NameEntry<Profile>>({
    {Profile::Kiln, "kiln"},
    {Profile::Ledger, "ledger"},
});

struct ExperimentOptions {
  std::uint64_t Seed = 1;
  Profile Traffic = Profile::Kiln;
  /// Losses of the primary, for `failover`.
  int Losses = 21;
  /// Losses with the baseline's settings.
  int BaselineLosses = 4;
  /// Requests of each caller, for `reads` and `overhead`.
  int Requests = 1500;
};

} // namespace stepledge::bench

#endif // STEPLEDGE_BENCH_TYPES_EXPERIMENTOPTIONS_H
