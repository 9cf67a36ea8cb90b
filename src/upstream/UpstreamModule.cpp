// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "upstream/UpstreamModule.h"

#include "upstream/internal/PgConnection.h"

namespace stepledge::upstream {

std::unique_ptr<IUpstreamConnection> openConnection(asio::io_context &context,
                                                    const std::string &target,
                                                    ConnectionEvents events) {
  return std::make_unique<PgConnection>(context, target, std::move(events));
}

} // namespace stepledge::upstream
