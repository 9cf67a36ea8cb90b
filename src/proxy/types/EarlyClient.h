// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A client that came before the first configuration.

#ifndef STEPLEDGE_PROXY_TYPES_EARLYCLIENT_H
#define STEPLEDGE_PROXY_TYPES_EARLYCLIENT_H

#include "base/KeyDigest.h"
#include "base/types/Ids.h"
#include "base/types/Time.h"
#include "proxy/types/ClientStatement.h"

#include <vector>

namespace stepledge::proxy {

/// It waits for the configuration.
struct EarlyClient {
  ClientId Client;
  DatabaseId Database;
  KeyDigest Key;
  TimePoint ConnectedAt{};
  /// The statements that it has sent meanwhile.
  std::vector<ClientStatement> Statements;
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_TYPES_EARLYCLIENT_H
