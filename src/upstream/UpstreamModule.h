// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Set-up of the upstream module.

#ifndef STEPLEDGE_UPSTREAM_UPSTREAMMODULE_H
#define STEPLEDGE_UPSTREAM_UPSTREAMMODULE_H

#include "upstream/IUpstreamConnection.h"

#include <asio/io_context.hpp>

#include <memory>
#include <string>

namespace stepledge::upstream {

/// Starts opening a connection through libpq. \p target is libpq's connection
/// string; the host in it must be an IP number, since names would block.
std::unique_ptr<IUpstreamConnection> openConnection(asio::io_context &context,
                                                    const std::string &target,
                                                    ConnectionEvents events);

} // namespace stepledge::upstream

#endif // STEPLEDGE_UPSTREAM_UPSTREAMMODULE_H
