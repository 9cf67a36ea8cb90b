// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "distribution/types/ConfigurationDelta.h"

#include <xxhash.h>

#include <array>
#include <bit>

namespace stepledge::distribution {

namespace {

/// Sets the entries of \p to that are new or different from \p from, and the
/// removed ones.
template <typename Key, typename Value>
void compare(const std::map<Key, Value> &from, const std::map<Key, Value> &to,
             std::map<Key, Value> &changed, std::set<Key> &removed) {
  for (const auto &[key, value] : to) {
    const auto it = from.find(key);
    if (it == from.end() || it->second != value)
      changed.emplace(key, value);
  }
  for (const auto &[key, value] : from)
    if (!to.contains(key))
      removed.insert(key);
}

template <typename Key, typename Value>
void extend(std::map<Key, Value> &changed, std::set<Key> &removed,
            const std::map<Key, Value> &nextChanged,
            const std::set<Key> &nextRemoved) {
  for (const auto &[key, value] : nextChanged) {
    changed.insert_or_assign(key, value);
    removed.erase(key);
  }
  for (const auto &key : nextRemoved) {
    changed.erase(key);
    removed.insert(key);
  }
}

template <typename Key, typename Value>
void apply(std::map<Key, Value> &all, const std::map<Key, Value> &changed,
           const std::set<Key> &removed) {
  for (const auto &key : removed)
    all.erase(key);
  for (const auto &[key, value] : changed)
    all.insert_or_assign(key, value);
}

std::uint64_t hashOf(const std::string &text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

template <std::size_t N>
std::uint64_t hashOf(const std::array<std::int64_t, N> &numbers,
                     std::uint64_t seed) {
  return XXH64(numbers.data(), sizeof(numbers), seed);
}

std::uint64_t hashOf(const control::Route &route) {
  const std::array<std::int64_t, 6> numbers{
      static_cast<std::int64_t>(route.Policy),
      route.StatementTimeout.count(),
      route.LatencyObjective.count(),
      route.MaxStaleness.count(),
      route.Priority,
      route.IsPublic};
  const auto names = hashOf(route.Database.str(), hashOf(route.Service, 0));
  return hashOf(numbers, names);
}

std::uint64_t hashOf(const control::ServiceSettings &service) {
  const std::array<std::int64_t, 2> numbers{service.MaxConnections,
                                            service.SyncReplicas};
  return hashOf(numbers, hashOf(service.Name, 0));
}

std::uint64_t hashOf(const control::Organisation &organisation) {
  const std::array<std::int64_t, 3> numbers{
      organisation.Priority,
      std::bit_cast<std::int64_t>(organisation.RatePerSecond),
      std::bit_cast<std::int64_t>(organisation.Burst)};
  std::uint64_t hash = hashOf(numbers, hashOf(organisation.Id.str(), 0));
  for (const auto &it : organisation.Keys)
    hash = hashOf(it.toBytes(), hash);
  return hash;
}

} // namespace

ConfigurationDelta deltaBetween(const control::Configuration &from,
                                const control::Configuration &to) {
  ConfigurationDelta delta;
  delta.From = from.Version;
  delta.To = to.Version;
  compare(from.Routes, to.Routes, delta.Routes, delta.RemovedRoutes);
  compare(from.Services, to.Services, delta.Services, delta.RemovedServices);
  compare(from.Organisations, to.Organisations, delta.Organisations,
          delta.RemovedOrganisations);
  delta.HasOrganisations = to.HasOrganisations;
  delta.TransactionIdleLimit = to.TransactionIdleLimit;
  delta.Digest = digestOf(to);
  return delta;
}

void extendDelta(ConfigurationDelta &delta, const ConfigurationDelta &next) {
  extend(delta.Routes, delta.RemovedRoutes, next.Routes, next.RemovedRoutes);
  extend(delta.Services, delta.RemovedServices, next.Services,
         next.RemovedServices);
  extend(delta.Organisations, delta.RemovedOrganisations, next.Organisations,
         next.RemovedOrganisations);
  delta.HasOrganisations = next.HasOrganisations;
  delta.To = next.To;
  delta.TransactionIdleLimit = next.TransactionIdleLimit;
  delta.Digest = next.Digest;
}

bool applyDelta(control::Configuration &configuration,
                const ConfigurationDelta &delta) {
  const bool isFull = delta.From == 0;
  if (!isFull && delta.From != configuration.Version)
    return false;
  if (isFull)
    configuration = {};
  apply(configuration.Routes, delta.Routes, delta.RemovedRoutes);
  apply(configuration.Services, delta.Services, delta.RemovedServices);
  apply(configuration.Organisations, delta.Organisations,
        delta.RemovedOrganisations);
  configuration.HasOrganisations = delta.HasOrganisations;
  configuration.Version = delta.To;
  configuration.TransactionIdleLimit = delta.TransactionIdleLimit;
  return digestOf(configuration) == delta.Digest;
}

std::uint64_t digestOf(const control::Configuration &configuration) {
  const std::array<std::int64_t, 3> numbers{
      static_cast<std::int64_t>(configuration.Version),
      configuration.TransactionIdleLimit.count(),
      configuration.HasOrganisations};
  std::uint64_t digest = hashOf(numbers, 0);
  for (const auto &[database, route] : configuration.Routes)
    digest += hashOf(route);
  for (const auto &[name, service] : configuration.Services)
    digest += hashOf(service);
  for (const auto &[id, organisation] : configuration.Organisations)
    digest += hashOf(organisation);
  return digest;
}

} // namespace stepledge::distribution
