// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What the proxy's decisions ask of the sockets around them.

#ifndef STEPLEDGE_PROXY_IPROXYIO_H
#define STEPLEDGE_PROXY_IPROXYIO_H

#include "base/types/Ids.h"
#include "base/types/Time.h"
#include "proxy/types/InstanceCommand.h"
#include "proxy/types/StatementReply.h"
#include "scheduling/types/WaitRank.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace stepledge::proxy {

using ClientId = NumberedId<struct ClientTag>;
using SessionValues = std::map<std::string, std::string>;

/// What the lender of a connection has to know beside the commands.
struct BorrowNeeds {
  /// Set before a client's statement.
  SessionValues Values;
  /// Its place among those that wait.
  scheduling::WaitRank Rank;
  /// The borrower has connections of its own to wait for, so the lender refuses
  /// at once unless one of its connections is free.
  bool NeedsFreeNow = false;
};

/// Where a connection goes.
struct ConnectionTarget {
  std::string Address;
  std::string Service;
  InstanceId Instance;
  /// For whom; none for a borrowed one that carries the proxy's own questions.
  std::optional<OrganisationId> Organisation;
  /// The VM that lends a connection of its own for each use; empty for an own
  /// connection.
  std::string LenderIp;
  bool isBorrowed() const { return !LenderIp.empty(); }
};

/// The sockets of clients and instances.
class ISocketIo {
public:
  virtual ~ISocketIo() = default;

  virtual void acceptClient(ClientId client) = 0;
  /// Tells the client why it is refused, and closes its connection.
  virtual void rejectClient(ClientId client, const StatementReply &reply) = 0;
  virtual void answerClient(ClientId client, const StatementReply &reply) = 0;
  virtual void closeClient(ClientId client) = 0;

  virtual void openConnection(ConnectionId connection,
                              const ConnectionTarget &target) = 0;
  /// Sends all of \p commands in one write.
  virtual void send(ConnectionId connection,
                    const std::vector<InstanceCommand> &commands) = 0;
  virtual void closeConnection(ConnectionId connection) = 0;
};

/// The same, and connections that other VMs lend: ConnectionTarget tells them
/// apart.
class IProxyIo : public ISocketIo {
public:
  /// A connection that is borrowed from this VM carries commands at once, since
  /// the VM itself is connected; otherwise connectionReady() tells when it
  /// does.
  virtual bool isLenderConnected(const std::string &ip) const = 0;
  /// Sends all of \p commands on a borrowed connection.
  virtual void sendBorrowed(ConnectionId connection,
                            const std::vector<InstanceCommand> &commands,
                            const BorrowNeeds &needs) = 0;
};

enum class LendingEnd;
enum class SessionEnd;

/// Told of each decision that changes a request's way or its result.
class IProxyLog {
public:
  virtual ~IProxyLog() = default;
  virtual void decision(const std::string &line) = 0;
  /// A statement that an instance had to run is answered.
  virtual void answered(ReplyCode code, Duration took) {
    (void)code;
    (void)took;
  }
  /// A statement that was not run is on its way to another instance.
  virtual void retried(ReplyCode code) { (void)code; }
  /// A statement was refused as not run: at once for want of room, or after it
  /// had waited for room, a primary or its quota.
  virtual void refusedForRoom(bool isAtOnce) { (void)isAtOnce; }
  /// A use of another VM was refused as not run.
  virtual void lendRefused(LendingEnd reason) { (void)reason; }
  /// This VM has ended a client's session.
  virtual void sessionEnded(SessionEnd reason) { (void)reason; }
  /// A statement came after its session's end.
  virtual void unanswered(const std::string &reason) { (void)reason; }
  /// A client left before its statement was answered; \p wasSent: an instance
  /// had it.
  virtual void givenUp(bool wasSent) { (void)wasSent; }
  /// A statement is beyond its organisation's quota.
  virtual void refusedByQuota(int priority) { (void)priority; }
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_IPROXYIO_H
