// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "ctl/internal/HttpApiClient.h"

#include <httplib.h>

namespace stepledge::ctl {

namespace {

constexpr const char *SessionHeader = "Stepledge-Session";
constexpr int ConnectSeconds = 3;
/// Beyond the longest deadline that a daemon lets a caller set.
constexpr int AnswerSeconds = 60;

std::optional<ApiReply> replyOf(const httplib::Result &result) {
  if (!result)
    return std::nullopt;
  return ApiReply{result->status, result->body,
                  result->get_header_value(SessionHeader)};
}

} // namespace

HttpApiClient::HttpApiClient(const CtlOptions &options)
    : Client(std::make_unique<httplib::Client>(options.Address, options.Port)) {
  Client->set_connection_timeout(ConnectSeconds);
  Client->set_read_timeout(AnswerSeconds);
}

HttpApiClient::~HttpApiClient() = default;

std::optional<ApiReply> HttpApiClient::get(const std::string &path) {
  return replyOf(Client->Get(path));
}

std::optional<ApiReply> HttpApiClient::post(const std::string &path,
                                            const std::string &body,
                                            const std::string &sessionToken) {
  httplib::Headers headers;
  if (!sessionToken.empty())
    headers.emplace(SessionHeader, sessionToken);
  return replyOf(Client->Post(path, headers, body, "application/json"));
}

} // namespace stepledge::ctl
