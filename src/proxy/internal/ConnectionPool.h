// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The connection pool of one VM: its connections to all instances,
/// within its share of each.

#ifndef STEPLEDGE_PROXY_INTERNAL_CONNECTIONPOOL_H
#define STEPLEDGE_PROXY_INTERNAL_CONNECTIONPOOL_H

#include "membership/types/InstanceRecord.h"
#include "proxy/internal/InstanceConnection.h"
#include "proxy/internal/UsageRates.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace stepledge::proxy {

/// How many connections to one instance a VM may hold.
struct ConnectionShare {
  /// Connections that stay open while idle.
  int Floor = 1;
  /// The most connections at any time.
  int Limit = 1;
};

class ConnectionPool {
public:
  explicit ConnectionPool(IProxyIo &io) : Io(io) {}

  InstanceConnection *find(ConnectionId id);
  /// A free connection of \p organisation to \p instance, an own one before a
  /// borrowed one, and preferably one with \p values already set, which needs
  /// no setup. Own connections are used only if \p usesDirect.
  InstanceConnection *findFree(const InstanceId &instance,
                               const OrganisationId &organisation,
                               const SessionValues &values, bool usesDirect);
  /// The free connection for the proxy's own probes, an own one before a
  /// borrowed one, that has been idle longest, so that the probes detect silent
  /// connections; \p usesDirect as for findFree. Any own connection is
  /// suitable, and a borrowed one if it was borrowed for \p borrowedFor.
  InstanceConnection *
  findForProbe(const InstanceId &instance, bool usesDirect,
               const std::optional<OrganisationId> &borrowedFor);
  /// A free own connection of \p organisation; of any if none is given.
  InstanceConnection *
  findFreeDirect(const InstanceId &instance,
                 const std::optional<OrganisationId> &organisation);
  /// Opens one more connection for \p organisation. At the limit of the share,
  /// or for an own connection while opening is paused, it replaces a free one
  /// of another organisation: of the one with the lowest recent rate of use of
  /// the instance. Returns false if there is none.
  bool openOne(TimePoint now, const membership::InstanceRecord &instance,
               const ConnectionShare &share, const std::string &lenderIp,
               const std::optional<OrganisationId> &organisation);
  /// Records that \p connection is taken for a statement or transaction.
  void noteUse(TimePoint now, const InstanceConnection &connection);
  /// Whether a connection was requested and isn't ready yet.
  bool isOpening(const InstanceId &instance) const;
  /// The same for exactly that organisation; if none is given, for a connection
  /// without an organisation.
  bool isOpening(const InstanceId &instance,
                 const std::optional<OrganisationId> &organisation) const;
  /// Removes the connection and closes its socket.
  void close(ConnectionId id);
  /// Removes a connection whose socket is already closed.
  void remove(ConnectionId id);
  /// Opens no additional own connection before \p until, since the instance
  /// refused one.
  void pauseOpeningUntil(const InstanceId &instance, TimePoint until);
  int countOf(const InstanceId &instance) const;
  /// A copy, since handling a connection may change the pool.
  std::set<ConnectionId> idsOf(const InstanceId &instance) const {
    return idsAt(instance);
  }
  /// Connections of \p organisation, own and borrowed.
  int countOf(const InstanceId &instance,
              const OrganisationId &organisation) const;
  /// Connections that aren't borrowed.
  int ownCount(const InstanceId &instance) const;
  int ownCount(const InstanceId &instance,
               const OrganisationId &organisation) const;
  /// When the oldest ready own connection was opened, if there is one.
  std::optional<TimePoint> ownConnectionSince(const InstanceId &instance) const;
  /// Whether opening is paused, since the instance had no free connection.
  bool isOpeningPaused(TimePoint now, const InstanceId &instance) const;
  /// How long no new connection may be opened yet, after the instance had no
  /// capacity for one.
  Duration openingPauseLeft(TimePoint now, const InstanceId &instance) const;
  /// Own connections that the instance hasn't accepted yet.
  int openingCount(const InstanceId &instance) const;
  /// Connections that open transactions of this VM's clients of \p organisation
  /// hold.
  int pinnedCount(const InstanceId &instance,
                  const OrganisationId &organisation) const;
  /// Own connections that are idle in a transaction, of this VM or a borrower,
  /// since \p since or longer.
  int idleInTransactionCount(const InstanceId &instance, TimePoint since) const;
  /// Send time of the oldest command whose answer proves whether \p instance is
  /// the primary, of those that are the next to be answered on their
  /// connections.
  std::optional<TimePoint> proofPendingSince(const InstanceId &instance) const;
  /// Connections with commands that \p instance hasn't answered.
  int busyCount(const InstanceId &instance) const;
  /// The same without borrowed connections.
  int ownBusyCount(const InstanceId &instance) const;
  /// The connections that \p lender lends.
  std::vector<ConnectionId> borrowedFrom(const std::string &lender,
                                         const InstanceId &instance) const;
  std::map<ConnectionId, InstanceConnection> &all() { return Connections; }

private:
  const std::set<ConnectionId> &idsAt(const InstanceId &instance) const;
  template <typename Predicate>
  int countIf(const InstanceId &instance, Predicate predicate) const;
  /// Of the free connections that \p isAllowed accepts, the own one with the
  /// least \p secondKey; a borrowed one only if there is no own one.
  template <typename Predicate, typename SecondKey>
  InstanceConnection *findBestFree(const InstanceId &instance,
                                   Predicate isAllowed, SecondKey secondKey);
  /// Closes a free connection that isn't for \p organisation; false if there is
  /// none.
  bool evictFree(TimePoint now, const InstanceId &instance, bool isBorrowed,
                 const std::optional<OrganisationId> &organisation);

  IProxyIo &Io;
  std::map<ConnectionId, InstanceConnection> Connections;
  std::map<InstanceId, std::set<ConnectionId>> ByInstance;
  std::map<InstanceId, TimePoint> OpeningPausedUntil;
  /// By instance; only instances with connections have an entry.
  std::map<InstanceId, UsageRates> Rates;
  std::uint64_t LastId = 0;
};

/// The commands that set the session values of \p connection to \p values; also
/// records them as set.
std::vector<InstanceCommand> valueSetup(InstanceConnection &connection,
                                        const SessionValues &values);

/// The name of \p shape on \p connection; where it isn't prepared there yet,
/// the command for it is added to \p setup.
std::string preparedName(InstanceConnection &connection,
                         const PreparedShape &shape,
                         std::vector<InstanceCommand> &setup);

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_INTERNAL_CONNECTIONPOOL_H
