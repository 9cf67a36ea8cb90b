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
/// What the kernel may hold of a connection's bytes. It doubles the number for
/// its own records and then takes 47 KB, 0.19 s of a link of 250 KB/s, which
/// all heartbeats wait behind; left alone it took 2.8 MB.
constexpr int SendBufferBytes = 32 << 10;

/// Consensus messages bear to be overtaken: each carries its term and its place
/// in the log, and what doesn't fit any more is passed over or asked for again.
/// So do large calls: they are configurations, the highest version of which
/// holds, and nothing that a small call says depends on one before it. All else
/// keeps its order: an older list of instances or an older notice would stand.
FrameOrder orderOf(const wire::Message &message) {
  return message.has_consensus() || message.has_call()
             ? FrameOrder::MayBeOvertaken
             : FrameOrder::Kept;
}

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
                   OnClosed onClosed, OnBytes onBytes)
    : Socket(std::move(socket)), MessageHandler(std::move(onMessage)),
      ClosedHandler(std::move(onClosed)), BytesHandler(std::move(onBytes)) {
  watchForDeadPeer(Socket);
  std::error_code ec;
  // NOTE: a connection works without it too, only heartbeats may come late.
  Socket.set_option(asio::socket_base::send_buffer_size(SendBufferBytes), ec);
}

void PeerLink::start() { read(); }

void PeerLink::read() {
  Socket.async_read_some(
      asio::buffer(Chunk),
      [self = shared_from_this()](std::error_code ec, std::size_t n) {
        if (ec || self->IsClosed)
          return self->close(endOf(ec));
        self->BytesHandler();
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
  if (IsClosed || IsGivenUp)
    return;
  IsGivenUp = !Queue.push(message.SerializeAsString(), orderOf(message));
  if (IsGivenUp)
    return closeSoon(LinkEnd::NotRead);
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

void PeerLink::closeSoon(LinkEnd end) {
  // NOTE: not at once: the caller may be walking through the connections that
  // the handler of the end takes this one out of.
  asio::post(Socket.get_executor(),
             [self = shared_from_this(), end] { self->close(end); });
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
