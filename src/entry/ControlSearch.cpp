// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "entry/ControlSearch.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include <algorithm>

namespace stepledge::entry {

void ControlSearchAskers::peerConnected(const std::string &ip,
                                        const peer::wire::Hello &hello) {
  (void)ip;
  (void)hello;
}

void ControlSearchAskers::peerLost(const std::string &ip, peer::LinkEnd end) {
  (void)ip;
  (void)end;
}

void ControlSearchAskers::peerSaid(const std::string &ip,
                                   const peer::wire::Message &message) {
  if (message.has_control_members_wanted())
    Search.answer(ip);
}

void ControlSearch::tick(TimePoint now) {
  if (!Node.needsControlAddresses(now)) {
    if (!Targets.empty())
      Connections.keepAlso(KeptFor::ControlSearch, {});
    Targets.clear();
    return;
  }
  if (Targets.empty() || now - ChosenAt >= AskInterval) {
    ChosenAt = now;
    chooseNext();
  }
  askConnected();
}

void ControlSearch::chooseNext() {
  const auto others = Node.otherEntryIps();
  Targets.clear();
  AskedIps.clear();
  auto it = others.upper_bound(LastIp);
  const std::size_t n = std::min(AskedAtOnce, others.size());
  while (Targets.size() < n) {
    if (it == others.end())
      it = others.begin();
    LastIp = *it++;
    Targets.insert(LastIp);
  }
  Connections.keepAlso(KeptFor::ControlSearch, Targets);
}

void ControlSearch::askConnected() {
  peer::wire::Message message;
  message.mutable_control_members_wanted();
  for (const auto &ip : Targets)
    if (!AskedIps.contains(ip) && Asked.send(ip, message))
      AskedIps.insert(ip);
}

void ControlSearch::answer(const std::string &ip) {
  peer::wire::Message message;
  auto &out = *message.mutable_control_members();
  for (const auto &it : Node.controlMembers())
    out.add_ips(it);
  // NOTE: without a majority in its hearing, this VM may know only old ones.
  if (out.ips_size() > 0)
    Askers.send(ip, message);
}

void ControlSearch::peerConnected(const std::string &ip,
                                  const peer::wire::Hello &hello) {
  (void)ip;
  (void)hello;
}

void ControlSearch::peerLost(const std::string &ip, peer::LinkEnd end) {
  (void)end;
  AskedIps.erase(ip);
}

void ControlSearch::peerSaid(const std::string &ip,
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
