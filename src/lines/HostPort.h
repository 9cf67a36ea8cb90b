// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file An address and a port in text.

#ifndef STEPLEDGE_LINES_HOSTPORT_H
#define STEPLEDGE_LINES_HOSTPORT_H

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>

namespace stepledge::lines {

struct HostPort {
  std::string Ip;
  std::uint16_t Port = 0;
  bool operator==(const HostPort &) const = default;
};

/// "ip:port" in its two parts.
absl::StatusOr<HostPort> splitAddress(const std::string &address);

} // namespace stepledge::lines

#endif // STEPLEDGE_LINES_HOSTPORT_H
