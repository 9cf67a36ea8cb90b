// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "overload/RetryDelay.h"

#include <algorithm>
#include <cstdint>

namespace stepledge::overload {

namespace {

/// About one round trip between two VMs: an earlier retry costs more than the
/// wait that it saves.
constexpr Duration MinDelay = milliseconds(5);

/// FNV-1a with a final mixing step, which spreads ids that differ in one digit.
std::uint64_t hashOf(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325U;
  for (const char c : text)
    hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3U;
  hash = (hash ^ (hash >> 33U)) * 0xff51afd7ed558ccdU;
  return hash ^ (hash >> 33U);
}

} // namespace

Duration retryDelay(Duration wait, std::string_view statement) {
  const Duration least = std::max(wait, MinDelay);
  const auto spread = static_cast<std::uint64_t>(least.count());
  return least +
         Duration(static_cast<Duration::rep>(hashOf(statement) % spread));
}

} // namespace stepledge::overload
