// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The mesh over ZeroMQ: one socket to listen, one to send to each peer.

#ifndef STEPLEDGE_MESH_INTERNAL_ZMQMESH_H
#define STEPLEDGE_MESH_INTERNAL_ZMQMESH_H

#include "mesh/IMesh.h"
#include "settings/types/Settings.h"

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <zmq.hpp>

#include <map>
#include <memory>

namespace stepledge::mesh {

class ZmqMesh : public IMesh {
public:
  ZmqMesh(asio::io_context &context, const settings::Settings &settings);
  ~ZmqMesh() override;

  bool send(const VmId &to, const wire::Envelope &envelope) override;
  void setReceiver(Receiver receiver) override;

private:
  void connect(const settings::PeerSettings &peer, const VmId &self);
  void waitReadable();
  void receiveAll();

  zmq::context_t Zmq;
  zmq::socket_t Listener;
  std::map<VmId, zmq::socket_t> Senders;
  asio::posix::stream_descriptor Readable;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  Receiver OnEnvelope;
};

} // namespace stepledge::mesh

#endif // STEPLEDGE_MESH_INTERNAL_ZMQMESH_H
