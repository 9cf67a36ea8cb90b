// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The part of Proxy that divides the instances' connections among the
/// VMs: how many this VM may hold, and from which VM it borrows.

#include "proxy/Proxy.h"

#include "overload/RetryDelay.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace stepledge::proxy {

void Proxy::setEntries(std::vector<membership::EntryVm> entries) {
  Quota.setEntries(entries);
  Watch.setEntries(entries);
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
  // NOTE: a VM needs one connection for each organisation that it serves.
  const int organisations =
      std::max(1, static_cast<int>(Configuration.Organisations.size()));
  return Homes.isSharingNeeded(usableConnections(service) / organisations);
}

membership::HomeShare Proxy::homeShare(const std::string &service) const {
  if (!Configuration.HasOrganisations)
    return Homes.share(usableConnections(service));
  const int pooled = pooledConnections(service);
  membership::HomeShare share;
  // NOTE: non-home VMs use the connections that are kept free only while homes
  // are unreachable.
  share.NonHomes = std::max(1, usableConnections(service) - pooled);
  share.Homes = std::clamp(pooled / Options.OrganisationHomeConnections, 1,
                           Options.MaxOrganisationHomes);
  share.Connections = std::max(1, pooled / share.Homes);
  return share;
}

bool Proxy::isLenderPaused(TimePoint now, const InstanceId &instance,
                           const std::string &lender) const {
  const auto bad = PausedLenders.find(instance);
  if (bad == PausedLenders.end())
    return false;
  const auto failed = bad->second.find(lender);
  return failed != bad->second.end() && failed->second > now;
}

bool Proxy::hasPausedLender(TimePoint now, const InstanceId &instance) const {
  const auto bad = PausedLenders.find(instance);
  return bad != PausedLenders.end() &&
         std::any_of(bad->second.begin(), bad->second.end(),
                     [&](const auto &it) { return it.second > now; });
}

bool Proxy::isHomeFor(TimePoint now, const membership::InstanceRecord &record,
                      const std::optional<OrganisationId> &organisation) {
  if (!Configuration.HasOrganisations || !organisation)
    return isHomeOf(record);
  const auto share = homeShare(record.Service);
  if (!isHomeOf(record))
    return false;
  for (const auto &it :
       Homes.homesOf(record.Id, record.Hall, share, *organisation)) {
    if (it == Options.OwnIp)
      return true;
    if (!isLenderPaused(now, record.Id, it))
      return false;
  }
  return false;
}

bool Proxy::isHomeOf(const membership::InstanceRecord &record) {
  const auto share = homeShare(record.Service);
  return Homes.isHome(record.Id, record.Hall, share);
}

int Proxy::homeConnections(const std::string &service) const {
  // NOTE: homes don't use all usable connections. With all 53 connections of a
  // primary open, only four of which ran a statement, VMs (70 in all) that
  // restarted after a power loss found none free on the instance for 3 s.
  const auto share = homeShare(service);
  if (Configuration.HasOrganisations)
    return share.Connections;
  const int pooled = pooledConnections(service) - share.NonHomes;
  return std::clamp(pooled / share.Homes, 1, share.Connections);
}

int Proxy::startConnections(const std::string &service) const {
  const int free = maxConnections(service) - pooledConnections(service);
  return std::max(1, free / homeShare(service).Homes);
}

int Proxy::spareConnections(const std::string &service) const {
  const auto share = homeShare(service);
  if (!Configuration.HasOrganisations)
    return share.Connections - homeConnections(service);
  return share.NonHomes / (2 * share.Homes);
}

bool Proxy::isRecentlyStarted(TimePoint now) const {
  return now - StartedAt < Options.StartPhase;
}

ConnectionShare Proxy::shareOf(TimePoint now,
                               const membership::InstanceRecord &record) {
  if (usesHomes(record.Service)) {
    if (!isHomeOf(record))
      return {Options.BorrowLimit, Options.BorrowLimit};
    const int own = homeConnections(record.Service);
    const int limit =
        isRecentlyStarted(now)
            ? std::min(own, startConnections(record.Service))
            : own + std::min(spareConnections(record.Service),
                             Pool.idleInTransactionCount(
                                 record.Id, now - Options.IdleTransactionTime));
    // NOTE: an idle connection is the only one of its organisation.
    const int kept = Configuration.HasOrganisations ? limit : limit / 2;
    return {std::max(1, kept), limit};
  }
  const int own = Homes.evenShare(record.Id, record.Hall,
                                  pooledConnections(record.Service));
  ConnectionShare share{std::max(1, own / 2), own};
  // NOTE: after a start the share grows one connection at a time, so that each
  // VM gets one of the free connections before any VM gets two.
  if (isRecentlyStarted(now)) {
    const auto since = Pool.ownConnectionSince(record.Id);
    const auto grown =
        since ? static_cast<int>((now - *since) / Options.GrowthInterval) : 0;
    share.Limit = std::min(share.Limit, 1 + grown);
  }
  return share;
}

