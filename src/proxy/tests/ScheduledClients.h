// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Clients of a seeded schedule: each sends a statement, waits for the
/// answer and sends the next; the answers are checked against what the
/// instances ran.

#ifndef STEPLEDGE_PROXY_TESTS_SCHEDULEDCLIENTS_H
#define STEPLEDGE_PROXY_TESTS_SCHEDULEDCLIENTS_H

#include "proxy/tests/SimulatedInstances.h"

#include <set>
#include <string>
#include <vector>

namespace stepledge::proxy::tests {

/// The configuration of all schedules: one service, one route for each policy.
/// Without \p organisations clients need no key.
control::Configuration scheduleConfiguration(int maxConnections,
                                             int organisations = 0);

class ScheduledClients {
public:
  explicit ScheduledClients(SimulatedInstances &group) : Group(group) {}

  /// Adds a client that is connected to \p proxy.
  void add(TimePoint now, Proxy &proxy);
  void step(TimePoint now);
  /// No client sends further statements.
  void finish() { IsAsking = false; }
  /// A guarantee that was violated; empty if there is none.
  std::string check();
  int succeeded() const { return Succeeded; }

private:
  /// A write whose commit was acknowledged to its client.
  struct AcknowledgedWrite {
    std::string Write;
    TimePoint At{};
    std::uint64_t Client = 0;
  };
  struct Client {
    ClientId Id;
    Proxy *Server = nullptr;
    control::ReadPolicy Policy = control::ReadPolicy::Current;
    SimulatedInstances::ClientView View;
    bool IsAwaiting = false;
    StatementKind Asked = StatementKind::Read;
    AccessMode Mode = AccessMode::Read;
    std::string AskedId;
    TimePoint AskedAt{};
    bool IsOpen = false;
    bool HasFailed = false;
    std::vector<std::string> Writes;
  };

  std::uint64_t pick(std::uint64_t n) { return Group.random()() % n; }
  void ask(Client &client);
  static std::string textOf(const ClientStatement &statement);
  std::set<std::string> requiredWrites(const Client &client) const;
  void handleReplies(Client &client);
  void handleReply(Client &client, const StatementReply &reply);
  void checkHistory();

  SimulatedInstances &Group;
  TimePoint Now{};
  std::vector<Client> Clients;
  std::vector<AcknowledgedWrite> AcknowledgedWrites;
  std::set<std::string> ReportedUndone;
  std::uint64_t LastId = 0;
  int Succeeded = 0;
  bool IsAsking = true;
  std::string Fault;
};

} // namespace stepledge::proxy::tests

#endif // STEPLEDGE_PROXY_TESTS_SCHEDULEDCLIENTS_H
