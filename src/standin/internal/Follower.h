// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Copies the log of the instance that is followed, by asking its own
/// port through libpq.

#ifndef STEPLEDGE_STANDIN_INTERNAL_FOLLOWER_H
#define STEPLEDGE_STANDIN_INTERNAL_FOLLOWER_H

#include "standin/internal/Engine.h"
#include "upstream/IUpstreamConnection.h"

#include <asio.hpp>

#include <memory>

namespace stepledge::standin {

class Follower {
public:
  Follower(asio::io_context &context, Engine &engine);

  void start();

private:
  void poll();
  void connect();
  void ask();
  void take(const upstream::BatchResult &result);

  asio::io_context &Context;
  asio::steady_timer Timer;
  Engine &Instance;
  std::unique_ptr<upstream::IUpstreamConnection> Connection;
  std::string ConnectedTo;
  bool Open = false;
  bool Asking = false;
  std::chrono::steady_clock::time_point AskedAt;
};

} // namespace stepledge::standin

#endif // STEPLEDGE_STANDIN_INTERNAL_FOLLOWER_H
