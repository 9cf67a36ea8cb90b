// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The part of Proxy that acts as time passes.

#include "proxy/Proxy.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace stepledge::proxy {

namespace {

/// A question unanswered for this long counts as silence: above the time that
/// a full queue of an instance takes.
constexpr Duration SilenceLimit = milliseconds(300);
/// A statement that an overloaded primary is spared waits for this part of its
/// objective, in case the overload ends at once: one or two statement times.
constexpr int ShedPatienceDivisor = 8;

} // namespace

void Proxy::tick(TimePoint now) {
  dropEarlyClients(now);
  sweepConnections(now);
  sweepSessions(now);
  Lending.tick(now);
  probePrimaries(now);
  for (const auto &[service, it] : Trackers)
    if (!Waiting[service].empty())
      dispatchWaiting(now, service);
}

void Proxy::forgetProofs() {
  for (auto &[service, it] : Trackers)
    it->forgetProofs();
}

void Proxy::dropEarlyClients(TimePoint now) {
  std::vector<ClientId> late;
  std::erase_if(Unconfigured, [&](const EarlyClient &it) {
    const bool isLate = now - it.ConnectedAt > Options.EarlyClientLimit;
    if (isLate)
      late.push_back(it.Client);
    return isLate;
  });
  for (const auto it : late)
    Io.closeClient(it);
}

void Proxy::sweepSessions(TimePoint now) {
  std::vector<ClientId> ids;
  for (const auto &[id, it] : Sessions)
    if (it.Current || it.Pinned)
      ids.push_back(id);
  for (const auto id : ids) {
    auto *it = session(id);
    if (it && it->Current)
      expireWork(now, *it);
    it = session(id);
    if (it && it->Current && it->Current->Stage != WorkStage::Waiting)
      moveSlowStatement(now, *it);
    const Duration limit = Configuration.TransactionIdleLimit;
    const bool rests = it && it->Pinned && !it->Current;
    if (rests && limit > Duration{} && now - it->LastActive > limit) {
      Log.decision(
          absl::StrCat("event=transaction_idle client=", it->Id.Number));
      releasePinned(now, *it);
      it->State = SessionState::Failed;
      it->WasAbortedAtRest = true;
    }
  }
}

void Proxy::expireWork(TimePoint now, ClientSession &session) {
  auto &work = *session.Current;
  const bool wasSent = work.Stage == WorkStage::Sent;
  // NOTE: without control nobody may tell this VM of a new primary, but others
  // may know it.
  const bool isHopeless =
      IsIsolated || (IsControlLost && work.PrimaryOnly &&
                     !tracker(session.Route.Service).primary(now));
  Duration patience =
      isHopeless ? Options.IsolatedQueueLimit : Options.QueueLimit;
  // NOTE: an overload outlasts a single statement, and the sooner the client is
  // told, the more time its other tries have.
  if (work.IsShed)
    patience = std::min(patience,
                        session.Route.LatencyObjective / ShedPatienceDivisor);
  const TimePoint limit =
      wasSent ? work.Deadline
              : std::min(work.Deadline, work.ArrivedAt + patience);
  if (now < limit)
    return;
  if (!wasSent) {
    const std::string reason = work.LastRefusal;
    abandonStatement(now, session);
    return refuse(now, session, ReplyCode::Busy, reason);
  }
  const bool isOpen = session.State == SessionState::InTransaction;
  const bool isCommit = work.Statement.Kind == StatementKind::Commit;
  abandonStatement(now, session);
  if (isOpen && isCommit) {
    const bool wrote = session.HasWritten;
    // NOTE: a commit is under way, so a rollback behind it would be wrong.
    const auto pinned = std::exchange(session.Pinned, std::nullopt);
    if (auto *connection = Pool.find(*pinned)) {
      connection->Owner.reset();
      connection->IsPinned = false;
      connection->IsAbandoned = true;
    }
    session.State = SessionState::Idle;
    session.Mode = TransactionMode::None;
    return refuse(now, session,
                  wrote ? ReplyCode::OutcomeUnknown : ReplyCode::TimedOut,
                  "the commit took longer than its limit");
  }
  if (isOpen)
    return refuse(now, session, ReplyCode::Aborted,
                  "a statement took longer than its limit");
  refuse(now, session,
         work.Mode == AccessMode::Write ? ReplyCode::OutcomeUnknown
                                        : ReplyCode::TimedOut,
         "the statement took longer than its limit");
}

