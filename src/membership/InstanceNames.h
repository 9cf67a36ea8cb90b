// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Which texts may name an instance, its service, hall or address.

#ifndef STEPLEDGE_MEMBERSHIP_INSTANCENAMES_H
#define STEPLEDGE_MEMBERSHIP_INSTANCENAMES_H

#include <algorithm>
#include <cstddef>
#include <string>

namespace stepledge::membership {

/// The longest name, in bytes: that of a host in DNS.
constexpr std::size_t MostNameBytes = 255;

/// Names are written into lines that blanks and line ends part, so they hold
/// printable ASCII only.
inline bool isName(const std::string &text) {
  return !text.empty() && text.size() <= MostNameBytes &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

} // namespace stepledge::membership

#endif // STEPLEDGE_MEMBERSHIP_INSTANCENAMES_H
