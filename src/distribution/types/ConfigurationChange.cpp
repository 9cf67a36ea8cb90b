// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "distribution/types/ConfigurationChange.h"

#include "distribution/ChangeCodec.h"

#include <xxhash.h>

#include <utility>

namespace stepledge::distribution {

namespace {

/// Fills in what of \p to is new or other than in \p from, and what it lacks.
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

} // namespace

ConfigurationChange changeBetween(const control::Configuration &from,
                                  const control::Configuration &to) {
  ConfigurationChange change;
  change.From = from.Version;
  change.To = to.Version;
  compare(from.Routes, to.Routes, change.Routes, change.RemovedRoutes);
  compare(from.Services, to.Services, change.Services, change.RemovedServices);
  change.TransactionIdleLimit = to.TransactionIdleLimit;
  change.Digest = digestOf(to);
  return change;
}

void extendChange(ConfigurationChange &change,
                  const ConfigurationChange &next) {
  extend(change.Routes, change.RemovedRoutes, next.Routes, next.RemovedRoutes);
  extend(change.Services, change.RemovedServices, next.Services,
         next.RemovedServices);
  change.To = next.To;
  change.TransactionIdleLimit = next.TransactionIdleLimit;
  change.Digest = next.Digest;
}

bool applyChange(control::Configuration &configuration,
                 const ConfigurationChange &change) {
  const bool isWhole = change.From == 0;
  if (!isWhole && change.From != configuration.Version)
    return false;
  auto result = isWhole ? control::Configuration() : configuration;
  apply(result.Routes, change.Routes, change.RemovedRoutes);
  apply(result.Services, change.Services, change.RemovedServices);
  result.Version = change.To;
  result.TransactionIdleLimit = change.TransactionIdleLimit;
  if (digestOf(result) != change.Digest)
    return false;
  configuration = std::move(result);
  return true;
}

std::uint64_t digestOf(const control::Configuration &configuration) {
  ConfigurationChange whole;
  whole.To = configuration.Version;
  whole.Routes = configuration.Routes;
  whole.Services = configuration.Services;
  whole.TransactionIdleLimit = configuration.TransactionIdleLimit;
  const std::string bytes = encodeChange(whole);
  return XXH64(bytes.data(), bytes.size(), 0);
}

} // namespace stepledge::distribution
