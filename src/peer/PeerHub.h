// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The connections of one process to those on other VMs.

#ifndef STEPLEDGE_PEER_PEERHUB_H
#define STEPLEDGE_PEER_PEERHUB_H

#include "base/types/Time.h"
#include "peer/IPeerListener.h"
#include "peer/IPeerSender.h"
#include "peer/TrafficCount.h"
#include "peer/internal/ConnectSchedule.h"
#include "peer/internal/LinkWatch.h"
#include "peer/types/LinkState.h"

#include <asio.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace stepledge::peer {

class PeerLink;

class PeerHub : public IPeerSender {
public:
  PeerHub(asio::io_context &context, wire::Hello self, std::uint16_t port,
          IPeerListener &listener);
  ~PeerHub() override;
  PeerHub(const PeerHub &) = delete;
  PeerHub &operator=(const PeerHub &) = delete;

  /// Takes connections at \p ip.
  std::error_code listen(const std::string &ip);
  /// Keeps a connection open to each of \p ips, and to no others.
  void keepConnected(const std::set<std::string> &ips) override;
  /// Sends over the connection to \p ip that this side opened, else over the
  /// one that the other side opened; drops the message where there is none.
  bool send(const std::string &ip, const wire::Message &message) override;
  /// Whether a message still waits to be sent.
  bool hasUnsent() const;
  /// Opens and drops connections; call it some times a second.
  void tick(TimePoint now);
  const TrafficCount &traffic() const { return Traffic; }
  /// The connections to \p ip, at most one from each side.
  std::vector<LinkState> linksTo(const std::string &ip) const;

private:
  struct Try {
    std::shared_ptr<asio::ip::tcp::socket> Socket;
    TimePoint StartedAt{};
  };
  struct Outgoing {
    std::shared_ptr<PeerLink> Link;
    /// The first that is answered becomes the connection.
    std::vector<Try> Tries;
    ConnectSchedule Schedule;
    /// Set while there is a connection.
    std::optional<LinkWatch> Watch;
  };
  struct Incoming {
    std::shared_ptr<PeerLink> Link;
    std::uint64_t Number = 0;
    TimePoint HeardAt{};
  };

  void accept();
  /// Pings \p outgoing if that is due; false if its connection is dead.
  bool keepAlive(TimePoint now, Outgoing &outgoing);
  void take(asio::ip::tcp::socket socket);
  void open(TimePoint now, const std::string &ip, Outgoing &outgoing);
  void tryEnded(const std::string &ip,
                const std::shared_ptr<asio::ip::tcp::socket> &socket,
                std::error_code ec);
  void opened(const std::string &ip, asio::ip::tcp::socket socket);
  /// Sends over \p link, and counts the message.
  void sendOn(PeerLink &link, const wire::Message &message);

  asio::io_context &Context;
  wire::Hello Self;
  std::uint16_t Port;
  IPeerListener &Listener;
  asio::ip::tcp::acceptor Acceptor;
  std::map<std::string, Outgoing> OutgoingLinks;
  std::map<std::string, Incoming> IncomingLinks;
  std::set<std::shared_ptr<PeerLink>> Unnamed;
  std::uint64_t LastNumber = 0;
  TrafficCount Traffic;
  TimePoint Now{};
};

} // namespace stepledge::peer

#endif // STEPLEDGE_PEER_PEERHUB_H
