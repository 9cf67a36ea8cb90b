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

/// A customer of the operator: who may ask, and how often.
struct Organisation {
  OrganisationId Id;
  /// Of the keys that its clients show; the keys themselves stay with the
  /// control VMs.
  std::set<KeyDigest> Keys;
  /// 0 ranks highest.
  int Priority = 0;
  /// Operations a second over all VMs, and how many more may come at once; no
  /// limit where the rate is 0.
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
  /// Clients need no key.
  bool IsPublic = false;

  bool operator==(const Route &) const = default;
};

struct ServiceSettings {
  std::string Name;
  /// The most connections an instance takes, from all its callers together.
  int MaxConnections = 0;
  /// Replicas that must hold a commit before it is acknowledged.
  int SyncReplicas = 0;

  bool operator==(const ServiceSettings &) const = default;
};

struct Configuration {
  std::uint64_t Version = 0;
  std::map<DatabaseId, Route> Routes;
  std::map<std::string, ServiceSettings> Services;
  std::map<OrganisationId, Organisation> Organisations;
  /// Clients show keys; where it is false, anybody may ask.
  bool HasOrganisations = false;
  /// How long a transaction may rest between two statements.
  Duration TransactionIdleLimit{};

  /// Whose key it is; none for an unknown or withdrawn one.
  const Organisation *findByKey(const KeyDigest &key) const {
    const auto it = std::find_if(
        Organisations.begin(), Organisations.end(),
        [&](const auto &each) { return each.second.Keys.contains(key); });
    return it == Organisations.end() ? nullptr : &it->second;
  }
};

} // namespace stepledge::control

#endif // STEPLEDGE_CONTROL_TYPES_CONFIGURATION_H
