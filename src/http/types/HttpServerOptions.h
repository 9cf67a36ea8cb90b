// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Where an HTTP server listens, and what it lets in.

#ifndef STEPLEDGE_HTTP_TYPES_HTTPSERVEROPTIONS_H
#define STEPLEDGE_HTTP_TYPES_HTTPSERVEROPTIONS_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace stepledge::http {

struct HttpServerOptions {
  std::string Address;
  std::uint16_t Port = 0;
  /// A call that has no answer by then loses its connection.
  std::chrono::seconds ReplyLimit{30};
  /// Beyond these the connection is closed.
  std::size_t MostHeaders = 400;
  std::size_t MostBodyBytes = 8U << 20;
};

} // namespace stepledge::http

#endif // STEPLEDGE_HTTP_TYPES_HTTPSERVEROPTIONS_H
