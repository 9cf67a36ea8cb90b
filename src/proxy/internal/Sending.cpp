// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The part of Proxy that sends commands on a connection and frees the
/// connection afterwards.

#include "proxy/Proxy.h"

#include <utility>

namespace stepledge::proxy {

namespace {

InstanceCommand commandOf(CommandKind kind) {
  InstanceCommand command;
  command.Kind = kind;
  return command;
}

/// The client's statement for \p connection, which may need \p setup first.
InstanceCommand clientCommand(ClientSession &session,
                              InstanceConnection &connection,
                              std::vector<InstanceCommand> &setup) {
  const auto &statement = session.Current->Statement;
  auto command = commandOf(CommandKind::ClientText);
  command.Id = statement.Id;
  command.Text = statement.Text;
  if (statement.Kind == StatementKind::Commit)
    command.Due = DueAnswer::Commit;
  else
    command.Due = session.Current->Mode == AccessMode::Read
                      ? DueAnswer::Rows
                      : DueAnswer::Signature;
  if (statement.Kind != StatementKind::Execute)
    return command;
  const auto &prepared = session.Prepared[statement.Name];
  command.Kind = CommandKind::ClientExecute;
  command.Mode = prepared.Mode;
  command.Shape = prepared.Shape;
  command.Value = statement.Value;
  if (!connection.isBorrowed())
    command.Name = preparedName(connection, prepared, setup);
  return command;
}

} // namespace

void Proxy::sendBegin(TimePoint now, ClientSession &session,
                      InstanceConnection &connection,
                      const std::optional<Mark> &minimum) {
  auto &work = *session.Current;
  removeFromQueue(session);
  work.Stage = StatementStage::Beginning;
  work.SentAt = now;
  work.Connection = connection.Id;
  work.Minimum = minimum;
  ++work.SendCount;
  connection.Owner = session.Id;
  auto begin = commandOf(minimum ? CommandKind::BeginRead : CommandKind::Begin);
  begin.MinimumPosition = minimum;
  transmit(now, connection, {{std::move(begin), Purpose::Begin}},
           {{},
            rankOf(session),
            Pool.ownCount(connection.Instance, session.Organisation) > 0});
}

void Proxy::sendStatement(TimePoint now, ClientSession &session,
                          InstanceConnection &connection,
                          const std::optional<Mark> &minimum) {
  auto &work = *session.Current;
  removeFromQueue(session);
  // NOTE: a borrowed connection is set up by its lender.
  std::vector<InstanceCommand> setup;
  if (!connection.isBorrowed())
    setup = valueSetup(connection, session.Values);
  auto command = clientCommand(session, connection, setup);
  command.MinimumPosition = minimum;
  std::vector<OutgoingCommand> batch;
  batch.reserve(setup.size() + 2);
  for (auto &it : setup)
    batch.push_back({std::move(it), Purpose::Setup});
  batch.push_back({std::move(command), Purpose::Statement});
  if (work.IsWrapped)
    batch.push_back({commandOf(CommandKind::Rollback), Purpose::End});
  if (work.Stage != StatementStage::Beginning) {
    work.Minimum = minimum;
    ++work.SendCount;
  }
  work.Stage = StatementStage::Sent;
  work.SentAt = now;
  work.Connection = connection.Id;
  connection.Owner = session.Id;
  transmit(now, connection, batch,
           {session.Values, rankOf(session),
            Pool.ownCount(connection.Instance, session.Organisation) > 0});
}

void Proxy::sendProbe(TimePoint now, InstanceConnection &connection) {
  connection.IsAbandoned = true;
  transmit(now, connection,
           {{commandOf(CommandKind::Begin), Purpose::Probe},
            {commandOf(CommandKind::Rollback), Purpose::End}});
}

void Proxy::transmit(TimePoint now, InstanceConnection &connection,
                     const std::vector<OutgoingCommand> &batch,
                     const BorrowNeeds &needs) {
  const int before = connection.statements();
  std::vector<InstanceCommand> commands;
  commands.reserve(batch.size());
  for (const auto &it : batch) {
    commands.push_back(it.Command);
    connection.Sent.push_back({it.Reason, now, it.Command.Kind,
                               isClientCommand(it.Command)
                                   ? it.Command.Due
                                   : DueAnswer::Acknowledgement});
  }
  connection.LastUsed = now;
  if (batch.front().Reason != Purpose::Probe)
    connection.LastServed = now;
  if (auto *it = tracker(connection.Service).find(connection.Instance))
    it->Statements += connection.statements() - before;
  if (connection.isBorrowed())
    Io.sendBorrowed(connection.Id, commands, needs);
  else
    Io.send(connection.Id, commands);
}

void Proxy::rollBack(TimePoint now, InstanceConnection &connection) {
  transmit(now, connection, {{commandOf(CommandKind::Rollback), Purpose::End}});
}

void Proxy::releasePinned(TimePoint now, ClientSession &session) {
  if (!session.Pinned)
    return;
  auto *connection = Pool.find(*session.Pinned);
  session.Pinned.reset();
  if (!connection)
    return;
  connection->abandon();
  rollBack(now, *connection);
}

void Proxy::abandonStatement(TimePoint now, ClientSession &session) {
  auto &work = *session.Current;
  removeFromQueue(session);
  if (!work.Connection || session.Pinned)
    return;
  auto *connection = Pool.find(*work.Connection);
  if (!connection)
    return;
  // NOTE: an abandoned borrow ends at its lender too, and a new one costs
  // nothing.
  if (connection->isBorrowed())
    return endBorrow(*connection);
  connection->Owner.reset();
  connection->IsAbandoned = true;
  if (work.Stage == StatementStage::Beginning)
    rollBack(now, *connection);
}

void Proxy::freeConnection(TimePoint now, InstanceConnection &connection) {
  connection.Owner.reset();
  connection.IsPinned = false;
  connection.LastUsed = now;
  if (connection.IsRefused && connection.Sent.empty()) {
    const std::string refused = connection.Service;
    Pool.close(connection.Id);
    return dispatchQueue(now, refused);
  }
  if (!connection.isFree())
    return;
  const std::string service = connection.Service;
  const InstanceId instance = connection.Instance;
  Lending.serveQueue(now, service, instance);
  dispatchQueue(now, service);
}

} // namespace stepledge::proxy
