// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The order of the statements that wait.

#ifndef STEPLEDGE_PROXY_TYPES_WAITKEY_H
#define STEPLEDGE_PROXY_TYPES_WAITKEY_H

#include "base/types/Time.h"
#include "proxy/IProxyIo.h"

#include <compare>

namespace stepledge::proxy {

/// Sort key of a waiting statement: by priority, then by arrival.
struct WaitKey {
  int Priority = 0;
  TimePoint ArrivedAt{};
  ClientId Client;
  auto operator<=>(const WaitKey &) const = default;
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_TYPES_WAITKEY_H
