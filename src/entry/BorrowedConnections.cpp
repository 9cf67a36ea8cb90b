// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "entry/BorrowedConnections.h"

#include "entry/internal/BorrowCodec.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <set>
#include <utility>

namespace stepledge::entry {

namespace {

/// Whatever a lender of another version tells: no statement waits for longer.
constexpr Duration LongestToldWait = std::chrono::seconds(10);

} // namespace

void BorrowedConnections::openConnection(
    ConnectionId connection, const proxy::ConnectionTarget &target) {
  if (!target.isBorrowed())
    return Sockets.openConnection(connection, target);
  auto &it = Connections[connection];
  it.LenderIp = target.LenderIp;
  it.Service = target.Service;
  it.Instance = target.Instance;
  it.Organisation = target.Organisation;
  it.IsReady = isLenderConnected(target.LenderIp);
  const auto [state, isNew] = States.try_emplace(target.LenderIp);
  state->second.IsLender = true;
  if (isNew)
    keepLenders();
}

bool BorrowedConnections::isLenderConnected(const std::string &ip) const {
  const auto it = States.find(ip);
  return it != States.end() && it->second.IsConnected;
}

void BorrowedConnections::sendBorrowed(
    ConnectionId connection,
    const std::vector<proxy::InstanceCommand> &commands,
    const proxy::BorrowNeeds &needs) {
  const auto found = Connections.find(connection);
  if (found == Connections.end())
    return;
  auto &it = found->second;
  peer::wire::Message message;
  auto &call = *message.mutable_borrow_call();
  call.set_use(connection.Number);
  call.set_is_first(!it.isInUse());
  if (call.is_first()) {
    call.set_service(it.Service);
    call.set_instance(it.Instance.str());
    if (it.Organisation)
      call.set_organisation(it.Organisation->str());
  }
  for (const auto &command : commands)
    encodeCommand(command, *call.add_commands());
  encodeNeeds(Now, needs, call);
  if (it.Outstanding == 0)
    it.AskedAt = Now;
  it.Outstanding += static_cast<int>(commands.size());
  tell(it.LenderIp, message);
}

void BorrowedConnections::tell(const std::string &lender,
                               const peer::wire::Message &message) {
  States[lender].ToldAt = Now;
  Lenders.send(lender, message);
}

void BorrowedConnections::closeConnection(ConnectionId connection) {
  const auto found = Connections.extract(connection);
  if (found.empty())
    return Sockets.closeConnection(connection);
  if (found.mapped().isInUse())
    sendEnd(found.mapped(), connection);
}

void BorrowedConnections::sendEnd(const Borrowed &borrowed,
                                  ConnectionId connection) {
  peer::wire::Message message;
  message.mutable_borrow_end()->set_use(connection.Number);
  Lenders.send(borrowed.LenderIp, message);
}

void BorrowedConnections::peerConnected(const std::string &ip,
                                        const peer::wire::Hello &hello) {
  (void)hello;
  auto &state = States[ip];
  state.IsConnected = true;
  state.HeardAt = Now;
  for (const auto id : noteReady())
    if (Connections.contains(id))
      Proxy->connectionReady(Now, id, {});
}

void BorrowedConnections::peerLost(const std::string &ip, peer::LinkEnd end) {
  States[ip].IsConnected = false;
  std::vector<ConnectionId> lost;
  for (const auto &[id, it] : Connections)
    if (it.LenderIp == ip)
      lost.push_back(id);
  if (!lost.empty() || end == peer::LinkEnd::Unreadable)
    Log.decision(
        absl::StrCat("event=lender_lost ip=", ip, " connections=", lost.size(),
                     " reason=", std::string(nameIn(peer::LinkEndNames, end))));
  for (const auto id : lost) {
    const auto found = Connections.extract(id);
    if (found.empty())
      continue;
    if (found.mapped().isInUse())
      sendEnd(found.mapped(), id);
    Proxy->connectionLost(Now, id);
  }
}

void BorrowedConnections::peerHeard(const std::string &ip) {
  // NOTE: rows of 100 KB take 400 ms on a link of 2 Mbit/s; taken for silence,
  // they would be asked for again elsewhere, and fill the link.
  if (const auto it = States.find(ip); it != States.end())
    it->second.HeardAt = Now;
}

void BorrowedConnections::peerSaid(const std::string &ip,
                                   const peer::wire::Message &message) {
  peerHeard(ip);
  if (message.has_borrow_replies())
    takeReplies(message.borrow_replies());
  else if (message.has_borrow_end())
    takeEnd(message.borrow_end());
}

void BorrowedConnections::takeReplies(
    const peer::wire::BorrowReplies &replies) {
  const ConnectionId id{replies.use()};
  for (const auto &reply : replies.replies()) {
    // NOTE: each answer may end the connection.
    const auto found = Connections.find(id);
    if (found == Connections.end() || found->second.Outstanding == 0)
      return;
    auto decoded = decodeReply(reply);
    --found->second.Outstanding;
    found->second.State = decoded.State;
    found->second.AskedAt = Now;
    Proxy->connectionAnswered(Now, id, std::move(decoded));
  }
}

void BorrowedConnections::takeEnd(const peer::wire::BorrowEnd &end) {
  const ConnectionId id{end.use()};
  const auto reason = static_cast<proxy::LendingEnd>(end.reason());
  if (reason == proxy::LendingEnd::Silent)
    return Proxy->lenderSilent(Now, id);
  // NOTE: a refusal's replies follow, and the proxy closes the connection.
  if (reason != proxy::LendingEnd::Lost)
    return Proxy->lenderRefused(Now, id, reason,
                                std::clamp(Duration(end.expected_wait_us()),
                                           Duration{}, LongestToldWait));
  if (Connections.erase(id) > 0)
    Proxy->connectionLost(Now, id);
}

void BorrowedConnections::keepLenders() {
  std::set<std::string> ips;
  for (const auto &[purpose, kept] : AlsoKept)
    ips.insert(kept.begin(), kept.end());
  for (const auto &[ip, state] : States)
    ips.insert(ip);
  Lenders.keepConnected(ips);
}

void BorrowedConnections::keepAlso(KeptFor purpose, std::set<std::string> ips) {
  auto &kept = AlsoKept[purpose];
  if (ips == kept)
    return;
  const auto before = std::exchange(kept, std::move(ips));
  // NOTE: a search goes on to other VMs, and would end connected to all.
  if (purpose == KeptFor::ControlDiscovery)
    forgetOthers(before);
  keepLenders();
}

void BorrowedConnections::forgetOthers(const std::set<std::string> &ips) {
  for (const auto &ip : ips) {
    const bool isKept =
        std::any_of(AlsoKept.begin(), AlsoKept.end(),
                    [&](const auto &it) { return it.second.contains(ip); });
    const auto it = States.find(ip);
    if (!isKept && it != States.end() && !it->second.IsLender)
      States.erase(it);
  }
}

void BorrowedConnections::dropUnusedLenders() {
  std::set<std::string> needed;
  for (const auto &[id, it] : Connections)
    needed.insert(it.LenderIp);
  const auto n = std::erase_if(States, [&](const auto &it) {
    return !it.second.IsConnected && !needed.contains(it.first);
  });
  if (n > 0)
    keepLenders();
}

std::vector<ConnectionId> BorrowedConnections::noteReady() {
  std::vector<ConnectionId> ready;
  for (auto &[id, it] : Connections) {
    if (it.IsReady || !States[it.LenderIp].IsConnected)
      continue;
    it.IsReady = true;
    ready.push_back(id);
  }
  return ready;
}

std::set<std::string> BorrowedConnections::lendersInUse() const {
  std::set<std::string> ips;
  for (const auto &[id, it] : Connections)
    if (it.isInUse())
      ips.insert(it.LenderIp);
  return ips;
}

std::set<std::string> BorrowedConnections::silentLenders() {
  std::set<std::string> ips;
  for (const auto &[id, it] : Connections) {
    const TimePoint since = std::max(it.AskedAt, States[it.LenderIp].HeardAt);
    if (it.Outstanding > 0 && Now - since > Options.SilenceLimit)
      ips.insert(it.LenderIp);
  }
  return ips;
}

void BorrowedConnections::giveUpLender(const std::string &ip) {
  Log.decision(absl::StrCat("event=lender_silent ip=", ip));
  peerLost(ip, peer::LinkEnd::Silent);
  // Connected to anew, so that late words of the old uses are never taken for
  // those of new ones.
  States.erase(ip);
  keepLenders();
}

void BorrowedConnections::tick(TimePoint now) {
  Now = now;
  const auto inUse = lendersInUse();
  const auto silent = silentLenders();
  for (const auto &it : silent)
    giveUpLender(it);
  dropUnusedLenders();
  for (const auto &it : inUse) {
    // NOTE: a silent one is forgotten; a new state for it would pass for one
    // that is being connected to.
    if (silent.contains(it))
      continue;
    if (States[it].mustBeTold(now, Options.AliveInterval))
      tell(it, stillHere());
  }
}

} // namespace stepledge::entry
