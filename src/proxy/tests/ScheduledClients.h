// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Clients of a seeded schedule: each asks, waits for the answer and asks
/// again; what it is told is held against what the instances ran.

#ifndef STEPLEDGE_PROXY_TESTS_SCHEDULEDCLIENTS_H
#define STEPLEDGE_PROXY_TESTS_SCHEDULEDCLIENTS_H

#include "proxy/tests/SimulatedInstances.h"

#include <set>
#include <string>
#include <vector>

namespace stepledge::proxy::tests {

/// The configuration of all schedules: one service, one route for each policy.
/// Without \p organisations anybody may ask.
control::Configuration scheduleConfiguration(int mostConnections,
                                             int organisations = 0);

class ScheduledClients {
public:
  explicit ScheduledClients(SimulatedInstances &group) : Group(group) {}

  /// One more client, at \p proxy.
  void add(TimePoint now, Proxy &proxy);
  void step(TimePoint now);
  /// No client asks anything more.
  void finish() { IsAsking = false; }
  /// All that can be held against the promises; empty if they were kept.
  std::string check();
  int succeeded() const { return Succeeded; }

private:
  /// A commit that its client was told of.
  struct Acknowledged {
    std::string Write;
    TimePoint At{};
    std::uint64_t Client = 0;
  };
  struct Client {
    ClientId Id;
    Proxy *Front = nullptr;
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
  std::set<std::string> mustSee(const Client &client) const;
  void takeAnswers(Client &client);
  void take(Client &client, const StatementReply &reply);
  void checkHistory();

  SimulatedInstances &Group;
  TimePoint Now{};
  std::vector<Client> Clients;
  std::vector<Acknowledged> Acks;
  std::set<std::string> Promised;
  std::uint64_t LastId = 0;
  int Succeeded = 0;
  bool IsAsking = true;
  std::string Fault;
};

} // namespace stepledge::proxy::tests

#endif // STEPLEDGE_PROXY_TESTS_SCHEDULEDCLIENTS_H
