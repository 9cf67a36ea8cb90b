// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The API client over cpp-httplib.

#ifndef STEPLEDGE_CTL_INTERNAL_HTTPAPICLIENT_H
#define STEPLEDGE_CTL_INTERNAL_HTTPAPICLIENT_H

#include "ctl/IApiClient.h"
#include "ctl/types/CtlOptions.h"

#include <memory>

namespace httplib {
class Client;
} // namespace httplib

namespace stepledge::ctl {

class HttpApiClient : public IApiClient {
public:
  explicit HttpApiClient(const CtlOptions &options);
  ~HttpApiClient() override;

  std::optional<ApiReply> get(const std::string &path) override;
  std::optional<ApiReply> post(const std::string &path, const std::string &body,
                               const std::string &sessionToken) override;

private:
  std::unique_ptr<httplib::Client> Client;
};

} // namespace stepledge::ctl

#endif // STEPLEDGE_CTL_INTERNAL_HTTPAPICLIENT_H