void Proxy::abortSilentTransaction(TimePoint now, const ClientSession &session,
                                   InstanceConnection &connection,
                                   const TrackedInstance &instance) {
  const auto &work = *session.Current;
  const bool isCommit = work.Statement.Kind == StatementKind::Commit;
  const Duration limit =
      std::max(Options.SilentTransactionLimit,
               Options.SilentTransactionFactor * instance.ServiceTime);
  if (isCommit || connection.isBorrowed() ||
      !instance.hasAnsweredLater(work.SentAt) || now - work.SentAt < limit)
    return;
  // NOTE: the instance rolls back once the connection is closed, so the client
  // may try again whole, and still has the time for it.
  const ConnectionId id = connection.Id;
  Io.closeConnection(id);
  connectionLost(now, id);
}

void Proxy::moveSlowStatement(TimePoint now, ClientSession &session) {
  auto &work = *session.Current;
  const bool isOpen = session.State == SessionState::InTransaction;
  if (!work.Connection || now - work.SentAt < Options.ReadRetryAfter)
    return;
  auto *connection = Pool.find(*work.Connection);
  const auto *instance =
      connection ? tracker(connection->Service).find(connection->Instance)
                 : nullptr;
  if (!instance)
    return;
  if (isOpen && session.HasRunInTransaction)
    return abortSilentTransaction(now, session, *connection, *instance);
  // The primary is worth another try only by another path.
  const bool isCutOff = instance->IsDirectBad && !connection->isBorrowed();
  const bool isRead = work.Mode == AccessMode::Read &&
                      work.Statement.Kind != StatementKind::Commit;
  const bool isUnsent = work.Stage == WorkStage::Beginning;
  const bool isSilent =
      !connection->isBorrowed() && instance->hasAnsweredLater(work.SentAt);
  const bool isMovable = work.PrimaryOnly
                             ? (isCutOff || isSilent) && (isRead || isUnsent)
                             : isRead;
  if (!isMovable || work.Sendings >= 2)
    return;
  const InstanceId slow = connection->Instance;
  tracker(connection->Service).noteSilence(now, slow);
  if (isOpen && session.Pinned)
    releasePinned(now, session);
  else
    abandonStatement(now, session);
  notRun(now, session, ReplyCode::TimedOut, slow);
}

void Proxy::probePrimaries(TimePoint now) {
  for (auto &[service, it] : Trackers) {
    if (!it->primary(now) || it->isLeadDenied(now)) {
      searchPrimary(now, service, *it);
      continue;
    }
    const auto newest = it->newestProofAt();
    if (newest && now - *newest < Options.ProofInterval)
      continue;
    auto &probedAt = ProbedAt[service];
    if (now - probedAt < Options.ProofInterval / 2)
      continue;
    const auto primary = it->primary(now);
    const auto *instance = primary ? it->find(*primary) : nullptr;
    if (!instance)
      continue;
    auto *connection = Pool.findLongestUnused(*primary, !instance->IsDirectBad);
    if (!connection) {
      const bool isAlone = instance->IsDirectBad || Pool.ownAt(*primary) == 0;
      if (isAlone && !Pool.isOpening(*primary))
        openTo(now, instance->Record);
      continue;
    }
    probedAt = now;
    sendProbe(now, *connection);
  }
  for (auto &[service, it] : Trackers)
    for (auto &[id, instance] : it->all()) {
      if (instance.IsDirectBad)
        probeDirectPath(now, instance);
      else if (mustReturnToOwn(now, instance.Record))
        openTo(now, instance.Record);
    }
}

