// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "peer/PeerHub.h"

#include "lines/ListenAt.h"
#include "peer/internal/PeerLink.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace stepledge::peer {

namespace {

wire::Message ping() {
  wire::Message message;
  message.mutable_ping();
  return message;
}

wire::Message pong() {
  wire::Message message;
  message.mutable_pong();
  return message;
}

} // namespace

PeerHub::PeerHub(asio::io_context &context, wire::Hello self,
                 std::uint16_t port, IPeerListener &listener)
    : Context(context), Self(std::move(self)), Port(port), Listener(listener),
      Acceptor(context) {}

PeerHub::~PeerHub() = default;

std::error_code PeerHub::listen(const std::string &ip) {
  const auto ec = lines::listenAt(Acceptor, ip, Port);
  if (!ec)
    accept();
  return ec;
}

void PeerHub::accept() {
  Acceptor.async_accept(
      [this](std::error_code ec, asio::ip::tcp::socket socket) {
        if (ec == asio::error::operation_aborted)
          return;
        if (!ec)
          take(std::move(socket));
        accept();
      });
}

void PeerHub::take(asio::ip::tcp::socket socket) {
  auto ip = std::make_shared<std::string>();
  const std::uint64_t number = ++LastNumber;
  auto holder = std::make_shared<std::weak_ptr<PeerLink>>();
  auto link = std::make_shared<PeerLink>(
      std::move(socket),
      [this, ip, number, holder](const wire::Message &message) {
        auto self = holder->lock();
        if (message.has_ping() && self)
          return sendOn(*self, pong());
        if (!ip->empty())
          return Listener.peerSaid(*ip, message);
        if (!message.has_hello() || !self)
          return;
        *ip = message.hello().ip();
        Unnamed.erase(self);
        auto old =
            std::exchange(IncomingLinks[*ip], Incoming{self, number, Now});
        if (old.Link) {
          old.Link->close(LinkEnd::Replaced);
          // NOTE: its own end finds the newer one in its place, and is silent.
          Listener.peerLost(*ip, LinkEnd::Replaced);
        }
        Listener.peerConnected(*ip, message.hello());
      },
      [this, ip, number, holder](LinkEnd end) {
        Unnamed.erase(holder->lock());
        const auto it = IncomingLinks.find(*ip);
        if (it == IncomingLinks.end() || it->second.Number != number)
          return;
        IncomingLinks.erase(it);
        Listener.peerLost(*ip, end);
      },
      [this, ip, number] {
        if (ip->empty())
          return;
        const auto it = IncomingLinks.find(*ip);
        if (it != IncomingLinks.end() && it->second.Number == number)
          it->second.HeardAt = Now;
        Listener.peerHeard(*ip);
      });
  *holder = link;
  Unnamed.insert(link);
  link->start();
}

void PeerHub::keepConnected(const std::set<std::string> &ips) {
  std::vector<std::shared_ptr<PeerLink>> unwanted;
  for (auto it = OutgoingLinks.begin(); it != OutgoingLinks.end();) {
    if (ips.contains(it->first)) {
      ++it;
      continue;
    }
    if (it->second.Link)
      unwanted.push_back(it->second.Link);
    it = OutgoingLinks.erase(it);
  }
  for (const auto &it : unwanted)
    it->close(LinkEnd::Dropped);
  for (const auto &ip : ips) {
    if (ip == Self.ip())
      continue;
    const auto [it, isNew] = OutgoingLinks.try_emplace(ip);
    // NOTE: a statement may wait for it, and the next tick is up to 40 ms away.
    if (isNew && it->second.Schedule.mayStart(Now))
      open(Now, ip, it->second);
  }
}

void PeerHub::tick(TimePoint now) {
  Now = now;
  std::vector<std::shared_ptr<PeerLink>> silent;
  for (auto &[ip, it] : OutgoingLinks) {
    if (it.Link && !keepAlive(now, it))
      silent.push_back(it.Link);
    std::erase_if(it.Tries, [&](const Try &old) {
      return ConnectSchedule::isHung(old.StartedAt, now);
    });
    if (!it.Link && it.Schedule.mayStart(now))
      open(now, ip, it);
  }
  for (const auto &it : silent)
    it->close(LinkEnd::Silent);
}

bool PeerHub::keepAlive(TimePoint now, Outgoing &outgoing) {
  switch (outgoing.Watch->decide(now)) {
  case LinkAction::Close:
    return false;
  case LinkAction::Ping:
    sendOn(*outgoing.Link, ping());
    break;
  case LinkAction::None:
    break;
  }
  return true;
}

