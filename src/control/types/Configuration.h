// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The configuration that operators set: routes, services and limits.

#ifndef STEPLEDGE_CONTROL_TYPES_CONFIGURATION_H
#define STEPLEDGE_CONTROL_TYPES_CONFIGURATION_H

#include "base/types/Ids.h"
#include "base/types/Time.h"

#include <cstdint>
#include <map>
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

struct Route {
  DatabaseId Database;
  std::string Service;
  ReadPolicy Policy = ReadPolicy::Current;
  Duration StatementTimeout{};
  Duration LatencyObjective{};
  Duration MaxStaleness{};
  /// 0 ranks highest.
  int Priority = 0;

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
  /// How long a transaction may rest between two statements.
  Duration TransactionIdleLimit{};
};

} // namespace stepledge::control

#endif // STEPLEDGE_CONTROL_TYPES_CONFIGURATION_H
