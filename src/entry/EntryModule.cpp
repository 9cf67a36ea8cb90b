// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "entry/EntryModule.h"

#include "absl/strings/str_cat.h"

#include <utility>

namespace stepledge::entry {

namespace {

/// Closed sessions' last bytes are on their way for this long.
constexpr Duration SettleTime = milliseconds(250);

proxy::ProxyOptions proxyOptions(const EntryOptions &options) {
  proxy::ProxyOptions out;
  out.OwnHall = HallId(options.Hall);
  return out;
}

peer::wire::Hello helloOf(const EntryOptions &options) {
  peer::wire::Hello hello;
  hello.set_ip(options.Ip);
  hello.set_hall(options.Hall);
  hello.set_kind(peer::wire::ENTRY);
  return hello;
}

} // namespace

EntryModule::EntryModule(asio::io_context &context, EntryModuleOptions options,
                         proxy::IProxyIo &io, proxy::IProxyLog &log,
                         EntryNode::Decode decode, ReadClock clock)
    : Options(std::move(options)), Log(log), Clock(std::move(clock)),
      Core(proxyOptions(Options.Node), io, log),
      Hub(context, helloOf(Options.Node), Options.PeerPort, *this),
      Node(Options.Node, Core, Hub, log, std::move(decode)),
      Tunnels(context, [this](const std::string &address) {
        return Core.knowsAddress(address);
      }) {}

void EntryModule::start() {
  if (const auto ec = Tunnels.listen(Options.Node.Ip, Options.TunnelPort); ec)
    Log.decision(
        absl::StrCat("event=tunnels_off reason=\"", ec.message(), "\""));
}

void EntryModule::stop() {
  if (Stop)
    return;
  Stop = StopPlan{Clock(), Options.StopLimit};
  Log.decision(absl::StrCat("event=stopping sessions=", Core.sessionCount()));
}

bool EntryModule::tick() {
  const TimePoint now = Clock();
  Hub.tick(now);
  Node.tick(now);
  return Stop && continueStop(now);
}

bool EntryModule::continueStop(TimePoint now) {
  if (Stop->mayAbortTransactions(now))
    Core.abortTransactions(now);
  const bool mayClose = Stop->mayCloseSessions(now);
  if (mayClose)
    Core.closeIdleSessions(now);
  const bool isEmpty = mayClose && Core.sessionCount() == 0;
  if (!isEmpty)
    LastBusy = now;
  return Stop->mustEnd(now) || (isEmpty && now - LastBusy > SettleTime);
}

void EntryModule::peerConnected(const std::string &ip,
                                const peer::wire::Hello &hello) {
  Node.setTime(Clock());
  Node.peerConnected(ip, hello);
}

void EntryModule::peerLost(const std::string &ip) { Node.peerLost(ip); }

void EntryModule::peerSaid(const std::string &ip,
                           const peer::wire::Message &message) {
  Node.setTime(Clock());
  Node.peerSaid(ip, message);
}

} // namespace stepledge::entry
