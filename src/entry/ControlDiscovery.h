// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Asks other entry VMs for the addresses of control VMs while none that
/// has a majority is heard, and answers those that ask.
///
/// All control VMs that a VM knows may have been replaced while it was cut off;
/// others have heard of their successors.

#ifndef STEPLEDGE_ENTRY_CONTROLDISCOVERY_H
#define STEPLEDGE_ENTRY_CONTROLDISCOVERY_H

#include "entry/BorrowedConnections.h"
#include "entry/EntryNode.h"
#include "peer/IPeerListener.h"
#include "peer/IPeerSender.h"

#include <cstddef>
#include <set>
#include <string>

namespace stepledge::entry {

class ControlDiscovery;

/// The connections by which others ask this VM.
class ControlDiscoveryAskers : public peer::IPeerListener {
public:
  explicit ControlDiscoveryAskers(ControlDiscovery &discovery)
      : Discovery(discovery) {}

  void peerSaid(const std::string &ip,
                const peer::wire::Message &message) override;

private:
  ControlDiscovery &Discovery;
};

/// Listens to the connections to those that are asked.
class ControlDiscovery : public peer::IPeerListener {
public:
  /// VMs that are asked at the same time, so that one that is gone delays
  /// nothing. Where a whole fleet searches, each VM is asked by as few.
  static constexpr std::size_t ConcurrentQueries = 2;
  /// From one choice of VMs to the next: a new connection and its answer take
  /// some tens of milliseconds.
  static constexpr Duration QueryInterval = milliseconds(500);

  /// \p connections keeps the connections to those that are asked.
  ControlDiscovery(EntryNode &node, peer::IPeerSender &asked,
                   peer::IPeerSender &askers, BorrowedConnections &connections,
                   proxy::IProxyLog &log)
      : Node(node), Asked(asked), Askers(askers), Connections(connections),
        Log(log) {}

  void tick(TimePoint now);
  /// Its events need no time.
  void setTime(TimePoint now) { (void)now; }
  /// The VM at \p ip asks.
  void answer(const std::string &ip);

  void peerLost(const std::string &ip, peer::LinkEnd end) override;
  void peerSaid(const std::string &ip,
                const peer::wire::Message &message) override;

private:
  void chooseNext();
  void askConnected();

  EntryNode &Node;
  peer::IPeerSender &Asked;
  peer::IPeerSender &Askers;
  BorrowedConnections &Connections;
  proxy::IProxyLog &Log;
  /// The VMs to ask in this interval, and those of them that have been asked.
  std::set<std::string> Targets;
  std::set<std::string> AskedIps;
  /// The last VM in the rotation that was asked.
  std::string LastIp;
  TimePoint ChosenAt{};
};

} // namespace stepledge::entry

#endif // STEPLEDGE_ENTRY_CONTROLDISCOVERY_H