bool Proxy::openOrBorrow(TimePoint now,
                         const membership::InstanceRecord &record,
                         const std::optional<OrganisationId> &organisation,
                         bool mayBorrowBeyond, const ClientSession *session) {
  const auto *known = tracker(record.Service).find(record.Id);
  const bool isDirectBad = known && known->IsDirectPathLost;
  const bool hasHomes = usesHomes(record.Service);
  const bool isDirect =
      !isDirectBad && (!hasHomes || isHomeFor(now, record, organisation));
  const auto share = shareOf(now, record);
  // NOTE: a VM without an own connection to a full instance borrows, since
  // other VMs have connections to it.
  const bool mustBorrow = isDirect && Pool.ownCount(record.Id) == 0 &&
                          Pool.isOpeningPaused(now, record.Id);
  if (isDirect && !mustBorrow &&
      Pool.openOne(now, record, share, "", organisation))
    return true;
  if (isDirect && !mustBorrow && !mayBorrowBeyond)
    return false;
  const auto lender = lenderFor(now, record, organisation, session);
  if (!lender)
    return false;
  return Pool.openOne(now, record, {0, Options.BorrowLimit}, *lender,
                      organisation);
}

void Proxy::noteDirectPathLost(TimePoint now, TrackedInstance &instance) {
  if (std::exchange(instance.IsDirectPathLost, true))
    return;
  instance.DirectProbedAt = now;
  Log.decision(
      absl::StrCat("event=direct_path_lost instance=", instance.Record.Id.str(),
                   " service=", instance.Record.Service));
}

bool Proxy::shouldRestoreOwn(TimePoint now,
                             const membership::InstanceRecord &record) const {
  return !usesHomes(record.Service) && Pool.ownCount(record.Id) == 0 &&
         Pool.countOf(record.Id) > 0 && !Pool.isOpeningPaused(now, record.Id);
}

std::vector<std::string>
Proxy::lendersOf(TimePoint now, const membership::InstanceRecord &record,
                 const std::optional<OrganisationId> &organisation) {
  const auto share = homeShare(record.Service);
  const bool usesOrganisationOrder =
      Configuration.HasOrganisations && organisation;
  auto lenders =
      usesOrganisationOrder
          ? Homes.homesOf(record.Id, record.Hall, share, *organisation)
          : Homes.lenders(record.Id, record.Hall, share);
  // NOTE: after a power loss the homes are soon full. Connections of non-home
  // VMs would then keep the homes from opening theirs: the instance refuses
  // connections over its limit.
  if (usesOrganisationOrder && !isRecentlyStarted(now)) {
    const auto nonHomes =
        Homes.nonHomesOf(record.Id, record.Hall, share, *organisation);
    lenders.insert(lenders.end(), nonHomes.begin(), nonHomes.end());
  }
  std::erase_if(lenders, [&](const auto &it) {
    return it == Options.OwnIp || isLenderPaused(now, record.Id, it);
  });
  return lenders;
}

bool Proxy::hasOwnFor(const InstanceId &instance,
                      const std::optional<OrganisationId> &organisation) const {
  const bool isAnyUsable = !Configuration.HasOrganisations || !organisation;
  return isAnyUsable ? Pool.ownCount(instance) > 0
                     : Pool.ownCount(instance, *organisation) > 0;
}

