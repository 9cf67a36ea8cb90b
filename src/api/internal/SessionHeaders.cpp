// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "api/internal/SessionHeaders.h"

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace stepledge::api {

namespace {

constexpr const char *TokenHeader = "Stepledge-Session";
constexpr const char *CookiePrefix = "stepledge-session-";
constexpr const char *CookieRules = "; Path=/; HttpOnly; SameSite=Lax";

} // namespace

SentTokens readTokens(const http::HttpCall &call) {
  SentTokens out;
  for (const auto &value : call.all(TokenHeader))
    for (const auto part : absl::StrSplit(value, ','))
      if (const auto token = absl::StripAsciiWhitespace(part); !token.empty())
        out.Tokens.emplace_back(token);
  for (const auto &value : call.all("Cookie")) {
    for (const auto part : absl::StrSplit(value, ';')) {
      const std::pair<absl::string_view, absl::string_view> cookie =
          absl::StrSplit(absl::StripAsciiWhitespace(part),
                         absl::MaxSplits('=', 1));
      if (!absl::StartsWith(cookie.first, CookiePrefix))
        continue;
      out.Tokens.emplace_back(cookie.second);
      out.Cookies.emplace_back(cookie.first);
    }
  }
  return out;
}

void writeToken(const std::string &token, const SentTokens &sent,
                const std::string &decision, http::HttpReply &reply) {
  if (token.empty())
    return;
  reply.Headers.push_back({TokenHeader, token});
  const auto name = absl::StrCat(CookiePrefix, decision);
  reply.Headers.push_back(
      {"Set-Cookie", absl::StrCat(name, "=", token, CookieRules)});
  for (const auto &it : sent.Cookies)
    if (it != name)
      reply.Headers.push_back(
          {"Set-Cookie", absl::StrCat(it, "=; Max-Age=0", CookieRules)});
}

} // namespace stepledge::api
