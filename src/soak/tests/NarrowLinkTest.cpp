// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A narrow link carries no more than its rate, and holds its sender up.

#include "soak/LoopbackProxy.h"

#include <doctest/doctest.h>

#include <array>
#include <string>

using namespace stepledge::soak;
using asio::ip::tcp;

namespace {

constexpr TokenBucket::Clock::time_point Start{std::chrono::seconds(100)};
constexpr std::chrono::milliseconds Second(1000);

tcp::endpoint loopback(std::uint16_t port) {
  return {asio::ip::address_v4::loopback(), port};
}

/// What the sender got rid of, and what came.
struct Carried {
  std::size_t Sent = 0;
  std::size_t Received = 0;
};

/// Sends and receives until \p most is sent, or nothing moves any more.
Carried carry(asio::io_context &context, tcp::socket &from, tcp::socket &to,
              std::size_t most) {
  const std::string block(65536, 'x');
  std::string buf(65536, ' ');
  std::error_code ec;
  Carried all;
  from.non_blocking(true);
  to.non_blocking(true);
  for (int rests = 0; all.Sent < most && rests < 1000; ++rests) {
    const auto sent = from.write_some(asio::buffer(block), ec);
    const auto received = to.read_some(asio::buffer(buf), ec);
    all.Sent += sent;
    all.Received += received;
    if (sent + received + context.poll() > 0)
      rests = 0;
  }
  return all;
}

} // namespace

TEST_CASE("TokenBucket_CarriesItsRate") {
  TokenBucket bucket(1000, 100);
  CHECK(bucket.waitAt(Start) == TokenBucket::Clock::duration{});
  bucket.take(Start, 1100);
  const auto time = bucket.waitAt(Start);
  CHECK(time > Second);
  CHECK(time < Second + std::chrono::milliseconds(2));
  CHECK(bucket.waitAt(Start + time) == TokenBucket::Clock::duration{});
}

TEST_CASE("TokenBucket_RestSavesUpNoMoreThanABurst") {
  TokenBucket bucket(1000, 100);
  bucket.take(Start, 100);
  bucket.take(Start + 60 * Second, 600);
  CHECK(bucket.waitAt(Start + 60 * Second) > Second / 2);
}

TEST_CASE("NarrowLinks_CallerIsKnownByItsWholeAddress") {
  NarrowLinks links;
  links.add("127.70.0.1", 1000);
  CHECK(links
            .of("\x0a\x0a"
                "127.70.0.1\x10")
            .ToCaller);
  CHECK_FALSE(links.of("127.70.0.12").ToCaller);
  CHECK_FALSE(links.of("").ToTarget);
}

TEST_CASE("LoopbackProxy_NarrowLinkHoldsItsSenderUp") {
  constexpr std::size_t Most = 64U << 20;
  // A byte a second: nothing but the first burst passes.
  NarrowLinks links;
  links.add("caller", 1);
  asio::io_context context;
  tcp::acceptor target(context, loopback(0));
  tcp::acceptor probe(context, loopback(0));
  const auto address = probe.local_endpoint();
  probe.close();
  LoopbackProxy proxy(
      context, address, target.local_endpoint(), 1,
      [&links](std::string_view bytes) { return links.of(bytes); });
  tcp::socket caller(context);
  caller.connect(address);
  asio::write(caller, asio::buffer(std::string("caller")));
  tcp::socket taken(context);
  target.async_accept(taken, [](std::error_code) {});
  std::array<char, 6> name{};
  while (!taken.is_open())
    context.run_one();
  asio::async_read(taken, asio::buffer(name),
                   [](std::error_code, std::size_t) {});
  while (name.back() == 0)
    context.run_one();
  const auto all = carry(context, taken, caller, Most);
  CHECK(all.Sent < Most);
  // The burst, and the read that used it up.
  CHECK(all.Received <= 16192);
}
