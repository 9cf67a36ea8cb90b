// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "proxy/tests/ScheduledClients.h"

#include <map>
#include <utility>

namespace stepledge::proxy::tests {

using control::ReadPolicy;

namespace {

constexpr Duration Staleness = milliseconds(1500);

constexpr std::pair<const char *, ReadPolicy> Policies[] = {
    {"current", ReadPolicy::Current},
    {"bounded", ReadPolicy::BoundedStaleness},
    {"own", ReadPolicy::ReadYourWrites},
};

} // namespace

control::Configuration scheduleConfiguration(int maxConnections,
                                             int organisations) {
  control::Configuration configuration;
  configuration.Version = 1;
  configuration.Services["db"] = {"db", maxConnections, 0};
  configuration.TransactionIdleLimit = milliseconds(3000);
  for (const auto &[name, policy] : Policies) {
    control::Route route;
    route.Database = DatabaseId(name);
    route.Service = "db";
    route.Policy = policy;
    route.StatementTimeout = milliseconds(800);
    route.LatencyObjective = milliseconds(200);
    route.MaxStaleness = Staleness;
    configuration.Routes[route.Database] = route;
  }
  configuration.HasOrganisations = organisations > 0;
  for (int i = 0; i < organisations; ++i) {
    control::Organisation organisation;
    organisation.Id = OrganisationId("o" + std::to_string(i));
    organisation.Keys = {KeyDigest::of(organisation.Id.str())};
    configuration.Organisations[organisation.Id] = organisation;
  }
  return configuration;
}

void ScheduledClients::add(TimePoint now, Proxy &proxy) {
  const std::uint64_t i = Clients.size();
  const auto &[name, policy] = Policies[i % std::size(Policies)];
  Client client;
  client.Id = ClientId{i + 1};
  client.Server = &proxy;
  client.View.Client = i + 1;
  client.Policy = policy;
  const auto organisations = proxy.configuration().Organisations.size();
  if (organisations > 0)
    client.View.Organisation =
        OrganisationId("o" + std::to_string(i % organisations));
  proxy.clientConnected(now, client.Id, DatabaseId(name),
                        KeyDigest::of(client.View.Organisation.str()));
  Clients.push_back(client);
}

void ScheduledClients::step(TimePoint now) {
  Now = now;
  for (auto &it : Clients) {
    handleReplies(it);
    if (!it.IsAwaiting && IsAsking && pick(8) == 0)
      ask(it);
  }
}

std::string ScheduledClients::check() {
  for (const auto &it : Clients)
    if (it.IsAwaiting)
      Fault = "no answer to " + it.AskedId;
  checkHistory();
  return Fault.empty() ? Group.fault() : Fault;
}

void ScheduledClients::ask(Client &client) {
  ClientStatement statement;
  statement.Id = "s" + std::to_string(++LastId);
  const std::uint64_t choice = pick(12);
  if (client.HasFailed) {
    statement.Kind = StatementKind::Rollback;
  } else if (client.IsOpen && choice < 3) {
    statement.Kind =
        choice == 0 ? StatementKind::Rollback : StatementKind::Commit;
  } else if (!client.IsOpen && choice == 3) {
    statement.Kind = StatementKind::Begin;
  } else if (!client.IsOpen && choice == 4) {
    statement.Kind = StatementKind::Set;
    statement.Name = "v" + std::to_string(pick(2));
    statement.Value = std::to_string(pick(3));
    client.View.Values[statement.Name] = statement.Value;
  } else if (!client.IsOpen && choice == 5) {
    statement.Kind = StatementKind::Prepare;
    statement.Name = "p" + std::to_string(pick(2));
    statement.Value = "shape" + std::to_string(pick(4));
    statement.Mode = pick(2) ? AccessMode::Write : AccessMode::Read;
    client.View.Prepared[statement.Name] = {statement.Mode, statement.Value};
  } else if (choice == 6 && !client.View.Prepared.empty()) {
    statement.Kind = StatementKind::Execute;
    statement.Name = client.View.Prepared.begin()->first;
    statement.Value = "x";
    statement.Mode = client.View.Prepared.begin()->second.Mode;
  } else if (choice < 9) {
    statement.Kind = StatementKind::Write;
    statement.Mode = AccessMode::Write;
  } else {
    statement.Kind = StatementKind::Read;
  }
  statement.Text = textOf(statement);
  client.IsAwaiting = true;
  client.Asked = statement.Kind;
  client.Mode = statement.Mode;
  client.AskedId = statement.Id;
  client.AskedAt = Now;
  Group.Views[statement.Id] = client.View;
  // NOTE: what the reads of a transaction must see is set by its first
  // statement.
  if (!client.IsOpen)
    Group.RequiredWrites[statement.Id] = requiredWrites(client);
  if (statement.Mode == AccessMode::Write &&
      (statement.Kind == StatementKind::Write ||
       statement.Kind == StatementKind::Execute))
    client.Writes.push_back(statement.Id);
  client.Server->statementReceived(Now, client.Id, statement);
}

std::string ScheduledClients::textOf(const ClientStatement &statement) {
  switch (statement.Kind) {
  case StatementKind::Commit:
    return "COMMIT";
  case StatementKind::Write:
    return "WRITE x " + statement.Id;
  default:
    return "READ x";
  }
}

std::set<std::string>
ScheduledClients::requiredWrites(const Client &client) const {
  std::set<std::string> writes;
  for (const auto &it : AcknowledgedWrites) {
    const bool isOwn = it.Client == client.View.Client;
    const bool isOld = it.At + Staleness <= Now;
    if (client.Policy == ReadPolicy::Current || isOld ||
        (client.Policy == ReadPolicy::ReadYourWrites && isOwn))
      writes.insert(it.Write);
  }
  return writes;
}

void ScheduledClients::handleReplies(Client &client) {
  auto &answers = Group.Answers[client.Id];
  while (!answers.empty()) {
    const StatementReply reply = answers.front();
    answers.pop_front();
    if (!client.IsAwaiting) {
      Fault = "an answer without a statement";
      return;
    }
    handleReply(client, reply);
  }
}

void ScheduledClients::handleReply(Client &client,
                                   const StatementReply &reply) {
  client.IsAwaiting = false;
  const bool isLocal = client.Asked == StatementKind::Begin ||
                       client.Asked == StatementKind::Set ||
                       client.Asked == StatementKind::Prepare ||
                       client.Asked == StatementKind::Rollback;
  const bool isSuccess = reply.Code == ReplyCode::Success;
  Succeeded += isSuccess;
  if (isSuccess && !isLocal && reply.Signature != "signed " + client.AskedId)
    Fault = "a success without its signature: " + client.AskedId;
  const bool wasOpen = client.IsOpen;
  client.IsOpen = reply.State == SessionState::InTransaction;
  client.HasFailed = reply.State == SessionState::Failed;
  const bool ends = !client.IsOpen && !client.HasFailed;
  const bool isCommitted =
      isSuccess &&
      (client.Asked == StatementKind::Commit || (!wasOpen && !isLocal));
  if (isCommitted)
    for (const auto &it : client.Writes)
      AcknowledgedWrites.push_back({it, Now, client.View.Client});
  // Every code but these reports that nothing of the attempt takes effect.
  const bool isReportedUndone =
      !isSuccess && reply.Code != ReplyCode::OutcomeUnknown &&
      reply.Code != ReplyCode::TimedOut && reply.Code != ReplyCode::Malformed;
  const bool isRolledBack = client.Asked == StatementKind::Rollback;
  if (isReportedUndone || (isRolledBack && isSuccess))
    for (const auto &it : client.Writes)
      ReportedUndone.insert(it);
  if (ends || isReportedUndone)
    client.Writes.clear();
}

void ScheduledClients::checkHistory() {
  std::map<std::string, int> runs;
  for (const auto &commit : Group.history())
    for (const auto &it : commit.Writes)
      ++runs[it];
  for (const auto &[write, n] : runs) {
    if (n > 1)
      Fault = "a write was committed twice: " + write;
    if (ReportedUndone.contains(write))
      Fault = "a write reported as undone was committed: " + write;
  }
}

} // namespace stepledge::proxy::tests
