// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Set-up of the api module.

#ifndef STEPLEDGE_API_APIMODULE_H
#define STEPLEDGE_API_APIMODULE_H

#include "api/IRequestGateway.h"
#include "http/IHttpServer.h"
#include "session/ITokenCodec.h"
#include "settings/types/Settings.h"

#include <asio/io_context.hpp>

#include <memory>

namespace stepledge::api {

std::unique_ptr<http::ICallHandler>
makeCallHandler(const settings::Settings &settings,
                const session::ITokenCodec &tokens, IRequestGateway &gateway);

/// Listens at once. Throws std::exception where the address can't be.
std::unique_ptr<http::IHttpServer>
makeHttpServer(asio::io_context &context, const settings::Settings &settings,
               http::ICallHandler &handler);

} // namespace stepledge::api

#endif // STEPLEDGE_API_APIMODULE_H
