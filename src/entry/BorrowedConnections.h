// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The borrower's side of connections that other VMs lend: passes the
/// proxy's commands on to the lenders and their replies back, and finds out
/// when a lender has gone. All else goes to the sockets of this VM.

#ifndef STEPLEDGE_ENTRY_BORROWEDCONNECTIONS_H
#define STEPLEDGE_ENTRY_BORROWEDCONNECTIONS_H

#include "base/types/Time.h"
#include "entry/internal/LendingPartner.h"
#include "peer/IPeerListener.h"
#include "peer/IPeerSender.h"
#include "proxy/Proxy.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace stepledge::entry {

struct BorrowOptions {
  /// A lender that says nothing for this long while it owes an answer is taken
  /// for gone; it says that it is there each 100 ms.
  Duration SilenceLimit = milliseconds(400);
  /// How often each side of an open use says that it is there.
  Duration AliveInterval = milliseconds(100);
  /// A borrower that says nothing for this long has gone.
  Duration BorrowerLimit = milliseconds(1500);
};

/// What a connection to another entry VM is kept for, beside borrowing.
enum class KeptFor {
  Quota,
  ControlDiscovery,
};

class BorrowedConnections : public proxy::IProxyIo, public peer::IPeerListener {
public:
  BorrowedConnections(proxy::ISocketIo &sockets, peer::IPeerSender &lenders,
                      proxy::IProxyLog &log, BorrowOptions options = {})
      : Sockets(sockets), Lenders(lenders), Log(log), Options(options) {}

  void setProxy(proxy::Proxy &proxy) { Proxy = &proxy; }
  /// VMs to stay connected to beside the lenders, by the same connections.
  void keepAlso(KeptFor purpose, std::set<std::string> ips);
  void tick(TimePoint now);
  /// Of lenders.
  void peerConnected(const std::string &ip,
                     const peer::wire::Hello &hello) override;
  void peerLost(const std::string &ip, peer::LinkEnd end) override;
  void peerHeard(const std::string &ip) override;
  void peerSaid(const std::string &ip,
                const peer::wire::Message &message) override;
  /// The present time for what lenders say; set before each event.
  void setTime(TimePoint now) { Now = now; }

  void acceptClient(proxy::ClientId client) override {
    Sockets.acceptClient(client);
  }
  void rejectClient(proxy::ClientId client,
                    const proxy::StatementReply &reply) override {
    Sockets.rejectClient(client, reply);
  }
  void answerClient(proxy::ClientId client,
                    const proxy::StatementReply &reply) override {
    Sockets.answerClient(client, reply);
  }
  void closeClient(proxy::ClientId client) override {
    Sockets.closeClient(client);
  }
  void holdClient(proxy::ClientId client) override {
    Sockets.holdClient(client);
  }
  void releaseClient(proxy::ClientId client) override {
    Sockets.releaseClient(client);
  }
  void openConnection(ConnectionId connection,
                      const proxy::ConnectionTarget &target) override;
  void send(ConnectionId connection,
            const std::vector<proxy::InstanceCommand> &commands) override {
    Sockets.send(connection, commands);
  }
  bool isLenderConnected(const std::string &ip) const override;
  void sendBorrowed(ConnectionId connection,
                    const std::vector<proxy::InstanceCommand> &commands,
                    const proxy::BorrowNeeds &needs) override;
  void closeConnection(ConnectionId connection) override;

private:
  struct Borrowed {
    std::string LenderIp;
    std::string Service;
    InstanceId Instance;
    std::optional<OrganisationId> Organisation;
    bool IsReady = false;
    /// Commands without a reply.
    int Outstanding = 0;
    proxy::SessionState State = proxy::SessionState::Idle;
    TimePoint AskedAt{};
    bool isInUse() const {
      return Outstanding > 0 || State != proxy::SessionState::Idle;
    }
  };
  struct LenderState : LendingPartner {
    bool IsConnected = false;
    /// It was asked for connections to instances.
    bool IsLender = false;
  };

  void takeReplies(const peer::wire::BorrowReplies &replies);
  void takeEnd(const peer::wire::BorrowEnd &end);
  void sendEnd(const Borrowed &borrowed, ConnectionId connection);
  void tell(const std::string &lender, const peer::wire::Message &message);
  /// Marks the connections whose lenders have since been connected as ready.
  std::vector<ConnectionId> noteReady();
  std::set<std::string> lendersInUse() const;
  /// Those that owe an answer and have said nothing for too long.
  std::set<std::string> silentLenders();
  void giveUpLender(const std::string &ip);
  /// Forgets VMs at \p ips to which a connection was kept for something else
  /// than borrowing.
  void forgetOthers(const std::set<std::string> &ips);
  void keepLenders();
  /// Forgets lenders that can't be reached and that nothing needs any more.
  void dropUnusedLenders();

  proxy::ISocketIo &Sockets;
  peer::IPeerSender &Lenders;
  proxy::IProxyLog &Log;
  BorrowOptions Options;
  proxy::Proxy *Proxy = nullptr;
  std::map<ConnectionId, Borrowed> Connections;
  std::map<std::string, LenderState> States;
  std::map<KeptFor, std::set<std::string>> AlsoKept;
  TimePoint Now{};
};

} // namespace stepledge::entry

#endif // STEPLEDGE_ENTRY_BORROWEDCONNECTIONS_H
