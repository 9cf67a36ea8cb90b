// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Calls to a daemon's API, as the commands see them.

#ifndef STEPLEDGE_CTL_IAPICLIENT_H
#define STEPLEDGE_CTL_IAPICLIENT_H

#include <optional>
#include <string>

namespace stepledge::ctl {

struct ApiReply {
  int Status = 0;
  std::string Body;
  /// The session's token, if one came.
  std::string SessionToken;
};

class IApiClient {
public:
  virtual ~IApiClient() = default;

  /// None where the daemon could not be reached or did not answer.
  virtual std::optional<ApiReply> get(const std::string &path) = 0;
  virtual std::optional<ApiReply> post(const std::string &path,
                                       const std::string &body,
                                       const std::string &sessionToken) = 0;
};

} // namespace stepledge::ctl

#endif // STEPLEDGE_CTL_IAPICLIENT_H
