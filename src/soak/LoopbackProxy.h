// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Passes TCP connections on to one address, and harms them on request:
/// delays, silences either way, resets, or a limit of bytes a second.

#ifndef STEPLEDGE_SOAK_LOOPBACKPROXY_H
#define STEPLEDGE_SOAK_LOOPBACKPROXY_H

#include "soak/NarrowLinks.h"

#include <asio.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace stepledge::soak {

/// What is done to the connections of one proxy.
struct LinkHarm {
  std::chrono::milliseconds Delay{};
  bool IsSilentToTarget = false;
  bool IsSilentToCaller = false;
  /// The part of the connections that is harmed.
  double Share = 1.0;
};

class LoopbackProxy {
public:
  /// The rate of a connection, by the first bytes that its caller sends.
  using ChooseRate = std::function<LinkRate(std::string_view)>;

  LoopbackProxy(asio::io_context &context,
                const asio::ip::tcp::endpoint &address,
                const asio::ip::tcp::endpoint &target, std::uint64_t seed,
                ChooseRate rateOf = {});
  ~LoopbackProxy();

  /// From any thread.
  void setHarm(const LinkHarm &harm);
  void resetConnections();
  /// The machine behind this proxy has lost its power, seen by those in touch
  /// with it once this returns: what was open falls silent for good, and a new
  /// connection isn't answered until regainPower().
  void losePower();
  void regainPower();
  /// The same for what the VM that calls itself \p ip has opened here.
  void losePowerOf(const std::string &ip);

private:
  class Pipe;
  struct State {
    State(std::uint64_t seed, ChooseRate rateOf)
        : Random(seed), RateOf(std::move(rateOf)) {}
    LinkHarm Harm;
    std::set<std::shared_ptr<Pipe>> Pipes;
    std::mt19937_64 Random;
    ChooseRate RateOf;
  };

  void accept();
  /// Runs \p task in the context, and waits for it.
  void runThere(const std::function<void()> &task);
  /// Fills the queue of new connections, so that the system drops their opening
  /// packets.
  void fillQueue();

  asio::io_context &Context;
  asio::ip::tcp::acceptor Acceptor;
  asio::ip::tcp::endpoint Target;
  std::shared_ptr<State> Shared;
  bool IsDark = false;
  std::vector<asio::ip::tcp::socket> Fillers;
};

} // namespace stepledge::soak

#endif // STEPLEDGE_SOAK_LOOPBACKPROXY_H
