// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file One connection to a database instance.

#ifndef STEPLEDGE_UPSTREAM_IUPSTREAMCONNECTION_H
#define STEPLEDGE_UPSTREAM_IUPSTREAMCONNECTION_H

#include "upstream/types/Batch.h"

#include <functional>
#include <string>

namespace stepledge::upstream {

/// What a connection reports. Each is called from the event loop, never from
/// inside a call to the connection.
struct ConnectionEvents {
  std::function<void()> OnOpen;
  /// The connection is of no more use; comes at most once, and last.
  std::function<void(const std::string &reason)> OnClosed;
  std::function<void(const BatchResult &result)> OnBatch;
};

class IUpstreamConnection {
public:
  virtual ~IUpstreamConnection() = default;

  /// Sends \p batch. One batch runs at a time; its last step must have
  /// SyncAfter set.
  virtual void run(const Batch &batch) = 0;
};

} // namespace stepledge::upstream

#endif // STEPLEDGE_UPSTREAM_IUPSTREAMCONNECTION_H
