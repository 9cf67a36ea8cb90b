// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Wires an entry VM: the proxy, the connections to other VMs, what it
/// lends and borrows, and the steps of a planned stop.

#ifndef STEPLEDGE_ENTRY_ENTRYMODULE_H
#define STEPLEDGE_ENTRY_ENTRYMODULE_H

#include "entry/BorrowedConnections.h"
#include "entry/ControlDiscovery.h"
#include "entry/EntryNode.h"
#include "entry/LendingService.h"
#include "entry/QuotaService.h"
#include "entry/StopPlan.h"
#include "peer/ListenerPair.h"
#include "peer/PeerHub.h"
#include "peer/TimedListener.h"

#include <asio.hpp>

#include <functional>
#include <optional>

namespace stepledge::entry {

struct EntryModuleOptions {
  EntryOptions Node;
  quota::QuotaOptions Quota;
  /// Where this process listens; others may know it by another address.
  std::string ListenIp;
  std::uint16_t PeerPort = 0;
  /// Where other entry VMs ask for connections to instances.
  std::uint16_t LendingPort = 0;
  /// From the stop signal to the kill.
  Duration StopLimit{};
};

class EntryModule {
public:
  using ReadClock = std::function<TimePoint()>;

  EntryModule(asio::io_context &context, EntryModuleOptions options,
              proxy::ISocketIo &io, proxy::IProxyLog &log, ReadClock clock);

  void start();
  /// Call it each few milliseconds; true once a planned stop is through.
  bool tick();
  void stop();
  bool isReady() const { return Node.isReady() && !Stop; }
  proxy::Proxy &proxy() { return Core; }
  /// What this VM has sent to others.
  peer::TrafficCount traffic() const;
  void setSeeds(std::set<std::string> ips) { Node.setSeeds(std::move(ips)); }
  /// Whether the settings should be read again for other seeds.
  bool needsSeeds() const { return Node.needsControlAddresses(Clock()); }

private:
  /// True once the stop is through.
  bool continueStop(TimePoint now);
  /// Answers the clients that still wait, and ends all sessions and borrows.
  void cutWork(TimePoint now);

  /// Whether answers to clients or replies to borrowers wait to be sent.
  bool hasUnsent() const;

  EntryModuleOptions Options;
  proxy::ISocketIo &Sockets;
  proxy::IProxyLog &Log;
  ReadClock Clock;
  /// Of the connections that this VM opened to lenders.
  peer::TimedListener<BorrowedConnections> LenderEvents;
  /// Of the connections that borrowers opened to this VM.
  peer::TimedListener<LendingService> BorrowerEvents;
  peer::TimedListener<EntryNode> ControlEvents;
  QuotaAskerEvents QuotaAskers;
  peer::TimedListener<QuotaService> QuotaHomeEvents;
  peer::TimedListener<QuotaAskerEvents> QuotaAskEvents;
  ControlDiscoveryAskers DiscoveryAskers;
  peer::TimedListener<ControlDiscovery> DiscoveryEvents;
  peer::ListenerPair ToHomes;
  peer::ListenerPair ToPartners;
  peer::ListenerPair FromAskers;
  peer::ListenerPair FromPartners;
  // NOTE: two hubs, so that the replies to one VM's calls all come by the
  // connection that it opened, in their order.
  peer::PeerHub LenderHub;
  peer::PeerHub BorrowerHub;
  BorrowedConnections Borrowed;
  LendingService Lending;
  QuotaService Quota;
  proxy::Proxy Core;
  peer::PeerHub Hub;
  EntryNode Node;
  ControlDiscovery Discovery;
  std::optional<StopPlan> Stop;
  TimePoint LastBusy{};
};

} // namespace stepledge::entry

#endif // STEPLEDGE_ENTRY_ENTRYMODULE_H
