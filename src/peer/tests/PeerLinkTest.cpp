// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Messages between two ends of a real connection.

#include "peer/internal/PeerLink.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace stepledge::peer;

namespace {

constexpr std::size_t LargeBytes = 800 << 10;

struct Ends {
  explicit Ends(asio::io_context &context) : One(context), Other(context) {
    using asio::ip::tcp;
    const tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
    tcp::acceptor acceptor(context, any);
    One.connect(acceptor.local_endpoint());
    acceptor.accept(Other);
  }
  asio::ip::tcp::socket One;
  asio::ip::tcp::socket Other;
};

wire::Message callOf(std::uint64_t number, std::size_t bytes) {
  wire::Message message;
  message.mutable_call()->set_number(number);
  message.mutable_call()->set_command(std::string(bytes, 'x'));
  return message;
}

wire::Message instancesOf(const std::string &id, std::size_t bytes) {
  wire::Message message;
  auto &instance = *message.mutable_instances()->add_instances();
  instance.set_id(id);
  instance.set_address(std::string(bytes, 'x'));
  return message;
}

} // namespace

TEST_CASE("PeerLink_SmallCallsOvertakeALargeOneAndInstancesKeepTheirOrder") {
  asio::io_context context;
  Ends ends(context);
  const std::vector<wire::Message> sent = {
      callOf(1, LargeBytes), callOf(2, 10), instancesOf("a", LargeBytes),
      instancesOf("b", 10), callOf(3, LargeBytes)};
  std::vector<std::string> calls;
  std::vector<std::string> instances;
  std::size_t wrong = 0;
  std::shared_ptr<PeerLink> receiver;
  receiver = std::make_shared<PeerLink>(
      std::move(ends.Other),
      [&](const wire::Message &message) {
        if (message.has_call()) {
          const auto number = message.call().number();
          calls.push_back(std::to_string(number));
          wrong += message.call().command() != sent[0].call().command() &&
                   number != 2;
        } else {
          instances.push_back(message.instances().instances(0).id());
        }
        if (calls.size() + instances.size() == sent.size())
          receiver->close(LinkEnd::Dropped);
      },
      [](LinkEnd) {}, [] {});
  auto sender = std::make_shared<PeerLink>(
      std::move(ends.One), [](const wire::Message &) {}, [](LinkEnd) {}, [] {});
  receiver->start();
  sender->start();
  for (const auto &it : sent)
    sender->send(it);
  context.run();
  CHECK(calls == std::vector<std::string>{"2", "1", "3"});
  CHECK(instances == std::vector<std::string>{"a", "b"});
  CHECK(wrong == 0);
}

TEST_CASE("PeerLink_EndIsToldAfterTheSendThatFoundNoRoom") {
  asio::io_context context;
  Ends ends(context);
  std::vector<LinkEnd> told;
  auto sender = std::make_shared<PeerLink>(
      std::move(ends.One), [](const wire::Message &) {},
      [&](LinkEnd end) { told.push_back(end); }, [] {});
  sender->start();
  // Nobody reads at the other end, and more than may wait is sent.
  for (int i = 0; i < 20; ++i)
    sender->send(instancesOf("a", LargeBytes));
  CHECK(told.empty());
  context.poll();
  CHECK(told == std::vector<LinkEnd>{LinkEnd::NotRead});
}
