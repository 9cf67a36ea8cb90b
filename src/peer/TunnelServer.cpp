// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "peer/TunnelServer.h"

#include "lines/ListenAt.h"
#include "peer/internal/PeerLink.h"

#include <array>
#include <memory>
#include <utility>

namespace stepledge::peer {

namespace {

/// Longer than any "ip:port".
constexpr std::size_t MostAddressBytes = 64;

/// Two sockets whose bytes go to each other until either ends.
class Tunnel : public std::enable_shared_from_this<Tunnel> {
public:
  Tunnel(asio::io_context &context, asio::ip::tcp::socket caller,
         std::function<bool(const std::string &)> isAllowed)
      : Caller(std::move(caller)), Target(context),
        IsAllowed(std::move(isAllowed)) {
    watchForDeadPeer(Caller);
  }

  void start() {
    asio::async_read_until(
        Caller, asio::dynamic_buffer(First), '\n',
        [self = shared_from_this()](std::error_code ec, std::size_t n) {
          if (ec || n > MostAddressBytes)
            return self->close();
          self->connect(self->First.substr(0, n - 1));
          self->First.erase(0, n);
        });
  }

private:
  void connect(const std::string &address) {
    const auto colon = address.rfind(':');
    std::error_code ec;
    const auto ip = asio::ip::make_address(address.substr(0, colon), ec);
    if (ec || colon == std::string::npos || !IsAllowed(address))
      return close();
    const auto port =
        static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1));
    Target.async_connect({ip, port},
                         [self = shared_from_this()](std::error_code failure) {
                           if (failure)
                             return self->close();
                           watchForDeadPeer(self->Target);
                           self->sendFirst();
                         });
  }

  void sendFirst() {
    asio::async_write(
        Target, asio::buffer(First),
        [self = shared_from_this()](std::error_code ec, std::size_t) {
          if (ec)
            return self->close();
          self->pass(self->Caller, self->Target, self->ToTarget);
          self->pass(self->Target, self->Caller, self->ToCaller);
        });
  }

  using Chunk = std::array<char, 4096>;

  void pass(asio::ip::tcp::socket &from, asio::ip::tcp::socket &to,
            Chunk &chunk) {
    from.async_read_some(
        asio::buffer(chunk), [self = shared_from_this(), &from, &to,
                              &chunk](std::error_code ec, std::size_t n) {
          if (ec)
            return self->close();
          asio::async_write(
              to, asio::buffer(chunk.data(), n),
              [self, &from, &to, &chunk](std::error_code failure, std::size_t) {
                if (failure)
                  return self->close();
                self->pass(from, to, chunk);
              });
        });
  }

  void close() {
    std::error_code ec;
    Caller.close(ec);
    Target.close(ec);
  }

  asio::ip::tcp::socket Caller;
  asio::ip::tcp::socket Target;
  std::function<bool(const std::string &)> IsAllowed;
  std::string First;
  Chunk ToTarget{};
  Chunk ToCaller{};
};

} // namespace

std::error_code TunnelServer::listen(const std::string &ip,
                                     std::uint16_t port) {
  const auto ec = lines::listenAt(Acceptor, ip, port);
  if (!ec)
    accept();
  return ec;
}

void TunnelServer::accept() {
  Acceptor.async_accept([this](std::error_code ec,
                               asio::ip::tcp::socket socket) {
    if (ec == asio::error::operation_aborted)
      return;
    if (!ec)
      std::make_shared<Tunnel>(Context, std::move(socket), IsAllowed)->start();
    accept();
  });
}

} // namespace stepledge::peer
