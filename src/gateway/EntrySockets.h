// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The sockets of an entry VM: clients on one side, instances on the
/// other, and the proxy's decisions between them.

#ifndef STEPLEDGE_GATEWAY_ENTRYSOCKETS_H
#define STEPLEDGE_GATEWAY_ENTRYSOCKETS_H

#include "gateway/ILineCodec.h"
#include "gateway/internal/InstanceLink.h"
#include "lines/HostPort.h"
#include "lines/LineSocket.h"
#include "proxy/Proxy.h"

#include "absl/status/status.h"

#include <functional>
#include <map>
#include <memory>

namespace stepledge::gateway {

class EntrySockets : public proxy::ISocketIo {
public:
  using ReadClock = std::function<TimePoint()>;

  EntrySockets(asio::io_context &context, const ILineCodec &codec,
               ReadClock clock)
      : Context(context), Codec(codec), Acceptor(context),
        Clock(std::move(clock)) {}

  /// Serves clients at \p address with \p proxy, which must outlive this.
  absl::Status listen(const lines::HostPort &address, proxy::Proxy &proxy);

  /// The port that clients connect to.
  std::uint16_t port() const { return Acceptor.local_endpoint().port(); }

  void acceptClient(proxy::ClientId client) override;
  void rejectClient(proxy::ClientId client,
                    const proxy::StatementReply &reply) override;
  void answerClient(proxy::ClientId client,
                    const proxy::StatementReply &reply) override;
  void closeClient(proxy::ClientId client) override;
  void holdClient(proxy::ClientId client) override;
  void releaseClient(proxy::ClientId client) override;
  bool hasUnsent() const override;
  void openConnection(ConnectionId connection,
                      const proxy::ConnectionTarget &target) override;
  void send(ConnectionId connection,
            const std::vector<proxy::InstanceCommand> &commands) override;
  void closeConnection(ConnectionId connection) override;

private:
  struct Client {
    std::unique_ptr<lines::LineSocket> Socket;
    bool IsConnected = false;
    bool IsHeld = false;
  };

  void accept();
  void take(proxy::ClientId id);
  void handle(proxy::ClientId id, ClientCall call);
  void drop(proxy::ClientId id);

  asio::io_context &Context;
  const ILineCodec &Codec;
  asio::ip::tcp::acceptor Acceptor;
  ReadClock Clock;
  proxy::Proxy *Proxy = nullptr;
  std::map<proxy::ClientId, Client> Clients;
  std::map<ConnectionId, std::shared_ptr<InstanceLink>> Links;
  std::uint64_t LastClient = 0;
};

} // namespace stepledge::gateway

#endif // STEPLEDGE_GATEWAY_ENTRYSOCKETS_H
