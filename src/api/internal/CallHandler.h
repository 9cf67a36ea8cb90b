// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Finds what a call asks for, checks it, and hands it on.

#ifndef STEPLEDGE_API_INTERNAL_CALLHANDLER_H
#define STEPLEDGE_API_INTERNAL_CALLHANDLER_H

#include "api/IRequestGateway.h"
#include "api/internal/RequestReader.h"
#include "http/IHttpServer.h"
#include "session/ITokenCodec.h"
#include "settings/types/Settings.h"

#include <string>
#include <vector>

namespace stepledge::api {

class CallHandler : public http::ICallHandler {
public:
  CallHandler(const settings::Settings &settings,
              const session::ITokenCodec &tokens, IRequestGateway &gateway)
      : Config(settings), Tokens(tokens), Gateway(gateway), Reader(settings) {}

  void handle(http::HttpCall call, http::Reply reply) override;

private:
  /// Sends each reply of a stopping VM as the last of its connection: a call
  /// that is on its way as the stop ends would get none.
  http::Reply lastWhileStopping(http::Reply reply) const;
  using Path = std::vector<std::string>;

  void get(const Path &path, const http::Reply &reply);
  absl::StatusOr<CallerSubmission> readPost(const Path &path,
                                            const std::string &body) const;
  void post(const http::HttpCall &call, const Path &path,
            const http::Reply &reply);
  void submit(CallerSubmission submission, const http::HttpCall &call,
              const http::Reply &reply);

  const settings::Settings &Config;
  const session::ITokenCodec &Tokens;
  IRequestGateway &Gateway;
  RequestReader Reader;
};

} // namespace stepledge::api

#endif // STEPLEDGE_API_INTERNAL_CALLHANDLER_H
