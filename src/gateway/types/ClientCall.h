// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What a client of a connection session may send.

#ifndef STEPLEDGE_GATEWAY_TYPES_CLIENTCALL_H
#define STEPLEDGE_GATEWAY_TYPES_CLIENTCALL_H

#include "base/KeyDigest.h"
#include "proxy/types/ClientStatement.h"

#include <string>
#include <variant>

namespace stepledge::gateway {

struct ConnectCall {
  std::string Database;
  /// Of the key that the client shows.
  KeyDigest Key;
};
struct QuitCall {};
/// A line that isn't understood.
struct UnknownCall {};
using ClientCall =
    std::variant<ConnectCall, proxy::ClientStatement, QuitCall, UnknownCall>;

} // namespace stepledge::gateway

#endif // STEPLEDGE_GATEWAY_TYPES_CLIENTCALL_H