void PeerHub::open(TimePoint now, const std::string &ip, Outgoing &outgoing) {
  outgoing.Schedule.started(now);
  std::error_code ec;
  const auto address = asio::ip::make_address(ip, ec);
  if (ec)
    return;
  auto socket = std::make_shared<asio::ip::tcp::socket>(Context);
  outgoing.Tries.push_back({socket, now});
  // NOTE: the handler holds no share of the socket, so dropping it gives up.
  const std::weak_ptr<asio::ip::tcp::socket> weak = socket;
  socket->async_connect(asio::ip::tcp::endpoint(address, Port),
                        [this, ip, weak](std::error_code failure) {
                          if (const auto opening = weak.lock())
                            tryEnded(ip, opening, failure);
                        });
}

void PeerHub::tryEnded(const std::string &ip,
                       const std::shared_ptr<asio::ip::tcp::socket> &socket,
                       std::error_code ec) {
  const auto it = OutgoingLinks.find(ip);
  if (it == OutgoingLinks.end())
    return;
  auto &tries = it->second.Tries;
  const auto isThis = [&](const Try &one) { return one.Socket == socket; };
  if (std::erase_if(tries, isThis) == 0 || ec)
    return;
  tries.clear();
  opened(ip, std::move(*socket));
}

void PeerHub::opened(const std::string &ip, asio::ip::tcp::socket socket) {
  auto holder = std::make_shared<std::weak_ptr<PeerLink>>();
  auto link = std::make_shared<PeerLink>(
      std::move(socket),
      [this, ip](const wire::Message &message) {
        if (!message.has_pong())
          return Listener.peerSaid(ip, message);
        const auto it = OutgoingLinks.find(ip);
        if (it != OutgoingLinks.end() && it->second.Watch)
          it->second.Watch->answered(Now);
      },
      [this, ip, holder](LinkEnd end) {
        const auto it = OutgoingLinks.find(ip);
        if (it == OutgoingLinks.end() || it->second.Link != holder->lock())
          return;
        it->second.Link.reset();
        it->second.Watch.reset();
        Listener.peerLost(ip, end);
      },
      [this, ip] {
        const auto it = OutgoingLinks.find(ip);
        if (it != OutgoingLinks.end() && it->second.Watch)
          it->second.Watch->heard(Now);
        Listener.peerHeard(ip);
      });
  *holder = link;
  auto &outgoing = OutgoingLinks[ip];
  outgoing.Link = link;
  // NOTE: most connections to lenders are idle, and their users notice silence
  // themselves.
  const bool pingsWhenIdle = Self.kind() != wire::BORROWER;
  outgoing.Watch.emplace(Now, pingsWhenIdle);
  link->start();
  wire::Message hello;
  *hello.mutable_hello() = Self;
  link->send(hello);
  Listener.peerConnected(ip, {});
}

bool PeerHub::send(const std::string &ip, const wire::Message &message) {
  const auto outgoing = OutgoingLinks.find(ip);
  if (outgoing != OutgoingLinks.end() && outgoing->second.Link) {
    outgoing->second.Watch->sent(Now);
    sendOn(*outgoing->second.Link, message);
    return true;
  }
  const auto incoming = IncomingLinks.find(ip);
  if (incoming == IncomingLinks.end())
    return false;
  sendOn(*incoming->second.Link, message);
  return true;
}

void PeerHub::sendOn(PeerLink &link, const wire::Message &message) {
  link.send(message);
  Traffic.noteSent(message);
}

std::vector<LinkState> PeerHub::linksTo(const std::string &ip) const {
  std::vector<LinkState> links;
  const auto own = OutgoingLinks.find(ip);
  if (own != OutgoingLinks.end() && own->second.Link)
    links.push_back({LinkSide::Own, own->second.Watch->silentFor(Now), true});
  const auto other = IncomingLinks.find(ip);
  if (other != IncomingLinks.end())
    links.push_back(
        {LinkSide::Other, Now - other->second.HeardAt, links.empty()});
  return links;
}

bool PeerHub::hasUnsent() const {
  const auto isUnsent = [](const auto &it) {
    return it.second.Link && it.second.Link->hasUnsent();
  };
  return std::any_of(OutgoingLinks.begin(), OutgoingLinks.end(), isUnsent) ||
         std::any_of(IncomingLinks.begin(), IncomingLinks.end(), isUnsent);
}

} // namespace stepledge::peer