std::optional<std::string>
Proxy::lenderFor(TimePoint now, const membership::InstanceRecord &record,
                 const std::optional<OrganisationId> &organisation,
                 const ClientSession *session) {
  auto lenders = lendersOf(now, record, organisation);
  // NOTE: while this VM has own connections to wait for, it needs a borrowed
  // one that is free now. Requests to several lenders at once would mostly be
  // refused.
  if (hasOwnFor(record.Id, organisation) && hasPausedLender(now, record.Id))
    std::erase_if(lenders, [&](const auto &it) {
      return !Pool.borrowedFrom(it, record.Id).empty();
    });
  if (lenders.empty())
    return std::nullopt;
  if (!session || ReportedWaits.isEmpty(now, record.Id))
    return lenders.front();
  const overload::Urgency urgency{false, session->Route.Priority};
  const auto remaining = [&](const auto &it) {
    return ReportedWaits.remaining(now, record.Id, it, urgency);
  };
  const auto least = std::min_element(lenders.begin(), lenders.end(),
                                      [&](const auto &a, const auto &b) {
                                        return remaining(a) < remaining(b);
                                      });
  const bool mayAskMore =
      session->Current->FullLenderCount < Options.MaxFullLenders;
  const bool isFull = lackCapacity(now, *session, record.Id, lenders);
  if (mayAskMore && (!isFull || ReportedWaits.takeProbe(now, record.Id)))
    return *least;
  return std::nullopt;
}

bool Proxy::lackCapacity(TimePoint now, const ClientSession &session,
                         const InstanceId &instance,
                         const std::vector<std::string> &lenders) {
  int full = 0;
  for (const auto &it : lenders) {
    const bool isFull = !hasCapacity(now, session, instance, it);
    if (!isFull && ReportedWaits.isServing(now, instance, it))
      return false;
    full += isFull;
  }
  return full >=
         std::min(Options.MaxFullLenders, static_cast<int>(lenders.size()));
}

bool Proxy::hasCapacity(TimePoint now, const ClientSession &session,
                        const InstanceId &instance, const std::string &lender) {
  const auto facts = factsOf(now, session);
  const Duration age = now - session.Current->ArrivedAt;
  const auto remaining = [&](bool isLate) {
    return ReportedWaits.remaining(now, instance, lender,
                                   {isLate, facts.Priority});
  };
  // NOTE: a lender that has reported no wait has capacity, also for late
  // statements.
  return remaining(false) <= WaitLimits.maxOnTimeWait(facts, age) ||
         remaining(true) <= WaitLimits.maxLateWait(facts, age);
}

void Proxy::lenderRefused(TimePoint now, ConnectionId connection,
                          LendingEnd reason, Duration expectedWait) {
  auto *it = Pool.find(connection);
  if (!it || reason == LendingEnd::Lost)
    return;
  const InstanceId instance = it->Instance;
  const std::string lender = it->LenderIp;
  it->IsRefused = true;
  auto *owner = it->Owner ? session(*it->Owner) : nullptr;
  if (owner && owner->Current && owner->Current->Connection == connection)
    owner->Current->IsRefusedByLender = true;
  else
    owner = nullptr;
  // NOTE: with own connections to wait for, this VM requested only a connection
  // that is free now.
  const bool hasOwn = Pool.ownCount(instance) > 0;
  if (reason == LendingEnd::Full && expectedWait > Duration{} && owner &&
      !hasOwn)
    noteReportedWait(now, *owner, instance, lender, expectedWait);
  else
    PausedLenders[instance][lender] =
        now + (reason == LendingEnd::Full ? Options.FullLenderPause
                                          : Options.FailedLenderPause);
  if (reason == LendingEnd::Unreachable)
    tracker(it->Service).noteSilence(now, instance);
  for (const auto id : Pool.borrowedFrom(lender, instance)) {
    const auto *borrowed = Pool.find(id);
    if (borrowed->isFree())
      Pool.close(id);
  }
}

void Proxy::noteReportedWait(TimePoint now, ClientSession &session,
                             const InstanceId &instance,
                             const std::string &lender, Duration expectedWait) {
  const auto facts = factsOf(now, session);
  const Duration age = now - session.Current->ArrivedAt;
  ++session.Current->FullLenderCount;
  // NOTE: the lender compared the wait with the time that the statement had
  // left, which was slightly longer then than now.
  ReportedWaits.note(
      now, instance, lender, {false, facts.Priority},
      std::max(expectedWait,
               WaitLimits.maxOnTimeWait(facts, age) + Duration(1)));
  ReportedWaits.note(
      now, instance, lender, {true, facts.Priority},
      std::max(expectedWait, WaitLimits.maxLateWait(facts, age) + Duration(1)));
}

std::vector<InstanceId> Proxy::targetsOf(TimePoint now,
                                         const ClientSession &session) {
  const auto &work = *session.Current;
  const auto &instances = tracker(session.Route.Service);
  const auto primary = instances.primary(now);
  if (work.PrimaryOnly)
    return primary ? std::vector{*primary} : std::vector<InstanceId>{};
  const auto minimum = minimumPosition(now, session);
  return minimum ? instances.readCandidates(now, *minimum, work.Tried)
                 : std::vector<InstanceId>{};
}

