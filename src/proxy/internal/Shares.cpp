// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The part of Proxy that shares the instances' connections with the
/// other VMs: how many it may hold, by whom it reaches an instance, and what it
/// lends.

#include "proxy/Proxy.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace stepledge::proxy {

void Proxy::setEntries(std::vector<membership::EntryVm> entries) {
  Homes.setEntries(std::move(entries));
}

int Proxy::maxConnections(const std::string &service) const {
  const auto it = Configuration.Services.find(service);
  return it == Configuration.Services.end() ? 1 : it->second.MaxConnections;
}

int Proxy::usableConnections(const std::string &service) const {
  return std::max(1, maxConnections(service) - Options.ReservedConnections);
}

int Proxy::pooledConnections(const std::string &service) const {
  return static_cast<int>(maxConnections(service) * Options.PooledFraction);
}

bool Proxy::usesHomes(const std::string &service) const {
  return Homes.isNeeded(usableConnections(service));
}

bool Proxy::isHomeOf(const membership::InstanceRecord &record) {
  const auto share = Homes.share(usableConnections(record.Service));
  return Homes.isHome(record.Id, record.Hall, share);
}

int Proxy::homeConnections(const std::string &service) const {
  // NOTE: with all that may be used, a primary's 53 connections were open while
  // four of them ran a statement, and after a loss of power no VM got in for 3
  // s: 0.795 of the worth was earned so, and 0.821 with this share and the
  // closing of those that only questions use (simulated days of 70 VMs, means
  // of six).
  const auto share = Homes.share(usableConnections(service));
  const int pooled = pooledConnections(service) - share.Guests;
  return std::clamp(pooled / share.Homes, 1, share.Connections);
}

ConnectionShare Proxy::shareOf(TimePoint now,
                               const membership::InstanceRecord &record) {
  // NOTE: if all VMs have lost their power together, the instances count the
  // lost connections for some seconds more.
  const bool isCautious = now - StartedAt < Options.CautiousStart;
  if (usesHomes(record.Service)) {
    if (!isHomeOf(record))
      return {Options.BorrowLimit, Options.BorrowLimit};
    const int own = homeConnections(record.Service);
    const int limit = isCautious ? std::max(1, own / 2) : own;
    return {std::max(1, limit / 2), limit};
  }
  const int own = Homes.evenShare(record.Id, record.Hall,
                                  pooledConnections(record.Service));
  ConnectionShare share{std::max(1, own / 2), own};
  // NOTE: each VM should get one of the connections that are left before any
  // gets two, so the share grows by one at a time after a start.
  if (isCautious) {
    const auto since = Pool.ownSince(record.Id);
    const auto grown =
        since ? static_cast<int>((now - *since) / Options.GrowthInterval) : 0;
    share.Limit = std::min(share.Limit, 1 + grown);
  }
  return share;
}

bool Proxy::openTo(TimePoint now, const membership::InstanceRecord &record,
                   bool mayBorrowBeyond) {
  const auto *known = tracker(record.Service).find(record.Id);
  const bool isDirectBad = known && known->IsDirectBad;
  const bool isHomes = usesHomes(record.Service);
  const bool isDirect = !isDirectBad && (!isHomes || isHomeOf(record));
  const auto share = shareOf(now, record);
  // NOTE: one without any connection to a full instance borrows, since others
  // have some.
  const bool mustBorrow =
      isDirect && Pool.ownAt(record.Id) == 0 && Pool.isFull(now, record.Id);
  if (isDirect && !mustBorrow && Pool.openOne(now, record, share, ""))
    return true;
  if (isDirect && !mustBorrow && !mayBorrowBeyond)
    return false;
  const auto lender = lenderFor(now, record);
  if (!lender)
    return false;
  return Pool.openOne(now, record, {0, Options.BorrowLimit}, *lender);
}

void Proxy::noteDirectBad(TimePoint now, TrackedInstance &instance) {
  if (std::exchange(instance.IsDirectBad, true))
    return;
  instance.DirectProbedAt = now;
  Log.decision(
      absl::StrCat("event=direct_path_lost instance=", instance.Record.Id.str(),
                   " service=", instance.Record.Service));
}

bool Proxy::mustReturnToOwn(TimePoint now,
                            const membership::InstanceRecord &record) const {
  return !usesHomes(record.Service) && Pool.ownAt(record.Id) == 0 &&
         Pool.countOf(record.Id) > 0 && !Pool.isFull(now, record.Id);
}

std::optional<std::string>
Proxy::lenderFor(TimePoint now, const membership::InstanceRecord &record) {
  const auto &bad = BadLenders[record.Id];
  const auto share = Homes.share(usableConnections(record.Service));
  for (const auto &it : Homes.lenders(record.Id, record.Hall, share)) {
    const auto failed = bad.find(it);
    if (failed == bad.end() || failed->second <= now)
      return it;
  }
  return std::nullopt;
}

void Proxy::lenderRefused(TimePoint now, ConnectionId connection,
                          LendingEnd reason) {
  auto *it = Pool.find(connection);
  if (!it || reason == LendingEnd::Lost)
    return;
  const InstanceId instance = it->Instance;
  const std::string lender = it->LenderIp;
  it->IsRefused = true;
  if (auto *owner = it->Owner ? session(*it->Owner) : nullptr;
      owner && owner->Current && owner->Current->Connection == connection)
    owner->Current->IsRefusedByLender = true;
  BadLenders[instance][lender] =
      now + (reason == LendingEnd::Full ? Options.FullLenderPause
                                        : Options.BadLenderPause);
  if (reason == LendingEnd::Unreachable)
    tracker(it->Service).noteSilence(now, instance);
  for (const auto id : Pool.borrowedFrom(lender, instance)) {
    const auto *borrowed = Pool.find(id);
    if (borrowed->isFree())
      Pool.close(id);
  }
}

void Proxy::endBorrowed(InstanceConnection &connection) {
  if (auto *it = tracker(connection.Service).find(connection.Instance))
    it->Statements = std::max(0, it->Statements - connection.statements());
  Pool.close(connection.Id);
}

InstanceConnection *Proxy::findLendable(TimePoint now,
                                        const std::string &service,
                                        const InstanceId &instance) {
  auto *known = tracker(service).find(instance);
  if (!known || Pool.busyAt(instance) >= known->Running.limit())
    return nullptr;
  if (auto *it = Pool.findFreeDirect(instance))
    return it;
  // NOTE: one that is no home lends all the same: its borrowers may know of a
  // loss that this VM hasn't heard of, or reach the instance only by it.
  const bool isGuest = usesHomes(service) && !isHomeOf(known->Record);
  const ConnectionShare share =
      isGuest ? ConnectionShare{0, 1} : shareOf(now, known->Record);
  if (!Pool.isOpening(instance) || Pool.countOf(instance) == 0)
    Pool.openOne(now, known->Record, share, {});
  return nullptr;
}

bool Proxy::expectsFree(const InstanceId &instance) {
  return Pool.isOpening(instance) || Pool.busyAt(instance) > 0;
}

bool Proxy::reaches(const std::string &service, const InstanceId &instance) {
  const auto *known = tracker(service).find(instance);
  return known && !known->IsDirectBad;
}

void Proxy::abandonLent(TimePoint now, InstanceConnection &connection) {
  connection.IsAbandoned = true;
  if (connection.Sent.empty())
    rollBack(now, connection);
}

} // namespace stepledge::proxy
