// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What waits for a far end that is slow to read.

#include "lines/LineSocket.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using asio::ip::tcp;
using stepledge::lines::LineSocket;

namespace {

constexpr std::size_t AnswerBytes = 1U << 20;
/// Far below the answer's size, so that the kernel doesn't take all of it.
constexpr int SmallBuffer = 4096;

struct Fixture {
  Fixture() {
    tcp::acceptor acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0});
    Client.open(tcp::v4());
    Client.set_option(asio::socket_base::receive_buffer_size(SmallBuffer));
    Client.connect(acceptor.local_endpoint());
    tcp::socket socket = acceptor.accept();
    socket.set_option(asio::socket_base::send_buffer_size(SmallBuffer));
    Server = std::make_unique<LineSocket>(std::move(socket));
  }

  void poll() {
    Context.restart();
    Context.poll();
  }

  asio::io_context Context;
  tcp::socket Client{Context};
  std::unique_ptr<LineSocket> Server;
};

} // namespace

TEST_CASE("LineSocket_KnowsWhatIsNotSentYet") {
  Fixture it;
  CHECK(!it.Server->hasUnsent());
  it.Server->write(std::string(AnswerBytes, 'x'));
  it.Server->finish();
  it.poll();
  CHECK(it.Server->hasUnsent());
  std::vector<char> buf(AnswerBytes);
  std::size_t n = 0;
  std::error_code ec;
  it.Client.non_blocking(true);
  while (n < AnswerBytes) {
    it.poll();
    n += it.Client.read_some(asio::buffer(buf), ec);
  }
  it.poll();
  CHECK(!it.Server->hasUnsent());
}
