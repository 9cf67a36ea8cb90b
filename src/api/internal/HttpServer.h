// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The RESTinio server. Only HttpServer.cpp includes RESTinio, since
/// its headers take long to compile.

#ifndef STEPLEDGE_API_INTERNAL_HTTPSERVER_H
#define STEPLEDGE_API_INTERNAL_HTTPSERVER_H

#include "api/IHttpServer.h"
#include "settings/types/Settings.h"

#include <asio/io_context.hpp>

#include <memory>

namespace stepledge::api {

std::unique_ptr<IHttpServer> startHttpServer(asio::io_context &context,
                                             const settings::Settings &settings,
                                             ICallHandler &handler);

} // namespace stepledge::api

#endif // STEPLEDGE_API_INTERNAL_HTTPSERVER_H
