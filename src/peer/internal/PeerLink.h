// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file One TCP connection between two VMs.

#ifndef STEPLEDGE_PEER_INTERNAL_PEERLINK_H
#define STEPLEDGE_PEER_INTERNAL_PEERLINK_H

#include "peer/generated/Peer.pb.h"
#include "peer/internal/FrameQueue.h"
#include "peer/internal/FrameReader.h"
#include "peer/types/LinkEnd.h"

#include <asio.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace stepledge::peer {

class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
  using OnMessage = std::function<void(const wire::Message &)>;
  using OnClosed = std::function<void(LinkEnd)>;
  using OnBytes = std::function<void()>;

  /// \p onBytes is told before the messages that the bytes complete.
  PeerLink(asio::ip::tcp::socket socket, OnMessage onMessage, OnClosed onClosed,
           OnBytes onBytes);

  void start();
  /// Queues \p message. A peer that doesn't read is cut off, so that it comes
  /// back and is told everything anew.
  void send(const wire::Message &message);
  void close(LinkEnd end);
  /// Whether a message isn't sent yet.
  bool hasUnsent() const { return !IsClosed && !Writing.empty(); }

private:
  void read();
  void takeMessages();
  void write();
  void closeSoon(LinkEnd end);

  asio::ip::tcp::socket Socket;
  OnMessage MessageHandler;
  OnClosed ClosedHandler;
  OnBytes BytesHandler;
  std::array<char, 8192> Chunk{};
  FrameReader Reader;
  FrameQueue Queue;
  std::string Writing;
  bool IsClosed = false;
  /// The other side doesn't read, and the connection is about to be closed.
  bool IsGivenUp = false;
};

/// Makes \p socket notice within seconds that its far end is gone.
void watchForDeadPeer(asio::ip::tcp::socket &socket);

} // namespace stepledge::peer

#endif // STEPLEDGE_PEER_INTERNAL_PEERLINK_H
