// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "api/ApiModule.h"

#include "api/internal/CallHandler.h"
#include "http/HttpServer.h"

namespace stepledge::api {

std::unique_ptr<http::ICallHandler>
makeCallHandler(const settings::Settings &settings,
                const session::ITokenCodec &tokens, IRequestGateway &gateway) {
  return std::make_unique<CallHandler>(settings, tokens, gateway);
}

std::unique_ptr<http::IHttpServer>
makeHttpServer(asio::io_context &context, const settings::Settings &settings,
               http::ICallHandler &handler) {
  // What the handler refuses with a code is let through this far.
  constexpr std::size_t HardFactor = 4;
  /// Beyond the longest deadline, for a reply on its way.
  constexpr std::chrono::seconds ReplyMargin{15};
  http::HttpServerOptions options;
  options.Address = settings.Callers.Address;
  options.Port = settings.Callers.Port;
  options.ReplyLimit = std::chrono::duration_cast<std::chrono::seconds>(
                           settings.Timing.LongestDeadline) +
                       ReplyMargin;
  options.MostHeaders = HardFactor * settings.Limits.Headers;
  options.MostBodyBytes = HardFactor * settings.Limits.BodyBytes;
  return http::startHttpServer(context, options, handler);
}

} // namespace stepledge::api
