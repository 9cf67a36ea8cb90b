// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The mesh and the API as parts that a supervisor starts and stops.

#ifndef STEPLEDGE_DAEMON_INTERNAL_PARTS_H
#define STEPLEDGE_DAEMON_INTERNAL_PARTS_H

#include "api/ApiModule.h"
#include "daemon/ISupervised.h"
#include "daemon/internal/RequestService.h"
#include "mesh/MeshModule.h"

#include <memory>

namespace stepledge::daemon {

class MeshPart : public ISupervised {
public:
  MeshPart(asio::io_context &context, const settings::Settings &settings,
           RequestService &requests)
      : Context(context), Config(settings), Requests(requests) {}

  std::string name() const override { return "mesh"; }
  void start() override {
    Mesh = mesh::makeMesh(Context, Config);
    Requests.setMesh(Mesh.get());
  }
  void stop() override {
    Requests.setMesh(nullptr);
    Mesh.reset();
  }

private:
  asio::io_context &Context;
  const settings::Settings &Config;
  RequestService &Requests;
  std::unique_ptr<mesh::IMesh> Mesh;
};

class ApiPart : public ISupervised {
public:
  ApiPart(asio::io_context &context, const settings::Settings &settings,
          http::ICallHandler &handler)
      : Context(context), Config(settings), Handler(handler) {}

  std::string name() const override { return "api"; }
  void start() override {
    Server = api::makeHttpServer(Context, Config, Handler);
  }
  void stop() override { Server->stopListening(); }

private:
  asio::io_context &Context;
  const settings::Settings &Config;
  http::ICallHandler &Handler;
  std::unique_ptr<http::IHttpServer> Server;
};

} // namespace stepledge::daemon

#endif // STEPLEDGE_DAEMON_INTERNAL_PARTS_H
