// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The interfaces through which the proxy uses sockets and logs
/// decisions.

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

/// What the lender of a connection needs beside the commands.
struct BorrowNeeds {
  /// The session values to set before a client's statement.
  SessionValues Values;
  /// The statement's rank among those that wait.
  scheduling::WaitRank Rank;
  /// The borrower has own connections to wait for, so the lender refuses at
  /// once unless one of its connections is free.
  bool NeedsFreeNow = false;
};

/// The endpoint of a connection.
struct ConnectionTarget {
  std::string Address;
  std::string Service;
  InstanceId Instance;
  /// The organisation whose statements it carries; none for one, own or
  /// borrowed, that is opened for probes where connections belong to
  /// organisations.
  std::optional<OrganisationId> Organisation;
  /// The VM that lends one of its connections for each borrow; empty for an own
  /// connection.
  std::string LenderIp;
  bool isBorrowed() const { return !LenderIp.empty(); }
};

/// The sockets to clients and instances.
class ISocketIo {
public:
  virtual ~ISocketIo() = default;

  virtual void acceptClient(ClientId client) = 0;
  /// Sends the client the reason of the refusal, and closes its connection.
  virtual void rejectClient(ClientId client, const StatementReply &reply) = 0;
  virtual void answerClient(ClientId client, const StatementReply &reply) = 0;
  virtual void closeClient(ClientId client) = 0;
  /// Nothing more of the client is read until releaseClient().
  virtual void holdClient(ClientId client) { (void)client; }
  /// Reads on; the client's statements come after this call has returned.
  virtual void releaseClient(ClientId client) { (void)client; }
  /// Whether something for a client still waits to be sent, as its connection
  /// takes no more for now.
  virtual bool hasUnsent() const { return false; }

  virtual void openConnection(ConnectionId connection,
                              const ConnectionTarget &target) = 0;
  /// Sends all of \p commands in one write.
  virtual void send(ConnectionId connection,
                    const std::vector<InstanceCommand> &commands) = 0;
  virtual void closeConnection(ConnectionId connection) = 0;
};

/// Adds the connections that other VMs lend; ConnectionTarget distinguishes
/// them from own ones.
class IProxyIo : public ISocketIo {
public:
  /// Whether the VM at \p ip is connected, so that a connection borrowed from
  /// it carries commands at once; otherwise it does so after connectionReady().
  virtual bool isLenderConnected(const std::string &ip) const = 0;
  /// Sends all of \p commands on a borrowed connection.
  virtual void sendBorrowed(ConnectionId connection,
                            const std::vector<InstanceCommand> &commands,
                            const BorrowNeeds &needs) = 0;
};

enum class AnswerFault;
enum class LendingEnd;
enum class SessionEnd;

/// Receives each decision that changes a request's route or its result.
class IProxyLog {
public:
  virtual ~IProxyLog() = default;
  virtual void decision(const std::string &line) = 0;
  /// A statement that an instance had to run is answered, also with a refusal.
  virtual void answered(ReplyCode code, Duration took) {
    (void)code;
    (void)took;
  }
  /// A statement that was refused or got no answer is to be sent again, to
  /// another instance or the same one. Without an answer it may have run.
  virtual void retried(ReplyCode code) { (void)code; }
  /// A statement was refused as not run: at once for lack of capacity, or after
  /// it had waited for capacity, a primary or its quota.
  virtual void refusedForCapacity(bool isAtOnce) { (void)isAtOnce; }
  /// A borrow of another VM was refused as not run.
  virtual void lendRefused(LendingEnd reason) { (void)reason; }
  /// This VM has ended a client's session.
  virtual void sessionEnded(SessionEnd reason) { (void)reason; }
  /// A statement arrived after its session's end.
  virtual void unanswered(const std::string &reason) { (void)reason; }
  /// A client disconnected before its statement was answered; \p wasSent if the
  /// statement had been sent to an instance.
  virtual void givenUp(bool wasSent) { (void)wasSent; }
  /// An answer on an own connection can't be the one to what was asked there.
  virtual void answerMismatch(AnswerFault fault) { (void)fault; }
  /// An own connection has answered an error of a code that it had answered
  /// before, which may be the second answer to the earlier command.
  virtual void errorRepeated(ReplyCode code) { (void)code; }
  /// A client has as many statements unanswered as it may have.
  virtual void heldBack() {}
  /// A statement was refused because its organisation's quota is used up.
  virtual void refusedByQuota(int priority) { (void)priority; }
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_IPROXYIO_H
