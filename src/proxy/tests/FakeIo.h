// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Fake sockets and log that record the proxy's calls for the test.

#ifndef STEPLEDGE_PROXY_TESTS_FAKEIO_H
#define STEPLEDGE_PROXY_TESTS_FAKEIO_H

#include "proxy/Proxy.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace stepledge::proxy::tests {

class FakeIo : public IProxyIo, public IProxyLog, public IBorrowerIo {
public:
  void acceptClient(ClientId client) override { Accepted.insert(client); }
  void rejectClient(ClientId client, const StatementReply &reply) override {
    Rejected[client] = reply;
  }
  void answerClient(ClientId client, const StatementReply &reply) override {
    Answers[client].push_back(reply);
  }
  void closeClient(ClientId client) override { Closed.insert(client); }
  void holdClient(ClientId client) override { HeldClients.insert(client); }
  void releaseClient(ClientId client) override { HeldClients.erase(client); }
  bool hasUnsent() const override { return HasUnsent; }
  void openConnection(ConnectionId connection,
                      const ConnectionTarget &target) override {
    Opened[connection] = target;
  }
  void send(ConnectionId connection,
            const std::vector<InstanceCommand> &commands) override {
    for (const auto &it : commands)
      Sent[connection].push_back(it);
  }
  bool isLenderConnected(const std::string &ip) const override {
    return ConnectedLenders.contains(ip);
  }
  void sendBorrowed(ConnectionId connection,
                    const std::vector<InstanceCommand> &commands,
                    const BorrowNeeds &needs) override {
    (void)needs;
    send(connection, commands);
  }
  void closeConnection(ConnectionId connection) override {
    Opened.erase(connection);
  }
  void decision(const std::string &line) override { Lines.push_back(line); }
  void retried(ReplyCode code) override { Retried.push_back(code); }
  void heldBack() override { ++HeldBack; }
  void refusedByQuota(int priority) override {
    RefusedByQuota.push_back(priority);
  }
  void answerBorrower(const BorrowKey &key,
                      const std::vector<StatementReply> &replies) override {
    for (const auto &it : replies) {
      BorrowerReplies[key].push_back(it);
      ReportOrder.push_back("reply");
    }
  }
  void endBorrower(const BorrowKey &key, LendingEnd reason,
                   Duration expectedWait) override {
    BorrowerEnds[key] = reason;
    ReportedWaits[key] = expectedWait;
    ReportOrder.push_back("end");
  }

  bool HasUnsent = false;
  std::set<std::string> ConnectedLenders;
  std::set<ClientId> Accepted;
  std::map<ClientId, StatementReply> Rejected;
  std::map<ClientId, std::vector<StatementReply>> Answers;
  std::set<ClientId> Closed;
  std::set<ClientId> HeldClients;
  std::map<ConnectionId, ConnectionTarget> Opened;
  std::map<ConnectionId, std::deque<InstanceCommand>> Sent;
  std::vector<std::string> Lines;
  std::vector<ReplyCode> Retried;
  int HeldBack = 0;
  /// The priorities of the statements refused by quota.
  std::vector<int> RefusedByQuota;
  /// The replies and reports sent to borrowers.
  std::map<BorrowKey, std::vector<StatementReply>> BorrowerReplies;
  std::map<BorrowKey, LendingEnd> BorrowerEnds;
  std::map<BorrowKey, Duration> ReportedWaits;
  /// The kinds of these messages, in the order of sending.
  std::vector<std::string> ReportOrder;
};

} // namespace stepledge::proxy::tests

#endif // STEPLEDGE_PROXY_TESTS_FAKEIO_H
