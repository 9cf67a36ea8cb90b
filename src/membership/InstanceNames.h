// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Validation of the names of instances, services and halls, and of
/// addresses.

#ifndef STEPLEDGE_MEMBERSHIP_INSTANCENAMES_H
#define STEPLEDGE_MEMBERSHIP_INSTANCENAMES_H

#include <algorithm>
#include <cstddef>
#include <string>

namespace stepledge::membership {

/// The maximum length of a name in bytes, the same as for a DNS host name.
constexpr std::size_t MaxNameBytes = 255;

/// Names are written into lines whose fields are separated by spaces, so they
/// may hold only printable ASCII without spaces.
inline bool isValidName(const std::string &text) {
  return !text.empty() && text.size() <= MaxNameBytes &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

} // namespace stepledge::membership

#endif // STEPLEDGE_MEMBERSHIP_INSTANCENAMES_H
