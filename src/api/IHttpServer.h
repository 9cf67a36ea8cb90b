// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The HTTP server, and what answers its calls.

#ifndef STEPLEDGE_API_IHTTPSERVER_H
#define STEPLEDGE_API_IHTTPSERVER_H

#include "api/types/HttpMessage.h"

#include <functional>

namespace stepledge::api {

using Reply = std::function<void(HttpReply reply)>;

/// Answers calls; each reply is called once, at any later time.
class ICallHandler {
public:
  virtual ~ICallHandler() = default;

  virtual void handle(HttpCall call, Reply reply) = 0;
};

class IHttpServer {
public:
  virtual ~IHttpServer() = default;

  /// Takes no more connections; open ones are still answered.
  virtual void stopListening() = 0;
};

} // namespace stepledge::api

#endif // STEPLEDGE_API_IHTTPSERVER_H
