// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Asks other entry VMs for the addresses of control VMs while none that
/// has a majority is heard, and answers those that ask.
///
/// All control VMs that a VM knows may have been replaced while it was cut off;
/// others have heard of their successors.

#ifndef STEPLEDGE_ENTRY_CONTROLSEARCH_H
#define STEPLEDGE_ENTRY_CONTROLSEARCH_H

#include "entry/BorrowedConnections.h"
#include "entry/EntryNode.h"
#include "peer/IPeerListener.h"
#include "peer/IPeerSender.h"

#include <cstddef>
#include <set>
#include <string>

namespace stepledge::entry {

class ControlSearch;

/// The connections by which others ask this VM.
class ControlSearchAskers : public peer::IPeerListener {
public:
  explicit ControlSearchAskers(ControlSearch &search) : Search(search) {}

  void setTime(TimePoint now) { (void)now; }
  void peerConnected(const std::string &ip,
                     const peer::wire::Hello &hello) override;
  void peerLost(const std::string &ip, peer::LinkEnd end) override;
  void peerSaid(const std::string &ip,
                const peer::wire::Message &message) override;

private:
  ControlSearch &Search;
};

/// Listens to the connections to those that are asked.
class ControlSearch : public peer::IPeerListener {
public:
  /// So many VMs are asked at once, and others after the interval: in a large
  /// fleet that has lost its control VMs, each VM is asked by as few.
  static constexpr std::size_t AskedAtOnce = 2;
  static constexpr Duration AskInterval = milliseconds(500);

  /// \p connections keeps the connections to those that are asked.
  ControlSearch(EntryNode &node, peer::IPeerSender &asked,
                peer::IPeerSender &askers, BorrowedConnections &connections,
                proxy::IProxyLog &log)
      : Node(node), Asked(asked), Askers(askers), Connections(connections),
        Log(log) {}

  void tick(TimePoint now);
  void setTime(TimePoint now) { (void)now; }
  /// The VM at \p ip asks.
  void answer(const std::string &ip);

  void peerConnected(const std::string &ip,
                     const peer::wire::Hello &hello) override;
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
  /// Those that are to be asked now, and those of them that were.
  std::set<std::string> Targets;
  std::set<std::string> AskedIps;
  /// The last VM in the rotation that was asked.
  std::string LastIp;
  TimePoint ChosenAt{};
};

} // namespace stepledge::entry

#endif // STEPLEDGE_ENTRY_CONTROLSEARCH_H
