// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The lender's side: takes other VMs' calls to the proxy's lender, and
/// ends what a borrower leaves behind when it goes.

#ifndef STEPLEDGE_ENTRY_LENDINGSERVICE_H
#define STEPLEDGE_ENTRY_LENDINGSERVICE_H

#include "base/types/Time.h"
#include "entry/BorrowedConnections.h"
#include "entry/internal/LendingPartner.h"
#include "peer/IPeerListener.h"
#include "peer/IPeerSender.h"
#include "proxy/IBorrowerIo.h"
#include "proxy/Proxy.h"

#include <map>
#include <set>
#include <string>

namespace stepledge::entry {

class LendingService : public proxy::IBorrowerIo, public peer::IPeerListener {
public:
  LendingService(peer::IPeerSender &borrowers, proxy::IProxyLog &log,
                 BorrowOptions options = {})
      : Borrowers(borrowers), Log(log), Options(options) {}

  void setProxy(proxy::Proxy &proxy) { Proxy = &proxy; }
  void tick(TimePoint now);
  /// A new connection of \p ip: what it asked for on an older one is over.
  void peerConnected(const std::string &ip,
                     const peer::wire::Hello &hello) override;
  void peerLost(const std::string &ip, peer::LinkEnd end) override;
  void peerHeard(const std::string &ip) override;
  void peerSaid(const std::string &ip,
                const peer::wire::Message &message) override;
  void setTime(TimePoint now) { Now = now; }

  void
  answerBorrower(const proxy::BorrowKey &key,
                 const std::vector<proxy::StatementReply> &replies) override;
  void endBorrower(const proxy::BorrowKey &key, proxy::LendingEnd reason,
                   Duration expectedWait) override;

private:
  void tell(const std::string &ip, const peer::wire::Message &message);

  peer::IPeerSender &Borrowers;
  proxy::IProxyLog &Log;
  BorrowOptions Options;
  proxy::Proxy *Proxy = nullptr;
  std::map<std::string, LendingPartner> Known;
  TimePoint Now{};
};

} // namespace stepledge::entry

#endif // STEPLEDGE_ENTRY_LENDINGSERVICE_H
