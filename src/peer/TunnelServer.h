// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Passes bytes on to instances for VMs that can't reach them directly.

#ifndef STEPLEDGE_PEER_TUNNELSERVER_H
#define STEPLEDGE_PEER_TUNNELSERVER_H

#include <asio.hpp>

#include <functional>
#include <string>
#include <system_error>

namespace stepledge::peer {

/// The first line on a connection names the instance's "ip:port"; all that
/// follows is passed on, both ways.
class TunnelServer {
public:
  /// \p isAllowed tells whether an address is one of a known instance.
  TunnelServer(asio::io_context &context,
               std::function<bool(const std::string &)> isAllowed)
      : Context(context), Acceptor(context), IsAllowed(std::move(isAllowed)) {}

  std::error_code listen(const std::string &ip, std::uint16_t port);

private:
  void accept();

  asio::io_context &Context;
  asio::ip::tcp::acceptor Acceptor;
  std::function<bool(const std::string &)> IsAllowed;
};

} // namespace stepledge::peer

#endif // STEPLEDGE_PEER_TUNNELSERVER_H
