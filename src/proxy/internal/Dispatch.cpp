// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The part of Proxy that chooses the instance and the connection on
/// which a statement runs.

#include "membership/Rendezvous.h"
#include "proxy/Proxy.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <cmath>

namespace stepledge::proxy {

using control::ReadPolicy;

namespace {

constexpr const char *ShedReason =
    "the replicas are behind, and the primary is overloaded";

} // namespace

void Proxy::dispatch(TimePoint now, ClientSession &session) {
  auto &work = *session.Current;
  if (work.NotBefore > now)
    return addToQueue(session, work.NotBefore);
  work.IsShed = false;
  chooseTargets(session);
  if (session.Pinned) {
    auto *connection = Pool.find(*session.Pinned);
    sendStatement(now, session, *connection, std::nullopt);
    return;
  }
  if (!isAdmitted(now, session))
    return;
  const bool isSent = work.PrimaryOnly ? dispatchToPrimary(now, session)
                                       : dispatchRead(now, session);
  if (isSent)
    return;
  if (const auto reported = reportedWaitTooLong(now, session))
    return refuseEarly(now, session, *reported);
  addToQueue(session, work.NotBefore);
}

void Proxy::chooseTargets(ClientSession &session) {
  auto &work = *session.Current;
  const bool isOpen = session.State == SessionState::InTransaction;
  work.PrimaryOnly = session.Route.Policy == ReadPolicy::Current ||
                     work.Mode == AccessMode::Write ||
                     session.Mode == TransactionMode::ReadWrite;
  work.IsWrapped = !isOpen && work.PrimaryOnly && work.Mode == AccessMode::Read;
}

bool Proxy::awaitsProof(TimePoint now, const ClientSession &session) {
  // NOTE: with hardly any staleness allowed, no position is ever new enough.
  if (session.Route.MaxStaleness < Options.StalenessMargin + Options.ProofWait)
    return false;
  const auto primary = tracker(session.Route.Service).primary(now);
  const auto since = primary ? Pool.proofPendingSince(*primary) : std::nullopt;
  return since && now - *since < Options.ProofWait;
}

bool Proxy::dispatchToPrimary(TimePoint now, ClientSession &session) {
  auto &work = *session.Current;
  auto &instances = tracker(session.Route.Service);
  const auto primary = instances.primary(now);
  if (!primary) {
    work.LastRefusal = "no primary is known";
    return false;
  }
  const auto *instance = instances.find(*primary);
  if (instance && !InstanceTracker::acceptsNewWork(now, *instance)) {
    work.LastRefusal = "the primary leaves and has no successor yet";
    return false;
  }
  if (shedsFromPrimary(now, session)) {
    work.IsShed = true;
    work.LastRefusal = ShedReason;
    return false;
  }
  auto *connection = acquire(now, session, *primary);
  if (!connection) {
    work.LastRefusal = absl::StrCat(
        "no free connection to the primary ", primary->str(), "; open ",
        Pool.countOf(*primary), " busy ", Pool.busyCount(*primary), " allowed ",
        instance ? instance->Running.limit() : 0, " cut ",
        instance && instance->IsDirectPathLost);
    return false;
  }
  const bool isOpen = session.State == SessionState::InTransaction;
  if (isOpen || work.IsWrapped)
    sendBegin(now, session, *connection, std::nullopt);
  else
    sendStatement(now, session, *connection, std::nullopt);
  return true;
}

bool Proxy::dispatchRead(TimePoint now, ClientSession &session) {
  auto &work = *session.Current;
  auto &instances = tracker(session.Route.Service);
  const bool isOpen = session.State == SessionState::InTransaction;
  const auto minimum = minimumPosition(now, session);
  const auto candidates =
      minimum
          ? instances.readCandidates(now, *minimum, work.Tried,
                                     {chanceOf(session), now - work.ArrivedAt})
          : std::vector<InstanceId>{};
  if (!minimum && awaitsProof(now, session)) {
    work.LastRefusal = "the primary's position isn't known yet";
    return false;
  }
  if (candidates.empty()) {
    // Only the primary can prove that it is current enough.
    work.PrimaryOnly = true;
    work.IsWrapped = !isOpen;
    return dispatchToPrimary(now, session);
  }
  const auto primary = instances.primary(now);
  bool waitsForLocal = false;
  for (const auto &it : candidates) {
    if (it == primary && shedsFromPrimary(now, session)) {
      work.IsShed = true;
      continue;
    }
    const bool isLocal = isInOwnHall(instances, it);
    if (waitsForLocal && !isLocal)
      continue;
    auto *connection = acquire(now, session, it);
    if (!connection) {
      waitsForLocal |= isLocal && Pool.busyCount(it) > 0 &&
                       now - work.ArrivedAt < Options.LocalityWait;
      continue;
    }
    if (isOpen)
      sendBegin(now, session, *connection, minimum);
    else
      sendStatement(now, session, *connection, minimum);
    return true;
  }
  work.LastRefusal =
      work.IsShed ? ShedReason
                  : "no free connection to an instance that is current enough";
  return false;
}

double Proxy::chanceOf(const ClientSession &session) const {
  const auto &work = *session.Current;
  const std::uint64_t n = membership::rendezvousWeight(
      absl::StrCat(Options.OwnIp, " ", session.Id.Number),
      absl::StrCat(work.Statement.Id, " ",
                   work.ArrivedAt.time_since_epoch().count()));
  return std::ldexp(static_cast<double>(n), -64);
}

bool Proxy::isInOwnHall(InstanceTracker &instances,
                        const InstanceId &instance) const {
  const auto *known = instances.find(instance);
  return known && known->Record.Hall == Options.OwnHall;
}

bool Proxy::mayBeShed(const ClientSession &session) {
  const bool needsPrimary = session.Route.Policy == ReadPolicy::Current ||
                            session.Current->Mode == AccessMode::Write ||
                            session.Mode == TransactionMode::ReadWrite;
  if (needsPrimary)
    return false;
  // NOTE: such reads go to the primary only while replicas are behind. A
  // read-only transaction holds a connection for as long as several single
  // reads, so shedding it refuses fewer clients than shedding single reads.
  return session.Route.Policy == ReadPolicy::BoundedStaleness ||
         session.Mode == TransactionMode::ReadOnly;
}

bool Proxy::shedsFromPrimary(TimePoint now, const ClientSession &session) {
  const auto &service = session.Route.Service;
  if (!mayBeShed(session)) {
    Shedder.notePrimaryNeeded(now, service);
    return false;
  }
  auto &instances = tracker(service);
  const auto primary = instances.primary(now);
  const auto *instance = primary ? instances.find(*primary) : nullptr;
  const bool hasQueue = StatementQueues[service].size() > 1;
  return instance &&
         Shedder.shouldShed(now, service, instance->Running.congestion(),
                            hasQueue);
}

std::optional<Mark> Proxy::minimumPosition(TimePoint now,
                                           const ClientSession &session) {
  const auto &route = session.Route;
  const TimePoint oldest = now - route.MaxStaleness + Options.StalenessMargin;
  auto minimum = tracker(route.Service).coveringPosition(std::min(oldest, now));
  if (!minimum || oldest > now)
    return std::nullopt;
  const auto own = session.lastCommitAt(route.Service);
  if (route.Policy == ReadPolicy::ReadYourWrites && own)
    minimum = std::max(*minimum, *own);
  return minimum;
}

InstanceConnection *Proxy::acquire(TimePoint now, const ClientSession &session,
                                   const InstanceId &instance) {
  const auto *known = tracker(session.Route.Service).find(instance);
  const auto &organisation = session.Organisation;
  if (known && isAtLimit(now, *known, organisation))
    return nullptr;
  const bool usesDirect = !known || !known->IsDirectPathLost;
  auto *found =
      Pool.findFree(instance, organisation, session.Values, usesDirect);
  if (!found && known && !Pool.isOpening(instance, organisation)) {
    openIfWaitIsLong(now, session, known->Record);
    // NOTE: a connection borrowed from a connected VM can be used at once. VMs
    // with a few statements per second for 60 instances have no connection left
    // from the last one, and would wait 10 to 40 ms for their next tick.
    found = Pool.findFree(instance, organisation, session.Values, usesDirect);
  }
  if (found)
    Pool.noteUse(now, *found);
  return found;
}

bool Proxy::isAtLimit(TimePoint now, const TrackedInstance &instance,
                      const OrganisationId &organisation) {
  const auto &record = instance.Record;
  // NOTE: the homes limit the concurrent statements, and the time that a
  // statement waits in a home's queue doesn't show the instance's load.
  const bool isLimited =
      !usesHomes(record.Service) || isHomeFor(now, record, organisation);
  return isLimited && Pool.busyCount(record.Id) >= instance.Running.limit();
}

void Proxy::openIfWaitIsLong(TimePoint now, const ClientSession &session,
                             const membership::InstanceRecord &record) {
  const auto &work = *session.Current;
  const auto &organisation = session.Organisation;
  const int own = Pool.ownCount(record.Id, organisation);
  const int open = own > 0 ? own : Pool.countOf(record.Id, organisation);
  const int kept = Configuration.HasOrganisations && own > 0
                       ? 1
                       : shareOf(now, record).Floor;
  const bool isShort =
      open < kept || Pool.pinnedCount(record.Id, organisation) == open;
  // NOTE: a connection that serves a single statement is free again about as
  // soon as a new one would be open, so it is worth a short wait.
  const bool hasWaited = now - work.ArrivedAt >= Options.ExtraConnectionDelay;
  // NOTE: an idle transaction may hold this VM's only connection to the
  // primary. A read can go to other instances.
  const bool mayBorrow = work.PrimaryOnly;
  if (isShort || hasWaited)
    openOrBorrow(now, record, organisation, mayBorrow, &session);
}

} // namespace stepledge::proxy
