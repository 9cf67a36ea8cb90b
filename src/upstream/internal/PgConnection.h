// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A libpq connection in pipeline mode, driven by Asio.

#ifndef STEPLEDGE_UPSTREAM_INTERNAL_PGCONNECTION_H
#define STEPLEDGE_UPSTREAM_INTERNAL_PGCONNECTION_H

#include "upstream/IUpstreamConnection.h"

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <libpq-fe.h>

#include <memory>
#include <string>

namespace stepledge::upstream {

class PgConnection : public IUpstreamConnection {
public:
  PgConnection(asio::io_context &context, const std::string &target,
               ConnectionEvents events);
  ~PgConnection() override;

  void run(const Batch &batch) override;

private:
  /// Shared with pending callbacks, which find it dead after destruction.
  struct Liveness {
    bool Alive = true;
  };
  struct Closer {
    void operator()(PGconn *it) const { PQfinish(it); }
  };

  template <typename Handler> void wait(bool forWrite, Handler handler);
  void adoptSocket();
  void pollConnect(PostgresPollingStatusType next);
  void opened();
  void readMore();
  void flushMore();
  void drain();
  bool takeResult();
  static void takeTuples(const PGresult &result, StepResult &step);
  void finishBatch();
  void close(const std::string &reason);

  asio::io_context &Context;
  ConnectionEvents Events;
  std::shared_ptr<Liveness> Life = std::make_shared<Liveness>();
  std::unique_ptr<PGconn, Closer> Connection;
  asio::posix::stream_descriptor Socket;
  bool Closed = false;
  bool Flushing = false;

  Batch Current;
  BatchResult Result;
  std::size_t StepsDone = 0;
  std::size_t SyncsLeft = 0;
  bool Running = false;
};

} // namespace stepledge::upstream

#endif // STEPLEDGE_UPSTREAM_INTERNAL_PGCONNECTION_H
