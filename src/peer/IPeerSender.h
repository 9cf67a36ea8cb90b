// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Sending to other VMs, as the deciding parts see it.

#ifndef STEPLEDGE_PEER_IPEERSENDER_H
#define STEPLEDGE_PEER_IPEERSENDER_H

#include "peer/generated/Peer.pb.h"

#include <set>
#include <string>

namespace stepledge::peer {

class IPeerSender {
public:
  virtual ~IPeerSender() = default;

  /// False where no connection to \p ip is open; the message is dropped.
  virtual bool send(const std::string &ip, const wire::Message &message) = 0;
  /// Keeps a connection open to each of \p ips, and to no others.
  virtual void keepConnected(const std::set<std::string> &ips) = 0;
};

} // namespace stepledge::peer

#endif // STEPLEDGE_PEER_IPEERSENDER_H
