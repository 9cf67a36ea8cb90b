// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What a process is told of its connections to other VMs.

#ifndef STEPLEDGE_PEER_IPEERLISTENER_H
#define STEPLEDGE_PEER_IPEERLISTENER_H

#include "peer/generated/Peer.pb.h"
#include "peer/types/LinkEnd.h"

#include <string>

namespace stepledge::peer {

class IPeerListener {
public:
  virtual ~IPeerListener() = default;

  /// A connection to \p ip, from either side, can be used.
  virtual void peerConnected(const std::string &ip, const wire::Hello &hello) {
    (void)ip;
    (void)hello;
  }
  virtual void peerLost(const std::string &ip, LinkEnd end) {
    (void)ip;
    (void)end;
  }
  /// Bytes have come from \p ip, of a message that needn't be whole yet: it is
  /// there, however long the message takes on the link.
  virtual void peerHeard(const std::string &ip) { (void)ip; }
  virtual void peerSaid(const std::string &ip,
                        const wire::Message &message) = 0;
};

} // namespace stepledge::peer

#endif // STEPLEDGE_PEER_IPEERLISTENER_H
