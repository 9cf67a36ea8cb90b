// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "mesh/internal/ZmqMesh.h"

#include "absl/strings/str_cat.h"

#include <array>
#include <stdexcept>
#include <vector>

namespace stepledge::mesh {

namespace {

/// Messages that may wait in one socket.
constexpr int QueueLimit = 1000;
constexpr int ReconnectMs = 100;
constexpr int LongestReconnectMs = 1000;
constexpr int HeartbeatMs = 1000;
constexpr int HeartbeatLimitMs = 3000;
constexpr std::int64_t LargestMessage = 16 << 20;

std::string zmqAddress(const settings::Endpoint &endpoint) {
  const bool isV6 = endpoint.Address.find(':') != std::string::npos;
  const auto host =
      isV6 ? absl::StrCat("[", endpoint.Address, "]") : endpoint.Address;
  return absl::StrCat("tcp://", host, ":", endpoint.Port);
}

} // namespace

ZmqMesh::ZmqMesh(asio::io_context &context, const settings::Settings &settings)
    : Listener(Zmq, zmq::socket_type::router), Readable(context) {
  Listener.set(zmq::sockopt::linger, 0);
  Listener.set(zmq::sockopt::rcvhwm, QueueLimit);
  Listener.set(zmq::sockopt::maxmsgsize, LargestMessage);
  // NOTE: A peer that restarts takes its old name over.
  Listener.set(zmq::sockopt::router_handover, 1);
  try {
    Listener.bind(zmqAddress(settings.Mesh));
  } catch (const zmq::error_t &failure) {
    throw std::runtime_error(absl::StrCat(
        "can't listen at ", zmqAddress(settings.Mesh), ": ", failure.what()));
  }
  for (const auto &it : settings.Peers)
    if (it.Vm != settings.Vm)
      connect(it, settings.Vm);
  Readable.assign(Listener.get(zmq::sockopt::fd));
  waitReadable();
}

ZmqMesh::~ZmqMesh() {
  *Alive = false;
  // NOTE: ZeroMQ owns the descriptor.
  Readable.release();
}

void ZmqMesh::connect(const settings::PeerSettings &peer, const VmId &self) {
  zmq::socket_t sender(Zmq, zmq::socket_type::dealer);
  sender.set(zmq::sockopt::routing_id, self.str());
  sender.set(zmq::sockopt::linger, 0);
  sender.set(zmq::sockopt::sndhwm, QueueLimit);
  // NOTE: Queue only on finished connections, so that a message to a peer out
  // of reach is provably not handed over.
  sender.set(zmq::sockopt::immediate, 1);
  sender.set(zmq::sockopt::reconnect_ivl, ReconnectMs);
  sender.set(zmq::sockopt::reconnect_ivl_max, LongestReconnectMs);
  sender.set(zmq::sockopt::heartbeat_ivl, HeartbeatMs);
  sender.set(zmq::sockopt::heartbeat_timeout, HeartbeatLimitMs);
  sender.connect(zmqAddress(peer.Mesh));
  Senders.emplace(peer.Vm, std::move(sender));
}

bool ZmqMesh::send(const VmId &to, const wire::Envelope &envelope) {
  const auto it = Senders.find(to);
  if (it == Senders.end())
    return false;
  const auto bytes = envelope.SerializeAsString();
  try {
    return it->second.send(zmq::buffer(bytes), zmq::send_flags::dontwait)
        .has_value();
  } catch (const zmq::error_t &) {
    return false;
  }
}

void ZmqMesh::setReceiver(Receiver receiver) {
  OnEnvelope = std::move(receiver);
}

void ZmqMesh::waitReadable() {
  Readable.async_wait(asio::posix::stream_descriptor::wait_read,
                      [this, alive = Alive](asio::error_code ec) {
                        if (ec || !*alive)
                          return;
                        receiveAll();
                        waitReadable();
                      });
}

// NOTE: ZeroMQ's descriptor tells of changes only, so all is read each time.
void ZmqMesh::receiveAll() {
  for (;;) {
    zmq::message_t from;
    zmq::message_t body;
    if (!Listener.recv(from, zmq::recv_flags::dontwait))
      return;
    if (!from.more() || !Listener.recv(body, zmq::recv_flags::dontwait))
      continue;
    wire::Envelope envelope;
    const bool isRead =
        envelope.ParseFromArray(body.data(), static_cast<int>(body.size()));
    if (isRead && OnEnvelope)
      OnEnvelope(VmId(from.to_string()), envelope);
  }
}

} // namespace stepledge::mesh
