// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A connection on which nothing arrives any more, without an end that
/// either side is told of, is replaced.

#include "peer/PeerHub.h"

#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <vector>

using namespace stepledge;
using namespace stepledge::peer;
using asio::ip::tcp;

namespace {

const std::string SenderIp = "127.0.0.1";
const std::string ReceiverIp = "127.0.0.2";
/// The address at which the sender reaches the receiver.
const std::string RelayIp = "127.0.0.3";
/// A group can lose a second voter only after the first one is back; clients
/// count on this many seconds.
constexpr Duration CatchUpTime = milliseconds(4000);
constexpr Duration Tick = milliseconds(20);

class Listener : public IPeerListener {
public:
  void peerConnected(const std::string &ip, const wire::Hello &hello) override {
    (void)ip;
    (void)hello;
  }
  void peerLost(const std::string &ip, LinkEnd end) override {
    (void)ip;
    Ends.push_back(end);
  }
  void peerSaid(const std::string &ip, const wire::Message &message) override {
    (void)ip;
    Consensus += message.has_consensus();
  }

  int Consensus = 0;
  std::vector<LinkEnd> Ends;
};

/// Passes on bytes between two sockets, or takes them and drops them.
class Pipe : public std::enable_shared_from_this<Pipe> {
public:
  Pipe(tcp::socket from, tcp::socket to)
      : From(std::move(from)), To(std::move(to)) {
    From.set_option(tcp::no_delay(true));
    To.set_option(tcp::no_delay(true));
  }

  void start() {
    pass(From, To, Forth);
    pass(To, From, Back);
  }
  void silence() { IsSilent = true; }
  void close() {
    std::error_code ec;
    From.close(ec);
    To.close(ec);
  }

private:
  using Buffer = std::array<char, 4096>;

  void pass(tcp::socket &from, tcp::socket &to, Buffer &buf) {
    from.async_read_some(
        asio::buffer(buf), [self = shared_from_this(), &from, &to,
                            &buf](std::error_code ec, std::size_t n) {
          if (ec && !self->IsSilent)
            self->close();
          if (ec)
            return;
          std::error_code failure;
          if (!self->IsSilent)
            asio::write(to, asio::buffer(buf.data(), n), failure);
          self->pass(from, to, buf);
        });
  }

  tcp::socket From;
  tcp::socket To;
  Buffer Forth{};
  Buffer Back{};
  bool IsSilent = false;
};

wire::Hello helloOf(const std::string &ip, wire::Kind kind) {
  wire::Hello hello;
  hello.set_ip(ip);
  hello.set_kind(kind);
  return hello;
}

/// Two VMs, the first of which reaches the second through a relay.
class RelayedPair {
public:
  explicit RelayedPair(wire::Kind kind)
      : Relay(Context, {asio::ip::make_address(RelayIp), 0}),
        Port(Relay.local_endpoint().port()),
        Sender(Context, helloOf(SenderIp, kind), Port, SenderEvents),
        Receiver(Context, helloOf(ReceiverIp, kind), Port, ReceiverEvents) {
    REQUIRE(!Receiver.listen(ReceiverIp));
    accept();
    Sender.keepConnected({RelayIp});
  }
  ~RelayedPair() {
    for (const auto &it : Pipes)
      it->close();
  }
  RelayedPair(const RelayedPair &) = delete;
  RelayedPair &operator=(const RelayedPair &) = delete;

  /// Runs for \p time of the VMs' clock; the sender says something each 100 ms
  /// if \p speaks.
  void run(Duration time, bool speaks = true) {
    for (Duration at{}; at < time; at += Tick) {
      Now += Tick;
      Sender.tick(Now);
      Receiver.tick(Now);
      if (speaks && at % milliseconds(100) == Duration{})
        say();
      // NOTE: what is on its way on loopback arrives in some rounds.
      for (int i = 0; i < 50; ++i) {
        Context.restart();
        Context.poll();
      }
    }
  }
  void silenceConnections() {
    for (const auto &it : Pipes)
      it->silence();
  }
  int heard() const { return ReceiverEvents.Consensus; }
  const std::vector<LinkEnd> &ends() const { return SenderEvents.Ends; }
  const TrafficCount &sentBack() const { return Receiver.traffic(); }

private:
  void accept() {
    Relay.async_accept([this](std::error_code ec, tcp::socket socket) {
      if (ec)
        return;
      tcp::socket onward(Context);
      onward.connect({asio::ip::make_address(ReceiverIp), Port});
      Pipes.push_back(
          std::make_shared<Pipe>(std::move(socket), std::move(onward)));
      Pipes.back()->start();
      accept();
    });
  }
  void say() {
    wire::Message message;
    message.set_consensus("heartbeat");
    Sender.send(RelayIp, message);
  }

  asio::io_context Context;
  tcp::acceptor Relay;
  std::uint16_t Port;
  Listener SenderEvents;
  Listener ReceiverEvents;
  PeerHub Sender;
  PeerHub Receiver;
  std::vector<std::shared_ptr<Pipe>> Pipes;
  TimePoint Now = TimePoint(std::chrono::seconds(10));
};

} // namespace

TEST_CASE("SilentConnection_ControlVmIsReachedAgainOverANewOne") {
  for (const auto kind : {wire::CONTROL, wire::BORROWER}) {
    CAPTURE(kind);
    RelayedPair pair(kind);
    pair.run(milliseconds(1000));
    REQUIRE(pair.heard() > 0);
    pair.silenceConnections();
    pair.run(CatchUpTime);
    const int before = pair.heard();
    pair.run(milliseconds(1000));
    CHECK(pair.heard() > before);
  }
}

TEST_CASE("SilentConnection_OneThatWorksIsKept") {
  for (const auto kind : {wire::CONTROL, wire::BORROWER}) {
    CAPTURE(kind);
    RelayedPair pair(kind);
    pair.run(milliseconds(20000));
    CHECK(pair.heard() > 150);
    pair.run(milliseconds(20000), false);
    CHECK(pair.ends().empty());
  }
}

TEST_CASE("SilentConnection_PongsAreInTheTrafficCount") {
  RelayedPair pair(wire::CONTROL);
  pair.run(milliseconds(5000), false);
  CHECK(pair.sentBack().byKind().contains(MessageKind::kPong));
}
