// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Rendezvous hashing: VMs with the same list of names order them alike
/// without exchanging messages.

#ifndef STEPLEDGE_MEMBERSHIP_RENDEZVOUS_H
#define STEPLEDGE_MEMBERSHIP_RENDEZVOUS_H

#include <xxhash.h>

#include <cstdint>
#include <string>

namespace stepledge::membership {

/// The lowest weight comes first.
inline std::uint64_t rendezvousWeight(const std::string &first,
                                      const std::string &second) {
  return XXH64(first.data(), first.size(),
               XXH64(second.data(), second.size(), 0));
}

} // namespace stepledge::membership

#endif // STEPLEDGE_MEMBERSHIP_RENDEZVOUS_H
