// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A call and its reply, without the HTTP library.

#ifndef STEPLEDGE_HTTP_TYPES_HTTPMESSAGE_H
#define STEPLEDGE_HTTP_TYPES_HTTPMESSAGE_H

#include <cstddef>
#include <string>
#include <vector>

namespace stepledge::http {

struct HttpHeader {
  std::string Name;
  std::string Value;
};

struct HttpCall {
  std::string Method;
  /// Without the query.
  std::string Path;
  std::vector<HttpHeader> Headers;
  std::string Body;

  /// All values of a header, by its name in any case.
  std::vector<std::string> all(const std::string &name) const;
  /// The first of them, or empty.
  std::string first(const std::string &name) const;
};

struct HttpReply {
  int Status = 200;
  std::vector<HttpHeader> Headers;
  std::string ContentType = "application/json";
  std::string Body;
  /// The connection ends behind it, and says so.
  bool IsLast = false;
};

} // namespace stepledge::http

#endif // STEPLEDGE_HTTP_TYPES_HTTPMESSAGE_H
