// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

// The stand-in instance: a small server that speaks the published PostgreSQL
// v3 messages, for the demo, the tests and the bench.

#include "standin/internal/Engine.h"
#include "standin/internal/Follower.h"
#include "standin/internal/ServerSession.h"

#include <CLI/CLI.hpp>
#include <asio.hpp>

#include <iostream>
#include <memory>
#include <vector>

namespace stepledge::standin {

namespace {

constexpr std::chrono::milliseconds FaultCheck{20};

class Server {
public:
  Server(asio::io_context &context, const StandinOptions &options)
      : Instance(options), Gate(Instance), Copier(context, Instance),
        Callers(context), Controls(context), Timer(context) {
    listen(Callers, options.Port, false);
    listen(Controls, options.ControlPort, true);
    Instance.OnRebuilt = [this] { closeAll(); };
    Copier.start();
    watchFaults();
  }

private:
  using Acceptor = asio::ip::tcp::acceptor;

  void listen(Acceptor &acceptor, std::uint16_t port, bool isControl) {
    const asio::ip::tcp::endpoint endpoint(
        asio::ip::make_address(Instance.Options.Address), port);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(Acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen();
    accept(acceptor, isControl);
  }

  void accept(Acceptor &acceptor, bool isControl) {
    acceptor.async_accept(
        [this, &acceptor, isControl](asio::error_code ec,
                                     asio::ip::tcp::socket socket) {
          if (!ec)
            admit(std::move(socket), isControl);
          accept(acceptor, isControl);
        });
  }

  void admit(asio::ip::tcp::socket socket, bool isControl) {
    if (!isControl && limitedCount() >= Instance.Options.Connections)
      return;
    auto session = std::make_shared<ServerSession>(std::move(socket), Instance,
                                                   Gate, isControl);
    session->start();
    Sessions.push_back(session);
    auto &peak = Instance.SeenPeaks.Connections;
    peak = std::max(peak, limitedCount());
  }

  int limitedCount() {
    std::erase_if(Sessions, [](const auto &it) { return it.expired(); });
    int n = 0;
    for (const auto &it : Sessions)
      if (const auto session = it.lock(); session && session->isLimited())
        ++n;
    return n;
  }

  void closeAll() {
    for (const auto &it : Sessions)
      if (const auto session = it.lock(); session && session->isLimited())
        session->close();
  }

  void watchFaults() {
    if (WasCut && !Instance.CurrentFaults.Cut)
      for (const auto &it : Sessions)
        if (const auto session = it.lock())
          session->resume();
    WasCut = Instance.CurrentFaults.Cut;
    Timer.expires_after(FaultCheck);
    Timer.async_wait([this](asio::error_code ec) {
      if (!ec)
        watchFaults();
    });
  }

  Engine Instance;
  SlotGate Gate;
  Follower Copier;
  Acceptor Callers;
  Acceptor Controls;
  asio::steady_timer Timer;
  std::vector<std::weak_ptr<ServerSession>> Sessions;
  bool WasCut = false;
};

} // namespace

} // namespace stepledge::standin

int main(int argc, char **argv) {
  stepledge::standin::StandinOptions options;
  CLI::App app("A stand-in database instance for tests, demo and bench.");
  int connectMs = 10;
  int serviceMs = 0;
  int lagMs = 0;
  app.add_option("--address", options.Address);
  app.add_option("--port", options.Port)->required();
  app.add_option("--control-port", options.ControlPort)->required();
  app.add_option("--data", options.DataFolder)->required();
  app.add_option("--follow-address", options.FollowAddress);
  app.add_option("--follow-port", options.FollowPort);
  app.add_option("--connections", options.Connections);
  app.add_option("--slots", options.Slots);
  app.add_option("--connect-ms", connectMs);
  app.add_option("--service-ms", serviceMs);
  app.add_option("--lag-ms", lagMs);
  CLI11_PARSE(app, argc, argv);
  options.ConnectTime = std::chrono::milliseconds(connectMs);
  options.ServiceTime = std::chrono::milliseconds(serviceMs);
  options.Lag = std::chrono::milliseconds(lagMs);
  try {
    asio::io_context context;
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](asio::error_code, int) { context.stop(); });
    const stepledge::standin::Server server(context, options);
    context.run();
  } catch (const std::exception &failure) {
    std::cerr << "standin: " << failure.what() << "\n";
    return 1;
  }
  return 0;
}
