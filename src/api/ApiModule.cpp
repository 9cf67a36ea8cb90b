// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "api/ApiModule.h"

#include "api/internal/CallHandler.h"
#include "api/internal/HttpServer.h"

namespace stepledge::api {

std::unique_ptr<ICallHandler>
makeCallHandler(const settings::Settings &settings,
                const session::ITokenCodec &tokens, IRequestGateway &gateway) {
  return std::make_unique<CallHandler>(settings, tokens, gateway);
}

std::unique_ptr<IHttpServer> makeHttpServer(asio::io_context &context,
                                            const settings::Settings &settings,
                                            ICallHandler &handler) {
  return startHttpServer(context, settings, handler);
}

} // namespace stepledge::api
