// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Quotas between entry VMs: carries the ledger's questions to the homes
/// and its answers to those that ask this VM as a home.

#ifndef STEPLEDGE_ENTRY_QUOTASERVICE_H
#define STEPLEDGE_ENTRY_QUOTASERVICE_H

#include "entry/BorrowedConnections.h"
#include "peer/IPeerListener.h"
#include "peer/IPeerSender.h"
#include "proxy/Proxy.h"
#include "quota/QuotaLedger.h"

#include <set>
#include <string>

namespace stepledge::entry {

class QuotaService;

/// The connections by which others ask this VM as a home.
class QuotaAskerEvents : public peer::IPeerListener {
public:
  explicit QuotaAskerEvents(QuotaService &service) : Service(service) {}

  void setTime(TimePoint now);
  void peerSaid(const std::string &ip,
                const peer::wire::Message &message) override;

private:
  QuotaService &Service;
};

/// Listens to the connections to the homes.
class QuotaService : public quota::IQuotaIo, public peer::IPeerListener {
public:
  QuotaService(quota::QuotaOptions options, peer::IPeerSender &homes,
               peer::IPeerSender &askers, proxy::IProxyLog &log)
      : Homes(homes), Askers(askers), Log(log),
        Ledger(std::move(options), *this) {}

  /// \p connections keeps the connections to the homes open.
  void wire(proxy::Proxy &proxy, BorrowedConnections &connections);
  quota::QuotaLedger &ledger() { return Ledger; }
  void tick(TimePoint now);
  void setTime(TimePoint now) { Now = now; }
  /// Another VM asks this one as a home.
  void takeAsk(const std::string &ip, const peer::wire::QuotaAsk &ask);
  /// Another VM of the hall says that it is there.
  void takePresence(const std::string &ip,
                    const peer::wire::QuotaPresence &presence);

  void peerConnected(const std::string &ip,
                     const peer::wire::Hello &hello) override;
  void peerLost(const std::string &ip, peer::LinkEnd end) override;
  void peerSaid(const std::string &ip,
                const peer::wire::Message &message) override;

  bool askHome(const std::string &ip, const quota::QuotaAsk &ask) override;
  void sendGrant(const std::string &ip,
                 const quota::QuotaGrant &grant) override;
  void tellPresence(const std::string &ip, bool isLeaving) override;
  void quotaChanged(const OrganisationId &organisation) override;

private:
  void keepHomes();
  void logUse(TimePoint now);

  peer::IPeerSender &Homes;
  peer::IPeerSender &Askers;
  proxy::IProxyLog &Log;
  quota::QuotaLedger Ledger;
  proxy::Proxy *Proxy = nullptr;
  BorrowedConnections *Connections = nullptr;
  /// Homes of other halls that have been asked.
  std::set<std::string> FarHomes;
  TimePoint UseLoggedAt{};
  TimePoint Now{};
};

} // namespace stepledge::entry

#endif // STEPLEDGE_ENTRY_QUOTASERVICE_H
