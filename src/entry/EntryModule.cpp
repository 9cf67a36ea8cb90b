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
  out.OwnIp = options.Ip;
  return out;
}

peer::wire::Hello helloOf(const EntryOptions &options, peer::wire::Kind kind) {
  peer::wire::Hello hello;
  hello.set_ip(options.Ip);
  hello.set_hall(options.Hall);
  hello.set_kind(kind);
  return hello;
}

} // namespace

EntryModule::EntryModule(asio::io_context &context, EntryModuleOptions options,
                         proxy::IProxyIo &io, proxy::IProxyLog &log,
                         EntryNode::Decode decode, ReadClock clock)
    : Options(std::move(options)), Log(log), Clock(std::move(clock)),
      LenderHub(context, helloOf(Options.Node, peer::wire::BORROWER),
                Options.LendingPort, LenderEvents),
      BorrowerHub(context, helloOf(Options.Node, peer::wire::BORROWER),
                  Options.LendingPort, BorrowerEvents),
      Borrowed(io, LenderHub, log), Lending(BorrowerHub, log),
      Core(proxyOptions(Options.Node), Borrowed, log, Lending),
      Hub(context, helloOf(Options.Node, peer::wire::ENTRY), Options.PeerPort,
          *this),
      Node(Options.Node, Core, Hub, log, std::move(decode)) {
  Borrowed.setProxy(Core);
  Lending.setProxy(Core);
}

void EntryModule::start() {
  if (const auto ec = BorrowerHub.listen(Options.ListenIp); ec)
    Log.decision(
        absl::StrCat("event=lending_off reason=\"", ec.message(), "\""));
}

void EntryModule::stop() {
  if (Stop)
    return;
  Stop = StopPlan{Clock(), Options.StopLimit};
  Core.lender().stop();
  Log.decision(absl::StrCat("event=stopping sessions=", Core.sessionCount()));
}

bool EntryModule::tick() {
  const TimePoint now = Clock();
  Hub.tick(now);
  LenderHub.tick(now);
  Borrowed.tick(now);
  Lending.tick(now);
  Node.tick(now);
  return Stop && continueStop(now);
}

bool EntryModule::continueStop(TimePoint now) {
  if (Stop->mayAbortTransactions(now))
    Core.abortTransactions(now);
  const bool mayClose = Stop->mayCloseSessions(now);
  if (mayClose)
    Core.closeIdleSessions(now);
  const bool isEmpty =
      mayClose && Core.sessionCount() == 0 && !Core.lender().isLending();
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

void EntryModule::LenderPeers::peerConnected(const std::string &ip,
                                             const peer::wire::Hello &hello) {
  (void)hello;
  Module.Borrowed.setTime(Module.Clock());
  Module.Borrowed.lenderConnected(ip);
}

void EntryModule::LenderPeers::peerLost(const std::string &ip) {
  Module.Borrowed.setTime(Module.Clock());
  Module.Borrowed.lenderLost(ip);
}

void EntryModule::LenderPeers::peerSaid(const std::string &ip,
                                        const peer::wire::Message &message) {
  Module.Borrowed.setTime(Module.Clock());
  Module.Borrowed.lenderSaid(ip, message);
}

void EntryModule::BorrowerPeers::peerConnected(const std::string &ip,
                                               const peer::wire::Hello &hello) {
  (void)hello;
  Module.Lending.setTime(Module.Clock());
  Module.Lending.borrowerConnected(ip);
}

void EntryModule::BorrowerPeers::peerLost(const std::string &ip) {
  Module.Lending.setTime(Module.Clock());
  Module.Lending.borrowerLost(ip);
}

void EntryModule::BorrowerPeers::peerSaid(const std::string &ip,
                                          const peer::wire::Message &message) {
  Module.Lending.setTime(Module.Clock());
  Module.Lending.borrowerSaid(ip, message);
}

} // namespace stepledge::entry
