// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "entry/ControlDiscovery.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include <algorithm>

namespace stepledge::entry {

void ControlDiscoveryAskers::peerSaid(const std::string &ip,
                                      const peer::wire::Message &message) {
  if (message.has_control_members_wanted())
    Discovery.answer(ip);
}

void ControlDiscovery::tick(TimePoint now) {
  if (!Node.needsControlAddresses(now)) {
    if (!Targets.empty())
      Connections.keepAlso(KeptFor::ControlDiscovery, {});
    Targets.clear();
    return;
  }
  if (Targets.empty() || now - ChosenAt >= QueryInterval) {
    ChosenAt = now;
    chooseNext();
  }
  askConnected();
}

void ControlDiscovery::chooseNext() {
  const auto others = Node.otherEntryIps();
  Targets.clear();
  AskedIps.clear();
  auto it = others.upper_bound(LastIp);
  const std::size_t n = std::min(ConcurrentQueries, others.size());
  while (Targets.size() < n) {
    if (it == others.end())
      it = others.begin();
    LastIp = *it++;
    Targets.insert(LastIp);
  }
  Connections.keepAlso(KeptFor::ControlDiscovery, Targets);
}

void ControlDiscovery::askConnected() {
  peer::wire::Message message;
  message.mutable_control_members_wanted();
  for (const auto &ip : Targets)
    if (!AskedIps.contains(ip) && Asked.send(ip, message))
      AskedIps.insert(ip);
}

void ControlDiscovery::answer(const std::string &ip) {
  peer::wire::Message message;
  auto &out = *message.mutable_control_members();
  for (const auto &it : Node.controlMembers())
    out.add_ips(it);
  // NOTE: without contact to a majority, this VM may know only former members.
  if (out.ips_size() > 0)
    Askers.send(ip, message);
}

void ControlDiscovery::peerLost(const std::string &ip, peer::LinkEnd end) {
  (void)end;
  AskedIps.erase(ip);
}

void ControlDiscovery::peerSaid(const std::string &ip,
                                const peer::wire::Message &message) {
  if (!message.has_control_members())
    return;
  const auto &told = message.control_members().ips();
  const std::set<std::string> ips(told.begin(), told.end());
  Log.decision(absl::StrCat("event=control_members_told ip=", ip,
                            " members=", absl::StrJoin(ips, ",")));
  Node.addControlAddresses(ips);
}

} // namespace stepledge::entry
