// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The open connections to instances, by id.

#ifndef STEPLEDGE_DAEMON_INTERNAL_UPSTREAMSET_H
#define STEPLEDGE_DAEMON_INTERNAL_UPSTREAMSET_H

#include "request/types/Events.h"
#include "settings/types/Settings.h"
#include "upstream/IUpstreamConnection.h"

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace stepledge::daemon {

class UpstreamSet {
public:
  using Report = std::function<void(request::Event event)>;

  UpstreamSet(asio::io_context &context, const settings::Settings &settings,
              Report report);

  void open(const request::OpenConnection &wanted);
  void close(ConnectionId id);
  void run(const request::RunBatch &wanted);
  std::size_t size() const { return Connections.size(); }

private:
  std::string targetOf(const request::OpenConnection &wanted) const;

  asio::io_context &Context;
  const settings::Settings &Config;
  Report Tell;
  std::map<ConnectionId, std::unique_ptr<upstream::IUpstreamConnection>>
      Connections;
};

} // namespace stepledge::daemon

#endif // STEPLEDGE_DAEMON_INTERNAL_UPSTREAMSET_H
