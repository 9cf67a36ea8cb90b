// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

// Two meshes on loopback find each other, whichever comes first.

#include "mesh/MeshModule.h"

#include <doctest/doctest.h>

#include <asio.hpp>

#include <string>

using namespace stepledge;
using namespace stepledge::mesh;

namespace {

std::uint16_t freePort(asio::io_context &context) {
  asio::ip::tcp::acceptor acceptor(context,
                                   {asio::ip::address_v4::loopback(), 0});
  return acceptor.local_endpoint().port();
}

settings::Settings settingsOf(const std::string &vm, std::uint16_t port,
                              const std::string &peer, std::uint16_t peerPort) {
  settings::Settings out;
  out.Vm = VmId(vm);
  out.Mesh = {"127.0.0.1", port};
  out.Peers.push_back({VmId(peer), HallId("a"), {"127.0.0.1", peerPort}});
  return out;
}

/// Sends until it is handed over and received; counts turns, not time.
bool passes(asio::io_context &context, IMesh &from, IMesh &to,
            const VmId &receiver) {
  std::uint64_t got = 0;
  VmId sender;
  to.setReceiver([&](const VmId &it, const wire::Envelope &envelope) {
    sender = it;
    got = envelope.number();
  });
  wire::Envelope envelope;
  envelope.set_number(7);
  bool isSent = false;
  for (int turn = 0; turn < 500 && got == 0; ++turn) {
    isSent = isSent || from.send(receiver, envelope);
    context.run_one_for(std::chrono::milliseconds(20));
  }
  return got == 7 && sender != receiver;
}

} // namespace

TEST_CASE("ZmqMesh_PassesBothWays") {
  asio::io_context context;
  const auto one = freePort(context);
  const auto two = freePort(context);
  const auto first = makeMesh(context, settingsOf("one", one, "two", two));
  wire::Envelope envelope;
  CHECK_FALSE(first->send(VmId("two"), envelope));
  CHECK_FALSE(first->send(VmId("nobody"), envelope));
  const auto second = makeMesh(context, settingsOf("two", two, "one", one));
  CHECK(passes(context, *second, *first, VmId("one")));
  CHECK(passes(context, *first, *second, VmId("two")));
}
