// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The RESTinio server. Only HttpServer.cpp includes RESTinio, since
/// its headers take long to compile.

#ifndef STEPLEDGE_HTTP_HTTPSERVER_H
#define STEPLEDGE_HTTP_HTTPSERVER_H

#include "http/IHttpServer.h"
#include "http/types/HttpServerOptions.h"

#include <asio/io_context.hpp>

#include <memory>

namespace stepledge::http {

std::unique_ptr<IHttpServer> startHttpServer(asio::io_context &context,
                                             const HttpServerOptions &options,
                                             ICallHandler &handler);

} // namespace stepledge::http

#endif // STEPLEDGE_HTTP_HTTPSERVER_H
