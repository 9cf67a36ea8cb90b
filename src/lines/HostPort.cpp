// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "lines/HostPort.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace stepledge::lines {

absl::StatusOr<HostPort> splitAddress(const std::string &address) {
  const auto colon = address.rfind(':');
  std::uint32_t port = 0;
  if (colon == std::string::npos ||
      !absl::SimpleAtoi(address.substr(colon + 1), &port) || port > 65535)
    return absl::InvalidArgumentError(
        absl::StrCat("not an address with a port: ", address));
  return HostPort{address.substr(0, colon), static_cast<std::uint16_t>(port)};
}

} // namespace stepledge::lines
