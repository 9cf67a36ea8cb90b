// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "entry/EntryModule.h"

#include "absl/strings/str_cat.h"

#include <utility>

namespace stepledge::entry {

namespace {

/// Closed sessions' last bytes are on their way for this long.
constexpr Duration SettleTime = milliseconds(250);
/// A client that was accepted or answered so lately is likely to ask, also over
/// a full link; its statement is run, while those of other sessions at rest are
/// refused.
constexpr Duration RestBeforeEnd = milliseconds(500);

proxy::ProxyOptions proxyOptions(const EntryOptions &options) {
  proxy::ProxyOptions out;
  out.OwnHall = HallId(options.Hall);
  out.OwnIp = options.Ip;
  return out;
}

quota::QuotaOptions quotaOptions(const EntryModuleOptions &options) {
  quota::QuotaOptions out = options.Quota;
  out.OwnIp = options.Node.Ip;
  out.OwnHall = HallId(options.Node.Hall);
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
                         proxy::ISocketIo &io, proxy::IProxyLog &log,
                         ReadClock clock)
    : Options(std::move(options)), Sockets(io), Log(log),
      Clock(std::move(clock)), LenderEvents(Borrowed, Clock),
      BorrowerEvents(Lending, Clock), ControlEvents(Node, Clock),
      QuotaAskers(Quota), QuotaHomeEvents(Quota, Clock),
      QuotaAskEvents(QuotaAskers, Clock), DiscoveryAskers(Discovery),
      DiscoveryEvents(Discovery, Clock),
      ToHomes(QuotaHomeEvents, DiscoveryEvents),
      ToPartners(LenderEvents, ToHomes),
      FromAskers(QuotaAskEvents, DiscoveryAskers),
      FromPartners(BorrowerEvents, FromAskers),
      LenderHub(context, helloOf(Options.Node, peer::wire::BORROWER),
                Options.LendingPort, ToPartners),
      BorrowerHub(context, helloOf(Options.Node, peer::wire::BORROWER),
                  Options.LendingPort, FromPartners),
      Borrowed(io, LenderHub, log), Lending(BorrowerHub, log),
      Quota(quotaOptions(Options), LenderHub, BorrowerHub, log),
      Core(proxyOptions(Options.Node), Borrowed, log, Lending, Quota.ledger()),
      Hub(context, helloOf(Options.Node, peer::wire::ENTRY), Options.PeerPort,
          ControlEvents),
      Node(Options.Node, Core, Hub, log),
      Discovery(Node, LenderHub, BorrowerHub, Borrowed, log) {
  Borrowed.setProxy(Core);
  Lending.setProxy(Core);
  Quota.wire(Core, Borrowed);
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
  Quota.ledger().stop();
  Log.decision(absl::StrCat("event=stopping sessions=", Core.sessionCount()));
}

bool EntryModule::tick() {
  const TimePoint now = Clock();
  Hub.tick(now);
  LenderHub.tick(now);
  Borrowed.tick(now);
  Lending.tick(now);
  Quota.tick(now);
  Node.tick(now);
  Discovery.tick(now);
  return Stop && continueStop(now);
}

peer::TrafficCount EntryModule::traffic() const {
  peer::TrafficCount all = Hub.traffic();
  all.add(LenderHub.traffic());
  all.add(BorrowerHub.traffic());
  return all;
}

bool EntryModule::continueStop(TimePoint now) {
  if (Stop->mayAbortTransactions(now))
    Core.abortTransactions(now);
  const bool mayClose = Stop->mayCloseSessions(now);
  if (mayClose) {
    Core.beginShutdown();
    Core.closeIdleSessions(now, RestBeforeEnd);
  }
  const bool isEmpty =
      mayClose && Core.sessionCount() == 0 && !Core.lender().isLending();
  if (!isEmpty || hasUnsent())
    LastBusy = now;
  if (!isEmpty && Stop->mustEnd(now))
    cutWork(now);
  return Stop->mustExit(now) || (isEmpty && now - LastBusy > SettleTime);
}

bool EntryModule::hasUnsent() const {
  return Sockets.hasUnsent() || BorrowerHub.hasUnsent();
}

void EntryModule::cutWork(TimePoint now) {
  Log.decision(absl::StrCat("event=stop_cut sessions=", Core.sessionCount(),
                            " waiting=", Core.waitingClients()));
  Core.beginShutdown();
  Core.endAllWork(now);
}

} // namespace stepledge::entry
