// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The HTTP server, and what answers its calls.

#ifndef STEPLEDGE_HTTP_IHTTPSERVER_H
#define STEPLEDGE_HTTP_IHTTPSERVER_H

#include "http/types/HttpMessage.h"

#include <functional>

namespace stepledge::http {

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

} // namespace stepledge::http

#endif // STEPLEDGE_HTTP_IHTTPSERVER_H
