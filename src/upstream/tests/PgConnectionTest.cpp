// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

// What libpq does to its socket must not reach anybody else's.

#include "upstream/UpstreamModule.h"

#include <doctest/doctest.h>

#include <asio.hpp>

#include <array>
#include <string>

using namespace stepledge::upstream;

namespace {

using Tcp = asio::ip::tcp;

Tcp::endpoint loopback() { return {asio::ip::address_v4::loopback(), 0}; }

} // namespace

TEST_CASE("PgConnection_FailureLeavesOtherSocketsAlone") {
  asio::io_context context;
  Tcp::acceptor acceptor(context, loopback());
  const auto port = acceptor.local_endpoint().port();
  std::string reason;
  ConnectionEvents events;
  events.OnClosed = [&](const std::string &it) { reason = it; };
  auto connection =
      openConnection(context,
                     "hostaddr=127.0.0.1 port=" + std::to_string(port) +
                         " sslmode=disable gssencmode=disable",
                     events);
  {
    // The server hangs up, so libpq closes its socket.
    Tcp::socket server(context);
    acceptor.accept(server);
  }
  while (reason.empty())
    context.run_one();
  // Sockets opened now get the number that libpq's had.
  std::array<Tcp::socket, 2> clients{Tcp::socket(context),
                                     Tcp::socket(context)};
  std::array<Tcp::socket, 2> servers{Tcp::socket(context),
                                     Tcp::socket(context)};
  std::array<char, 2> bytes{};
  int received = 0;
  for (std::size_t n = 0; n < clients.size(); ++n) {
    clients[n].connect(acceptor.local_endpoint());
    acceptor.accept(servers[n]);
    for (auto *it : {&clients[n], &servers[n]})
      it->async_read_some(
          asio::buffer(bytes),
          [&](asio::error_code ec, std::size_t) { received += ec ? 0 : 1; });
  }
  context.restart();
  context.poll();
  connection.reset();
  for (std::size_t n = 0; n < clients.size(); ++n) {
    clients[n].send(asio::buffer("x", 1));
    servers[n].send(asio::buffer("x", 1));
  }
  // NOTE: A bound on turns, not on time: without the fault each arrives.
  for (int turn = 0; turn < 100 && received < 4; ++turn)
    context.run_one_for(std::chrono::milliseconds(20));
  CHECK(received == 4);
}
