// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Session tokens in headers and cookies.

#ifndef STEPLEDGE_API_INTERNAL_SESSIONHEADERS_H
#define STEPLEDGE_API_INTERNAL_SESSIONHEADERS_H

#include "http/types/HttpMessage.h"

#include <string>
#include <vector>

namespace stepledge::api {

/// What a caller sent of its session.
struct SentTokens {
  /// From headers and cookies together.
  std::vector<std::string> Tokens;
  /// The names of the cookies among them.
  std::vector<std::string> Cookies;
};

/// Reads every `Stepledge-Session` header (each may list several, with
/// commas) and every cookie whose name begins with `stepledge-session-`.
SentTokens readTokens(const http::HttpCall &call);

/// Adds the header with \p token, a cookie named after \p decision, and the
/// expiry of just those cookies that were sent. Each answer's cookie has a
/// name of its own, so that parallel answers don't overwrite one another.
void writeToken(const std::string &token, const SentTokens &sent,
                const std::string &decision, http::HttpReply &reply);

} // namespace stepledge::api

#endif // STEPLEDGE_API_INTERNAL_SESSIONHEADERS_H