std::optional<Duration>
Proxy::reportedWaitTooLong(TimePoint now, const ClientSession &session) {
  std::optional<Duration> least;
  if (ReportedWaits.hasNoReports())
    return least;
  // NOTE: the statement waits for a new primary, not for a free connection.
  if (session.Current->PrimaryOnly &&
      awaitsSuccessor(now, session.Route.Service))
    return least;
  for (const auto &it : targetsOf(now, session)) {
    const auto *instance = tracker(session.Route.Service).find(it);
    const auto reported = instance
                              ? reportedWaitTooLongAt(now, session, *instance)
                              : std::nullopt;
    if (!reported)
      return std::nullopt;
    least = std::min(least.value_or(*reported), *reported);
  }
  return least;
}

std::optional<Duration>
Proxy::reportedWaitTooLongAt(TimePoint now, const ClientSession &session,
                             const TrackedInstance &instance) {
  const auto &record = instance.Record;
  const auto &organisation = session.Organisation;
  const bool mustBorrow =
      Pool.ownCount(record.Id) == 0 &&
      (instance.IsDirectPathLost ||
       (usesHomes(record.Service) && !isHomeFor(now, record, organisation)));
  if (!mustBorrow || ReportedWaits.isEmpty(now, record.Id))
    return std::nullopt;
  const auto lenders = lendersOf(now, record, organisation);
  const bool hasAskedEnough =
      session.Current->FullLenderCount >= Options.MaxFullLenders;
  if (lenders.empty() ||
      (!hasAskedEnough && !lackCapacity(now, session, record.Id, lenders)))
    return std::nullopt;
  std::optional<Duration> least;
  for (const auto &it : lenders)
    if (!hasCapacity(now, session, record.Id, it)) {
      const Duration remaining = ReportedWaits.remaining(
          now, record.Id, it, {false, session.Route.Priority});
      least = std::min(least.value_or(remaining), remaining);
    }
  return least;
}

void Proxy::refuseEarly(TimePoint now, ClientSession &session, Duration wait) {
  // NOTE: a reported wait isn't valid for longer, so the capacity after that is
  // unknown.
  const Duration known = std::min(wait, ReportedWaits.maxValidity());
  const Duration pause =
      overload::retryDelay(known, session.Current->Statement.Id);
  Log.refusedForCapacity(true);
  refuse(
      now, session, ReplyCode::Busy,
      absl::StrCat("no home of the instance has room in time; expected wait ",
                   toMilliseconds(wait), " ms; retry after ",
                   toMilliseconds(pause), " ms"));
}

void Proxy::endBorrow(InstanceConnection &connection) {
  if (auto *it = tracker(connection.Service).find(connection.Instance))
    it->Statements = std::max(0, it->Statements - connection.statements());
  Pool.close(connection.Id);
}

void Proxy::lenderSilent(TimePoint now, ConnectionId connection) {
  auto *it = Pool.find(connection);
  if (!it)
    return;
  const InstanceId instance = it->Instance;
  PausedLenders[instance][it->LenderIp] = now + Options.FailedLenderPause;
  auto *owner = it->Owner ? session(*it->Owner) : nullptr;
  if (!owner || !owner->Current || owner->Current->Connection != connection)
    return;
  const auto &work = *owner->Current;
  const bool isOpen = owner->State == SessionState::InTransaction;
  const bool isCommit = work.Statement.Kind == StatementKind::Commit;
  if (isOpen && owner->HasRunInTransaction) {
    // NOTE: a commit may have run. Everything else is rolled back with the
    // connection, and the client still has time to retry it.
    if (isCommit)
      return;
    Io.closeConnection(connection);
    return connectionLost(now, connection);
  }
  const bool isUnsent = work.Stage == StatementStage::Beginning;
  const bool mayMove = work.Mode == AccessMode::Read &&
                       work.SendCount < Options.MaxUnansweredSends;
  if (!isUnsent && !mayMove)
    return;
  if (isOpen && owner->Pinned)
    releasePinned(now, *owner);
  else
    abandonStatement(now, *owner);
  retryStatement(now, *owner, ReplyCode::TimedOut, instance);
}

} // namespace stepledge::proxy
