// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file One POST to an HTTP server, and the status that it answers with.

#ifndef STEPLEDGE_HTTP_HTTPPOST_H
#define STEPLEDGE_HTTP_HTTPPOST_H

#include "http/types/HttpMessage.h"

#include <asio.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace stepledge::http {

struct PostCall {
  asio::ip::tcp::endpoint Target;
  std::string Path;
  std::vector<HttpHeader> Headers;
  std::string Body;
  /// No answer by then counts as none; the call may still take effect.
  std::chrono::milliseconds AnswerLimit{900};
};

/// Calls \p onDone once, with the answer's status or nothing.
void post(asio::io_context &context, const PostCall &call,
          std::function<void(std::optional<int>)> onDone);

} // namespace stepledge::http

#endif // STEPLEDGE_HTTP_HTTPPOST_H