void Proxy::searchPrimary(TimePoint now, const std::string &service,
                          InstanceTracker &instances) {
  auto &probedAt = ProbedAt[service];
  if (now - probedAt < Options.SearchInterval)
    return;
  probedAt = now;
  for (auto &[id, it] : instances.all()) {
    auto *connection = Pool.findFree(id, {}, !it.IsDirectBad);
    if (connection)
      sendProbe(now, *connection);
    else if (!Pool.isOpening(id) && (it.IsDirectBad || Pool.countOf(id) == 0))
      openTo(now, it.Record);
  }
}

void Proxy::probeDirectPath(TimePoint now, TrackedInstance &instance) {
  if (now - instance.DirectProbedAt < Options.DirectProbeInterval)
    return;
  instance.DirectProbedAt = now;
  const auto &record = instance.Record;
  if (auto *connection = Pool.findFreeDirect(record.Id))
    sendProbe(now, *connection);
  else if (!Pool.isOpening(record.Id))
    Pool.openOne(now, record, shareOf(now, record), "");
}

bool Proxy::isUnneeded(TimePoint now, const InstanceConnection &connection) {
  if (!connection.isFree())
    return false;
  const auto *instance = tracker(connection.Service).find(connection.Instance);
  const auto share =
      instance ? shareOf(now, instance->Record) : ConnectionShare{0, 0};
  // NOTE: position questions come twice a second and would keep it open: 70 VMs
  // that are no homes had 25 to 35 of a primary's 53 connections so.
  const Duration idle = now - connection.LastServed;
  if (idle > Options.SpareConnectionLifetime &&
      Pool.countOf(connection.Instance) > share.Floor)
    return true;
  if (!instance || connection.isBorrowed())
    return false;
  // NOTE: a VM that no longer is a home gives its connections up.
  if (usesHomes(connection.Service))
    return !isHomeOf(instance->Record) && idle > Options.ForeignLifetime;
  // NOTE: the share shrinks when a VM comes back; kept beyond it, these
  // connections would fill the instance after a loss of power. 0.849 of the
  // worth was earned without this line, 0.855 with it (simulated days that end
  // so, means of twenty).
  return Pool.ownAt(connection.Instance) > share.Limit;
}

void Proxy::sweepConnections(TimePoint now) {
  std::vector<ConnectionId> dead;
  std::vector<ConnectionId> spare;
  for (auto &[id, it] : Pool.all()) {
    auto *instance = tracker(it.Service).find(it.Instance);
    if (!it.IsReady && now - it.OpenedAt > Options.ConnectLimit)
      dead.push_back(id);
    if (it.Sent.empty()) {
      if (isUnneeded(now, it))
        spare.push_back(id);
      continue;
    }
    const Duration waited = now - it.Sent.front().SentAt;
    const bool isSuspect = instance && !it.isBorrowed() &&
                           instance->hasAnsweredLater(it.Sent.front().SentAt);
    const Duration lifetime =
        isSuspect ? Options.SuspectLifetime : Options.AbandonedLifetime;
    if (it.IsAbandoned && waited > lifetime)
      dead.push_back(id);
    const bool isSilent = instance && waited > SilenceLimit &&
                          now - instance->LastAnswerAt > SilenceLimit;
    if (!isSilent)
      continue;
    // NOTE: a read that was moved away may have noted the silence before.
    if (!instance->SilentSince)
      instance->SilentSince =
          std::max(it.Sent.front().SentAt, instance->LastAnswerAt);
    if (!it.isBorrowed())
      noteDirectBad(now, *instance);
  }
  for (const auto id : dead) {
    Io.closeConnection(id);
    connectionLost(now, id);
  }
  // NOTE: one at a time, since each closing changes the count.
  if (!spare.empty())
    Pool.close(spare.front());
}

} // namespace stepledge::proxy
