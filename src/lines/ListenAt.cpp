// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "lines/ListenAt.h"

namespace stepledge::lines {

std::error_code listenAt(asio::ip::tcp::acceptor &acceptor,
                         const std::string &ip, std::uint16_t port) {
  std::error_code ec;
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(ip, ec), port);
  if (!ec)
    acceptor.open(endpoint.protocol(), ec);
  if (!ec)
    acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec)
    acceptor.bind(endpoint, ec);
  if (!ec)
    acceptor.listen(asio::socket_base::max_listen_connections, ec);
  return ec;
}

} // namespace stepledge::lines
