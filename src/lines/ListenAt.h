// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Opens a listening TCP socket.

#ifndef STEPLEDGE_LINES_LISTENAT_H
#define STEPLEDGE_LINES_LISTENAT_H

#include <asio.hpp>

#include <cstdint>
#include <string>
#include <system_error>

namespace stepledge::lines {

/// \p acceptor takes connections at \p ip and \p port afterwards.
std::error_code listenAt(asio::ip::tcp::acceptor &acceptor,
                         const std::string &ip, std::uint16_t port);

} // namespace stepledge::lines

#endif // STEPLEDGE_LINES_LISTENAT_H
