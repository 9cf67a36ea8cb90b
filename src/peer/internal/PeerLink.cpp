// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "peer/internal/PeerLink.h"

#include <cstdint>
#include <cstring>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace stepledge::peer {

namespace {

constexpr std::size_t LengthBytes = 4;
/// Above the largest state that is sent.
constexpr std::uint32_t MostMessageBytes = 32U << 20;
/// What may wait for a peer that is slow to read.
constexpr std::size_t MostWaitingBytes = 8U << 20;
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
        self->Input.append(self->Chunk.data(), n);
        self->takeMessages();
        if (!self->IsClosed)
          self->read();
      });
}

void PeerLink::takeMessages() {
  std::size_t offset = 0;
  while (!IsClosed && Input.size() - offset >= LengthBytes) {
    std::uint32_t length = 0;
    std::memcpy(&length, Input.data() + offset, LengthBytes);
    if (length > MostMessageBytes)
      return close(LinkEnd::Unreadable);
    if (Input.size() - offset - LengthBytes < length)
      break;
    wire::Message message;
    const char *body = Input.data() + offset + LengthBytes;
    if (!message.ParseFromArray(body, static_cast<int>(length)))
      return close(LinkEnd::Unreadable);
    offset += LengthBytes + length;
    MessageHandler(message);
  }
  Input.erase(0, offset);
  if (Input.empty() && Input.capacity() > Chunk.size() * 8)
    Input.shrink_to_fit();
}

void PeerLink::send(const wire::Message &message) {
  if (IsClosed)
    return;
  const std::string body = message.SerializeAsString();
  if (Waiting.size() + body.size() > MostWaitingBytes)
    return close(LinkEnd::NotRead);
  const auto length = static_cast<std::uint32_t>(body.size());
  std::array<char, LengthBytes> header{};
  std::memcpy(header.data(), &length, LengthBytes);
  Waiting.append(header.data(), header.size());
  Waiting.append(body);
  if (Writing.empty())
    write();
}

void PeerLink::write() {
  Writing = std::exchange(Waiting, {});
  asio::async_write(
      Socket, asio::buffer(Writing),
      [self = shared_from_this()](std::error_code ec, std::size_t) {
        self->Writing.clear();
        if (ec || self->IsClosed)
          return self->close(endOf(ec));
        if (!self->Waiting.empty())
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
