// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "gateway/EntrySockets.h"

#include "lines/ListenAt.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace stepledge::gateway {

namespace {

/// A client with more bytes of answers unsent is read no further.
constexpr std::size_t MaxUnsentBytes = 256 << 10;

} // namespace

using proxy::ClientId;
using proxy::SessionEnd;

absl::Status EntrySockets::listen(const lines::HostPort &address,
                                  proxy::Proxy &proxy) {
  Proxy = &proxy;
  const auto ec = lines::listenAt(Acceptor, address.Ip, address.Port);
  if (ec)
    return absl::UnavailableError(
        absl::StrCat("cannot listen for clients: ", ec.message()));
  accept();
  return absl::OkStatus();
}

void EntrySockets::accept() {
  Acceptor.async_accept([this](std::error_code ec,
                               asio::ip::tcp::socket socket) {
    if (ec == asio::error::operation_aborted)
      return;
    if (!ec) {
      std::error_code ignored;
      socket.set_option(asio::ip::tcp::no_delay(true), ignored);
      const ClientId id{++LastClient};
      auto &client = Clients[id];
      client.Socket = std::make_unique<lines::LineSocket>(std::move(socket));
      client.Socket->limitUnsent(MaxUnsentBytes);
      client.Socket->read([this, id](bool isGood) {
        take(id);
        if (!isGood)
          drop(id);
      });
    }
    accept();
  });
}

void EntrySockets::take(ClientId id) {
  while (true) {
    const auto it = Clients.find(id);
    if (it == Clients.end() || !it->second.Socket->isOpen() ||
        it->second.IsHeld)
      return;
    auto line = it->second.Socket->lines().next();
    if (!line)
      return;
    auto call = Codec.parseClientLine(*line);
    // NOTE: it holds the client's key.
    if (std::holds_alternative<ConnectCall>(call))
      wipe(*line);
    handle(id, std::move(call));
  }
}

void EntrySockets::handle(ClientId id, ClientCall call) {
  auto &client = Clients[id];
  if (const auto *connect = std::get_if<ConnectCall>(&call)) {
    if (!std::exchange(client.IsConnected, true))
      Proxy->clientConnected(Clock(), id, DatabaseId(connect->Database),
                             connect->Key);
    return;
  }
  if (std::holds_alternative<QuitCall>(call))
    return drop(id);
  auto *statement = std::get_if<proxy::ClientStatement>(&call);
  if (!client.IsConnected) {
    proxy::StatementReply reply;
    reply.Code = proxy::ReplyCode::Malformed;
    reply.Detail = "connect first";
    return rejectClient(id, reply);
  }
  Proxy->statementReceived(Clock(), id,
                           statement ? std::move(*statement)
                                     : proxy::ClientStatement());
}

void EntrySockets::drop(ClientId id) {
  const auto it = Clients.find(id);
  if (it == Clients.end())
    return;
  const auto end = it->second.Socket->end();
  it->second.Socket->close();
  Clients.erase(it);
  if (end == lines::SocketEnd::LineTooLong)
    return Proxy->clientDropped(Clock(), id, SessionEnd::LineTooLong);
  if (end == lines::SocketEnd::NotRead)
    return Proxy->clientDropped(Clock(), id, SessionEnd::NotRead);
  Proxy->clientDisconnected(Clock(), id);
}

void EntrySockets::acceptClient(ClientId client) {
  if (const auto it = Clients.find(client); it != Clients.end())
    it->second.Socket->write(Codec.formatAccepted());
}

void EntrySockets::rejectClient(ClientId client,
                                const proxy::StatementReply &reply) {
  const auto it = Clients.find(client);
  if (it == Clients.end())
    return;
  it->second.Socket->write(Codec.formatRejected(reply));
  it->second.Socket->finish();
  releaseClient(client);
}

void EntrySockets::answerClient(ClientId client,
                                const proxy::StatementReply &reply) {
  if (const auto it = Clients.find(client); it != Clients.end())
    it->second.Socket->write(Codec.formatReply(reply));
}

void EntrySockets::closeClient(ClientId client) {
  // NOTE: the client's own end of the connection ends it fully.
  const auto it = Clients.find(client);
  if (it == Clients.end())
    return;
  it->second.Socket->finish();
  releaseClient(client);
}

void EntrySockets::holdClient(ClientId client) {
  const auto it = Clients.find(client);
  if (it == Clients.end())
    return;
  it->second.IsHeld = true;
  it->second.Socket->hold();
}

void EntrySockets::releaseClient(ClientId client) {
  const auto it = Clients.find(client);
  if (it == Clients.end() || !std::exchange(it->second.IsHeld, false))
    return;
  // NOTE: later, since the proxy may be handling this client's statements.
  asio::post(Context, [this, client] {
    take(client);
    const auto released = Clients.find(client);
    if (released != Clients.end() && !released->second.IsHeld)
      released->second.Socket->resume();
  });
}

bool EntrySockets::hasUnsent() const {
  return std::any_of(Clients.begin(), Clients.end(), [](const auto &it) {
    return it.second.Socket->hasUnsent();
  });
}

void EntrySockets::openConnection(ConnectionId connection,
                                  const proxy::ConnectionTarget &target) {
  InstanceLink::Handlers handlers;
  handlers.Connected = [this, connection](const proxy::StatementReply &reply) {
    Proxy->connectionReady(Clock(), connection, reply);
  };
  handlers.Answered = [this, connection](proxy::StatementReply reply) {
    Proxy->connectionAnswered(Clock(), connection, std::move(reply));
  };
  handlers.Lost = [this, connection] {
    Links.erase(connection);
    Proxy->connectionLost(Clock(), connection);
  };
  auto link =
      std::make_shared<InstanceLink>(Context, Codec, std::move(handlers));
  Links[connection] = link;
  link->open(target.Address, target.Service,
             target.Organisation.value_or(OrganisationId()),
             target.Instance.str());
}

void EntrySockets::send(ConnectionId connection,
                        const std::vector<proxy::InstanceCommand> &commands) {
  const auto it = Links.find(connection);
  if (it == Links.end())
    return;
  std::string lines;
  for (const auto &command : commands) {
    const auto line = Codec.formatCommand(command);
    if (line.empty())
      return it->second->breakOffLater();
    lines += line;
  }
  it->second->send(lines, commands.size());
}

void EntrySockets::closeConnection(ConnectionId connection) {
  const auto it = Links.find(connection);
  if (it == Links.end())
    return;
  it->second->close();
  Links.erase(it);
}

} // namespace stepledge::gateway
