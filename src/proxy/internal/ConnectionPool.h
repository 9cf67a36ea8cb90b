// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The connections of one VM to all instances, within its shares.

#ifndef STEPLEDGE_PROXY_INTERNAL_CONNECTIONPOOL_H
#define STEPLEDGE_PROXY_INTERNAL_CONNECTIONPOOL_H

#include "membership/types/InstanceRecord.h"
#include "proxy/internal/InstanceConnection.h"
#include "proxy/internal/UseRates.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace stepledge::proxy {

/// How many connections to one instance a VM may hold.
struct ConnectionShare {
  /// Kept open also while idle.
  int Floor = 1;
  /// Never more than these.
  int Limit = 1;
};

class ConnectionPool {
public:
  explicit ConnectionPool(IProxyIo &io) : Io(io) {}

  InstanceConnection *find(ConnectionId id);
  /// A free connection of \p organisation to \p instance; one with \p values
  /// already set is preferred, since it needs no set-up. Those that
  /// \p usesDirect rules out are own ones.
  InstanceConnection *findFree(const InstanceId &instance,
                               const OrganisationId &organisation,
                               const SessionValues &values, bool usesDirect);
  /// The free connection for the proxy's own questions that has rested longest,
  /// so that they find out which have gone silent; \p usesDirect as for
  /// findFree. Any own one will do, and a borrowed one if it was borrowed for
  /// \p borrowedFor.
  InstanceConnection *
  findForQuestion(const InstanceId &instance, bool usesDirect,
                  const std::optional<OrganisationId> &borrowedFor);
  /// A free connection of this VM's own, of \p organisation; without one, any.
  InstanceConnection *
  findFreeDirect(const InstanceId &instance,
                 const std::optional<OrganisationId> &organisation);
  /// Opens one more for \p organisation, unless the share or an earlier refusal
  /// forbids it. At the share's limit a free one of another organisation makes
  /// room: of the one that has used the instance least of late.
  bool openOne(TimePoint now, const membership::InstanceRecord &instance,
               const ConnectionShare &share, const std::string &lenderIp,
               const std::optional<OrganisationId> &organisation);
  /// \p connection is taken for a statement or transaction.
  void noteUse(TimePoint now, const InstanceConnection &connection);
  /// Whether one that was asked for is still on its way.
  bool isOpening(const InstanceId &instance) const;
  bool isOpening(const InstanceId &instance,
                 const std::optional<OrganisationId> &organisation) const;
  void close(ConnectionId id);
  void forget(ConnectionId id);
  /// The instance has no room: no new connection before \p until.
  void refuseUntil(const InstanceId &instance, TimePoint until);
  int countOf(const InstanceId &instance) const;
  /// A copy, since handling one may change the pool.
  std::set<ConnectionId> idsOf(const InstanceId &instance) const {
    return idsAt(instance);
  }
  /// Connections of \p organisation, own and borrowed.
  int countOf(const InstanceId &instance,
              const OrganisationId &organisation) const;
  /// Connections that aren't borrowed.
  int ownAt(const InstanceId &instance) const;
  int ownAt(const InstanceId &instance,
            const OrganisationId &organisation) const;
  /// Since when this VM has had an own connection, if it has one.
  std::optional<TimePoint> ownSince(const InstanceId &instance) const;
  /// The instance lately had no room for a new connection.
  bool isFull(TimePoint now, const InstanceId &instance) const;
  /// How long no new connection may be opened, since the instance had no room.
  Duration pauseLeft(TimePoint now, const InstanceId &instance) const;
  /// Own connections that the instance hasn't accepted yet.
  int openingAt(const InstanceId &instance) const;
  /// Connections that open transactions of \p organisation hold.
  int pinnedAt(const InstanceId &instance,
               const OrganisationId &organisation) const;
  /// Own connections that open transactions have held without a statement since
  /// \p since.
  int restingAt(const InstanceId &instance, TimePoint since) const;
  /// Since when an answer is owed that proves whether \p instance leads.
  std::optional<TimePoint> provingSince(const InstanceId &instance) const;
  /// Connections on which \p instance owes an answer.
  int busyAt(const InstanceId &instance) const;
  /// The same without borrowed connections.
  int ownBusyAt(const InstanceId &instance) const;
  /// The connections that \p lender lends.
  std::vector<ConnectionId> borrowedFrom(const std::string &lender,
                                         const InstanceId &instance) const;
  std::map<ConnectionId, InstanceConnection> &all() { return Connections; }

private:
  const std::set<ConnectionId> &idsAt(const InstanceId &instance) const;
  template <typename Predicate>
  int countIf(const InstanceId &instance, Predicate predicate) const;
  /// Of the free connections that \p isAllowed, an own one with the least
  /// \p secondKey; a borrowed one only where there is no own one.
  template <typename Predicate, typename SecondKey>
  InstanceConnection *findFirstFree(const InstanceId &instance,
                                    Predicate isAllowed, SecondKey secondKey);
  /// Closes a free connection that isn't \p organisation's; false if there is
  /// none.
  bool makeRoom(TimePoint now, const InstanceId &instance, bool isBorrowed,
                const std::optional<OrganisationId> &organisation);

  IProxyIo &Io;
  std::map<ConnectionId, InstanceConnection> Connections;
  std::map<InstanceId, std::set<ConnectionId>> ByInstance;
  std::map<InstanceId, TimePoint> RefusedUntil;
  /// Of the instances with connections.
  std::map<InstanceId, UseRates> Rates;
  std::uint64_t LastId = 0;
};

/// The commands that give \p connection exactly \p values.
std::vector<InstanceCommand> valueSetup(InstanceConnection &connection,
                                        const SessionValues &values);

/// The connection's name of \p shape; prepares it first if needed.
std::string preparedName(InstanceConnection &connection,
                         const PreparedShape &shape,
                         std::vector<InstanceCommand> &setup);

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_INTERNAL_CONNECTIONPOOL_H
