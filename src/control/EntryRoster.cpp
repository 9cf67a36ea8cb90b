// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "control/EntryRoster.h"

#include <algorithm>

namespace stepledge::control {

namespace {

void describe(const std::string &ip, const std::string &hall,
              peer::wire::EntryVm &out) {
  out.set_ip(ip);
  out.set_hall(hall);
}

} // namespace

void EntryRoster::join(const std::string &ip, const std::string &hall) {
  Halls[ip] = hall;
  // NOTE: an entry VM subscribes again on each connection.
  InstanceSubscribers.erase(ip);
  Held.erase(ip);
}

void EntryRoster::leave(const std::string &ip) {
  Halls.erase(ip);
  InstanceSubscribers.erase(ip);
  Held.erase(ip);
}

void EntryRoster::setHeld(const std::string &ip, std::uint64_t version) {
  if (Halls.contains(ip))
    Held[ip] = version;
}

std::size_t EntryRoster::countBehind(std::uint64_t version) const {
  return static_cast<std::size_t>(
      std::count_if(Held.begin(), Held.end(),
                    [&](const auto &it) { return it.second < version; }));
}

void EntryRoster::setSubscribed(const std::string &ip, bool isWanted) {
  if (isWanted && Halls.contains(ip))
    InstanceSubscribers.insert(ip);
  else
    InstanceSubscribers.erase(ip);
}

void EntryRoster::listAll(peer::wire::Notice &notice) const {
  for (const auto &[ip, hall] : Halls)
    describe(ip, hall, *notice.add_entries());
}

void EntryRoster::listChanges(peer::wire::Notice &notice) {
  for (const auto &[ip, hall] : Halls) {
    const auto known = LastListed.find(ip);
    if (known == LastListed.end() || known->second != hall)
      describe(ip, hall, *notice.add_entries_joined());
  }
  for (const auto &[ip, hall] : LastListed)
    if (!Halls.contains(ip))
      notice.add_entries_left(ip);
  LastListed = Halls;
}

} // namespace stepledge::control
