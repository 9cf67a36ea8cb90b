// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "distribution/types/ConfigurationChange.h"

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

ConfigurationChange changeBetween(const control::Configuration &from,
                                  const control::Configuration &to) {
  ConfigurationChange change;
  change.From = from.Version;
  change.To = to.Version;
  compare(from.Routes, to.Routes, change.Routes, change.RemovedRoutes);
  compare(from.Services, to.Services, change.Services, change.RemovedServices);
  compare(from.Organisations, to.Organisations, change.Organisations,
          change.RemovedOrganisations);
  change.HasOrganisations = to.HasOrganisations;
  change.TransactionIdleLimit = to.TransactionIdleLimit;
  change.Digest = digestOf(to);
  return change;
}

void extendChange(ConfigurationChange &change,
                  const ConfigurationChange &next) {
  extend(change.Routes, change.RemovedRoutes, next.Routes, next.RemovedRoutes);
  extend(change.Services, change.RemovedServices, next.Services,
         next.RemovedServices);
  extend(change.Organisations, change.RemovedOrganisations, next.Organisations,
         next.RemovedOrganisations);
  change.HasOrganisations = next.HasOrganisations;
  change.To = next.To;
  change.TransactionIdleLimit = next.TransactionIdleLimit;
  change.Digest = next.Digest;
}

bool applyChange(control::Configuration &configuration,
                 const ConfigurationChange &change) {
  const bool isWhole = change.From == 0;
  if (!isWhole && change.From != configuration.Version)
    return false;
  if (isWhole)
    configuration = {};
  apply(configuration.Routes, change.Routes, change.RemovedRoutes);
  apply(configuration.Services, change.Services, change.RemovedServices);
  apply(configuration.Organisations, change.Organisations,
        change.RemovedOrganisations);
  configuration.HasOrganisations = change.HasOrganisations;
  configuration.Version = change.To;
  configuration.TransactionIdleLimit = change.TransactionIdleLimit;
  return digestOf(configuration) == change.Digest;
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
