// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "soak/NarrowLinks.h"

#include <cctype>

namespace stepledge::soak {

namespace {

/// What a link carries at once after a rest, in bytes: 32 ms at 250 KB/s.
constexpr double BurstBytes = 8000;

bool isNamedIn(std::string_view bytes, std::string_view ip) {
  const auto start = bytes.find(ip);
  if (start == std::string_view::npos)
    return false;
  const auto end = start + ip.size();
  return end == bytes.size() ||
         std::isdigit(static_cast<unsigned char>(bytes[end])) == 0;
}

} // namespace

void NarrowLinks::add(const std::string &ip, double bytesPerSecond) {
  Links[ip] = {std::make_shared<TokenBucket>(bytesPerSecond, BurstBytes),
               std::make_shared<TokenBucket>(bytesPerSecond, BurstBytes)};
}

LinkRate NarrowLinks::of(std::string_view firstBytes) const {
  for (const auto &[ip, rate] : Links)
    if (isNamedIn(firstBytes, ip))
      return rate;
  return {};
}

} // namespace stepledge::soak
