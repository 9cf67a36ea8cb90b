// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Two listeners to the same connections, each of which takes what is
/// meant for it.

#ifndef STEPLEDGE_PEER_LISTENERPAIR_H
#define STEPLEDGE_PEER_LISTENERPAIR_H

#include "peer/IPeerListener.h"

namespace stepledge::peer {

class ListenerPair : public IPeerListener {
public:
  ListenerPair(IPeerListener &first, IPeerListener &second)
      : First(first), Second(second) {}

  void peerConnected(const std::string &ip, const wire::Hello &hello) override {
    First.peerConnected(ip, hello);
    Second.peerConnected(ip, hello);
  }
  void peerLost(const std::string &ip, LinkEnd end) override {
    First.peerLost(ip, end);
    Second.peerLost(ip, end);
  }
  void peerHeard(const std::string &ip) override {
    First.peerHeard(ip);
    Second.peerHeard(ip);
  }
  void peerSaid(const std::string &ip, const wire::Message &message) override {
    First.peerSaid(ip, message);
    Second.peerSaid(ip, message);
  }

private:
  IPeerListener &First;
  IPeerListener &Second;
};

} // namespace stepledge::peer

#endif // STEPLEDGE_PEER_LISTENERPAIR_H
