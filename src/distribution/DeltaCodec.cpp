// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "distribution/DeltaCodec.h"

#include "distribution/generated/Distribution.pb.h"

#include <tuple>

namespace stepledge::distribution {

using control::ReadPolicy;
using control::Route;

namespace {

/// All settings of a route except its database.
auto settingsOf(const Route &route) {
  return std::make_tuple(route.Service, route.Policy, route.StatementTimeout,
                         route.LatencyObjective, route.MaxStaleness,
                         route.Priority, route.IsPublic);
}

void encodeSettings(const Route &route, wire::RouteGroup &out) {
  out.set_service(route.Service);
  out.set_policy(static_cast<std::uint32_t>(route.Policy));
  out.set_statement_timeout_us(route.StatementTimeout.count());
  out.set_latency_objective_us(route.LatencyObjective.count());
  out.set_max_staleness_us(route.MaxStaleness.count());
  out.set_priority(route.Priority);
  out.set_is_public(route.IsPublic);
}

Route decodeSettings(const wire::RouteGroup &group) {
  Route route;
  route.Service = group.service();
  route.Policy = static_cast<ReadPolicy>(group.policy());
  route.StatementTimeout = Duration(group.statement_timeout_us());
  route.LatencyObjective = Duration(group.latency_objective_us());
  route.MaxStaleness = Duration(group.max_staleness_us());
  route.Priority = group.priority();
  route.IsPublic = group.is_public();
  return route;
}

bool isKnownPolicy(std::uint32_t policy) {
  return policy <= static_cast<std::uint32_t>(ReadPolicy::ReadYourWrites);
}

void encodeRoutes(const ConfigurationDelta &delta, wire::Change &out) {
  std::map<decltype(settingsOf(Route())), wire::RouteGroup *> groups;
  for (const auto &[database, route] : delta.Routes) {
    auto &group = groups[settingsOf(route)];
    if (!group) {
      group = out.add_routes();
      encodeSettings(route, *group);
    }
    group->add_databases(database.str());
  }
  for (const auto &it : delta.RemovedRoutes)
    out.add_removed_routes(it.str());
}

void encodeServices(const ConfigurationDelta &delta, wire::Change &out) {
  for (const auto &[name, service] : delta.Services) {
    auto &it = *out.add_services();
    it.set_name(name);
    it.set_max_connections(service.MaxConnections);
    it.set_sync_replicas(service.SyncReplicas);
  }
  for (const auto &it : delta.RemovedServices)
    out.add_removed_services(it);
}

void encodeOrganisations(const ConfigurationDelta &delta, wire::Change &out) {
  for (const auto &[id, organisation] : delta.Organisations) {
    auto &it = *out.add_organisations();
    it.set_id(id.str());
    for (const auto &key : organisation.Keys)
      it.add_keys(key.toBytes());
    it.set_priority(organisation.Priority);
    it.set_rate_per_second(organisation.RatePerSecond);
    it.set_burst(organisation.Burst);
  }
  for (const auto &it : delta.RemovedOrganisations)
    out.add_removed_organisations(it.str());
  out.set_has_organisations(delta.HasOrganisations);
}

/// False if a key is not a digest.
bool decodeOrganisations(const wire::Change &in, ConfigurationDelta &delta) {
  for (const auto &it : in.organisations()) {
    control::Organisation organisation;
    organisation.Id = OrganisationId(it.id());
    for (const auto &bytes : it.keys()) {
      const auto key = KeyDigest::fromBytes(bytes);
      if (!key)
        return false;
      organisation.Keys.insert(*key);
    }
    organisation.Priority = it.priority();
    organisation.RatePerSecond = it.rate_per_second();
    organisation.Burst = it.burst();
    delta.Organisations.insert_or_assign(organisation.Id, organisation);
  }
  for (const auto &it : in.removed_organisations())
    delta.RemovedOrganisations.insert(OrganisationId(it));
  delta.HasOrganisations = in.has_organisations();
  return true;
}

} // namespace

std::string encodeDelta(const ConfigurationDelta &delta) {
  wire::Change out;
  out.set_from(delta.From);
  out.set_to(delta.To);
  encodeRoutes(delta, out);
  encodeServices(delta, out);
  encodeOrganisations(delta, out);
  out.set_transaction_idle_limit_us(delta.TransactionIdleLimit.count());
  out.set_digest(delta.Digest);
  return out.SerializeAsString();
}

std::optional<ConfigurationDelta> decodeDelta(const std::string &bytes) {
  wire::Change in;
  if (!in.ParseFromString(bytes))
    return std::nullopt;
  ConfigurationDelta delta;
  delta.From = in.from();
  delta.To = in.to();
  for (const auto &group : in.routes()) {
    if (!isKnownPolicy(group.policy()))
      return std::nullopt;
    Route route = decodeSettings(group);
    for (const auto &database : group.databases()) {
      route.Database = DatabaseId(database);
      delta.Routes.insert_or_assign(route.Database, route);
    }
  }
  for (const auto &it : in.removed_routes())
    delta.RemovedRoutes.insert(DatabaseId(it));
  for (const auto &it : in.services())
    delta.Services[it.name()] = {it.name(), it.max_connections(),
                                 it.sync_replicas()};
  delta.RemovedServices.insert(in.removed_services().begin(),
                               in.removed_services().end());
  if (!decodeOrganisations(in, delta))
    return std::nullopt;
  delta.TransactionIdleLimit = Duration(in.transaction_idle_limit_us());
  delta.Digest = in.digest();
  return delta;
}

} // namespace stepledge::distribution
