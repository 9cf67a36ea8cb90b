// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "peer/internal/PeerLink.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace stepledge::peer {

namespace {

/// Unacknowledged bytes end a connection after this time.
constexpr unsigned DeadPeerMs = 2000;

LinkEnd endOf(std::error_code ec) {
  if (ec == asio::error::eof)
    return LinkEnd::Closed;
  if (ec == asio::error::connection_reset || ec == asio::error::broken_pipe)
    return LinkEnd::Reset;
  return ec == asio::error::timed_out ? LinkEnd::Unacknowledged
                                      : LinkEnd::Failed;
}

} // namespace

void watchForDeadPeer(asio::ip::tcp::socket &socket) {
  std::error_code ec;
  socket.set_option(asio::ip::tcp::no_delay(true), ec);
  const unsigned limit = DeadPeerMs;
  // NOTE: a connection works without it too, only its loss shows later.
  (void)::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                     &limit, sizeof(limit));
}

PeerLink::PeerLink(asio::ip::tcp::socket socket, OnMessage onMessage,
                   OnClosed onClosed)
    : Socket(std::move(socket)), MessageHandler(std::move(onMessage)),
      ClosedHandler(std::move(onClosed)) {
  watchForDeadPeer(Socket);
}

void PeerLink::start() { read(); }

void PeerLink::read() {
  Socket.async_read_some(
      asio::buffer(Chunk),
      [self = shared_from_this()](std::error_code ec, std::size_t n) {
        if (ec || self->IsClosed)
          return self->close(endOf(ec));
        self->Reader.add({self->Chunk.data(), n});
        self->takeMessages();
        if (!self->IsClosed)
          self->read();
      });
}

void PeerLink::takeMessages() {
  while (!IsClosed) {
    const auto body = Reader.next();
    if (!body)
      break;
    wire::Message message;
    if (!message.ParseFromArray(body->data(), static_cast<int>(body->size())))
      return close(LinkEnd::Unreadable);
    MessageHandler(message);
  }
  if (Reader.isBroken())
    close(LinkEnd::Unreadable);
}

void PeerLink::send(const wire::Message &message) {
  if (IsClosed)
    return;
  if (!Queue.push(message.SerializeAsString(), FrameOrder::Kept))
    return close(LinkEnd::NotRead);
  if (Writing.empty())
    write();
}

void PeerLink::write() {
  Writing = Queue.next();
  if (Writing.empty())
    return;
  asio::async_write(
      Socket, asio::buffer(Writing),
      [self = shared_from_this()](std::error_code ec, std::size_t) {
        self->Writing.clear();
        if (ec || self->IsClosed)
          return self->close(endOf(ec));
        self->write();
      });
}

void PeerLink::close(LinkEnd end) {
  if (std::exchange(IsClosed, true))
    return;
  std::error_code ec;
  Socket.close(ec);
  if (auto handler = std::exchange(ClosedHandler, {}))
    handler(end);
  MessageHandler = {};
}

} // namespace stepledge::peer
