// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The configuration that operators set: routes, services,
/// organisations and limits.

#ifndef STEPLEDGE_CONTROL_TYPES_CONFIGURATION_H
#define STEPLEDGE_CONTROL_TYPES_CONFIGURATION_H

#include "base/KeyDigest.h"
#include "base/types/Ids.h"
#include "base/types/Time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace stepledge::control {

/// How current the reads of a route must be.
enum class ReadPolicy {
  /// Every read sees every commit acknowledged before it.
  Current,
  /// A read may miss commits younger than the route's staleness.
  BoundedStaleness,
  /// As BoundedStaleness, and it sees every commit of its own session.
  ReadYourWrites,
};

/// A customer of the operator: its API keys, priority and rate limit.
struct Organisation {
  OrganisationId Id;
  /// The digests of the API keys of its clients; the keys themselves stay on
  /// the control VMs.
  std::set<KeyDigest> Keys;
  /// 0 ranks highest.
  int Priority = 0;
  /// Operations per second over all VMs, and the burst on top of them;
  /// unlimited if the rate is 0.
  double RatePerSecond = 0;
  double Burst = 0;

  bool operator==(const Organisation &) const = default;
};

struct Route {
  DatabaseId Database;
  std::string Service;
  ReadPolicy Policy = ReadPolicy::Current;
  Duration StatementTimeout{};
  Duration LatencyObjective{};
  Duration MaxStaleness{};
  /// 0 ranks highest.
  int Priority = 0;
  /// Clients need no API key.
  bool IsPublic = false;

  bool operator==(const Route &) const = default;
};

struct ServiceSettings {
  std::string Name;
  /// The maximum number of connections to an instance from all its callers
  /// together.
  int MaxConnections = 0;
  /// The number of replicas that must hold a commit before it is acknowledged.
  int SyncReplicas = 0;

  bool operator==(const ServiceSettings &) const = default;
};

struct Configuration {
  std::uint64_t Version = 0;
  std::map<DatabaseId, Route> Routes;
  std::map<std::string, ServiceSettings> Services;
  std::map<OrganisationId, Organisation> Organisations;
  /// Clients must present an API key; if false, any client is served.
  bool HasOrganisations = false;
  /// How long a transaction may be idle between two statements.
  Duration TransactionIdleLimit{};

  /// The organisation that \p key belongs to; null if the key is unknown or
  /// withdrawn.
  const Organisation *findByKey(const KeyDigest &key) const {
    const auto it = std::find_if(
        Organisations.begin(), Organisations.end(),
        [&](const auto &each) { return each.second.Keys.contains(key); });
    return it == Organisations.end() ? nullptr : &it->second;
  }
};

} // namespace stepledge::control

#endif // STEPLEDGE_CONTROL_TYPES_CONFIGURATION_H
