// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What a listener is told of real connections.

#include "peer/PeerHub.h"

#include "peer/internal/PeerLink.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace stepledge::peer;

namespace {

const std::string OtherIp = "127.0.0.2";

/// Keeps what it is told, in order.
struct Recorder : public IPeerListener {
  void peerConnected(const std::string &ip, const wire::Hello &hello) override {
    (void)hello;
    Events.push_back("connected " + ip);
  }
  void peerLost(const std::string &ip, LinkEnd end) override {
    Events.push_back("lost " + ip + " " +
                     std::string(nameIn(LinkEndNames, end)));
  }
  void peerHeard(const std::string &ip) override { (void)ip; }
  void peerSaid(const std::string &ip, const wire::Message &message) override {
    (void)ip;
    (void)message;
  }

  std::vector<std::string> Events;
};

} // namespace

TEST_CASE("PeerHub_ReplacedConnectionIsToldAsLostFirst") {
  // What is on its way on the old one is lost with it, and must be sent again:
  // after a cut both sides open new connections while the old ones still count.
  using asio::ip::tcp;
  asio::io_context context;
  tcp::acceptor any(context, {asio::ip::address_v4::loopback(), 0});
  const std::uint16_t port = any.local_endpoint().port();
  any.close();
  Recorder recorder;
  wire::Hello self;
  self.set_ip("127.0.0.1");
  PeerHub hub(context, self, port, recorder);
  REQUIRE(!hub.listen("127.0.0.1"));
  wire::Message hello;
  hello.mutable_hello()->set_ip(OtherIp);
  std::vector<std::shared_ptr<PeerLink>> links;
  for (std::size_t opened = 1; opened <= 2; ++opened) {
    tcp::socket socket(context);
    socket.connect({asio::ip::address_v4::loopback(), port});
    links.push_back(std::make_shared<PeerLink>(
        std::move(socket), [](const wire::Message &) {}, [](LinkEnd) {},
        [] {}));
    links.back()->send(hello);
    while (recorder.Events.size() < opened)
      context.run_one();
  }
  while (recorder.Events.back() != "connected " + OtherIp)
    context.run_one();
  CHECK(recorder.Events ==
        std::vector<std::string>{"connected " + OtherIp,
                                 "lost " + OtherIp + " replaced",
                                 "connected " + OtherIp});
}

TEST_CASE("PeerHub_NewPeerIsConnectedToWithoutATick") {
  using asio::ip::tcp;
  asio::io_context context;
  const std::string ip = "127.0.0.1";
  tcp::acceptor listener(context, {asio::ip::make_address(ip), 0});
  Recorder recorder;
  wire::Hello self;
  self.set_ip(OtherIp);
  PeerHub hub(context, self, listener.local_endpoint().port(), recorder);
  hub.tick(stepledge::TimePoint(std::chrono::seconds(10)));
  hub.keepConnected({ip});
  while (recorder.Events.empty() && context.run_one() > 0) {
  }
  CHECK(recorder.Events == std::vector<std::string>{"connected " + ip});
}

TEST_CASE("PeerHub_TryThatHangsHoldsUpNoOther") {
  // A VM that is still dark drops the opening packet, as a listener does whose
  // queue is full; the system sends it again a second later.
  using asio::ip::tcp;
  using stepledge::milliseconds;
  asio::io_context context;
  const tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
  tcp::acceptor listener(context);
  listener.open(any.protocol());
  listener.bind(any);
  listener.listen(0);
  tcp::socket filler(context);
  filler.connect(listener.local_endpoint());
  Recorder recorder;
  wire::Hello self;
  self.set_ip(OtherIp);
  PeerHub hub(context, self, listener.local_endpoint().port(), recorder);
  stepledge::TimePoint now(std::chrono::seconds(10));
  hub.tick(now);
  hub.keepConnected({"127.0.0.1"});
  context.run_for(std::chrono::milliseconds(50));
  REQUIRE(recorder.Events.empty());
  // The VM is up now.
  listener.accept();
  hub.tick(now + milliseconds(20));
  context.run_for(std::chrono::milliseconds(500));
  CHECK(recorder.Events == std::vector<std::string>{"connected 127.0.0.1"});
}
