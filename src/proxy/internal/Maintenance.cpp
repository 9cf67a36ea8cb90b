// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The periodic work of Proxy: timeouts, probes and the closing of
/// connections.

#include "proxy/Proxy.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace stepledge::proxy {

namespace {

/// A command unanswered for this long counts as silence: longer than a full
/// queue of an instance takes.
constexpr Duration SilenceLimit = milliseconds(300);
/// A read at an instance that is much slower than its siblings is moved after
/// this many times its usual time: the slow answer would take longer than this
/// wait and a sibling's answer together.
constexpr int EarlyMoveFactor = 3;

} // namespace

void Proxy::tick(TimePoint now) {
  dropEarlyClients(now);
  sweepConnections(now);
  sweepSessions(now);
  Lending.tick(now);
  reviewOutliers(now);
  probePrimaries(now);
  restoreOwnConnections(now);
  std::vector<std::string> waiting;
  for (const auto &[service, clients] : StatementQueues)
    if (!clients.empty())
      waiting.push_back(service);
  for (const auto &service : waiting)
    dispatchQueue(now, service);
}

void Proxy::reviewOutliers(TimePoint now) {
  for (auto &[service, instances] : Trackers)
    for (const auto &it : instances->outliers().review(now))
      Log.decision(absl::StrCat(
          "event=instance_outlier instance=", it.Instance.str(),
          " service=", service, " held_back=", it.IsOutlier,
          " slowness=", it.Slowness, " siblings_slowness=", it.SiblingSlowness,
          " failing=", it.FailureRate,
          " siblings_failing=", it.SiblingFailureRate));
}

int Proxy::outlierInstances() const {
  int n = 0;
  for (const auto &[service, instances] : Trackers)
    n += instances->outliers().outlierCount();
  return n;
}

void Proxy::clearProofs() {
  for (auto &[service, it] : Trackers)
    it->clearProofs();
}

void Proxy::sweepSessions(TimePoint now) {
  std::vector<ClientId> ids;
  for (const auto &[id, it] : Sessions)
    if (it.Current || it.Pinned)
      ids.push_back(id);
  // NOTE: each step may end the session.
  for (const auto id : ids) {
    auto *it = session(id);
    if (it && it->Current)
      expireWork(now, *it);
    it = session(id);
    if (it && it->Current && it->Current->Stage != StatementStage::Waiting)
      moveSlowStatement(now, *it);
    it = session(id);
    if (it && it->Pinned && !it->Current)
      endIdleTransaction(now, *it);
  }
}

void Proxy::endIdleTransaction(TimePoint now, ClientSession &session) {
  const Duration limit = Configuration.TransactionIdleLimit;
  if (limit <= Duration{} || now - session.LastActive <= limit)
    return;
  Log.decision(
      absl::StrCat("event=transaction_idle client=", session.Id.Number));
  releasePinned(now, session);
  session.State = SessionState::Failed;
  session.WasAbortedWhileIdle = true;
}

bool Proxy::awaitsSuccessor(TimePoint now, const std::string &service) {
  auto &instances = tracker(service);
  const auto primary = instances.primary(now);
  const auto *instance = primary ? instances.find(*primary) : nullptr;
  // NOTE: control replaces a primary that stays silent.
  return !instance || instances.isPrimaryDenied(now) || instance->SilentSince ||
         !InstanceTracker::acceptsNewWork(now, *instance);
}

overload::WaitFacts Proxy::factsOf(TimePoint now,
                                   const ClientSession &session) {
  const auto &work = *session.Current;
  overload::WaitFacts facts;
  facts.Priority = session.Route.Priority;
  facts.Objective = session.Route.LatencyObjective;
  facts.StatementTimeout = session.Route.StatementTimeout;
  facts.IsUnderWay = session.HasRunInTransaction &&
                     session.State == SessionState::InTransaction;
  facts.IsAwaitingPrimary =
      work.PrimaryOnly && awaitsSuccessor(now, session.Route.Service);
  facts.IsShed = work.IsShed;
  // NOTE: without control this VM may get no report of a new primary, while
  // other VMs may have one.
  facts.IsUnsendable =
      IsIsolated || (Source.IsControlLost && work.PrimaryOnly &&
                     !tracker(session.Route.Service).primary(now));
  return facts;
}

Duration Proxy::queueLimit(TimePoint now, const ClientSession &session) {
  return WaitLimits.maxWait(factsOf(now, session));
}

void Proxy::expireWork(TimePoint now, ClientSession &session) {
  const auto &work = *session.Current;
  if (work.Stage == StatementStage::Sent) {
    if (now >= work.Deadline)
      giveUpSent(now, session, "took longer than its limit");
    return;
  }
  const TimePoint limit =
      std::min(work.Deadline, work.ArrivedAt + queueLimit(now, session));
  if (now < limit)
    return;
  const std::string reason = work.LastRefusal;
  abandonStatement(now, session);
  Log.refusedForCapacity(false);
  refuse(now, session, ReplyCode::Busy, reason);
}

void Proxy::giveUpSent(TimePoint now, ClientSession &session,
                       const std::string &cause) {
  const auto &work = *session.Current;
  const bool isOpen = session.State == SessionState::InTransaction;
  const bool isCommit = work.Statement.Kind == StatementKind::Commit;
  if (const auto *it = work.Connection ? Pool.find(*work.Connection) : nullptr)
    noteReadFailure(now, session, it->Instance);
  abandonStatement(now, session);
  if (isOpen && isCommit)
    return giveUpCommit(now, session, cause);
  if (isOpen)
    return refuse(now, session, ReplyCode::Aborted, "a statement " + cause);
  refuse(now, session,
         work.Mode == AccessMode::Write ? ReplyCode::OutcomeUnknown
                                        : ReplyCode::TimedOut,
         "the statement " + cause);
}

void Proxy::giveUpCommit(TimePoint now, ClientSession &session,
                         const std::string &cause) {
  const bool hasWritten = session.HasWritten;
  // NOTE: the commit was sent and may succeed, so no rollback may follow it.
  const auto pinned = std::exchange(session.Pinned, std::nullopt);
  if (auto *connection = Pool.find(*pinned))
    connection->abandon();
  session.State = SessionState::Idle;
  session.Mode = TransactionMode::None;
  refuse(now, session,
         hasWritten ? ReplyCode::OutcomeUnknown : ReplyCode::TimedOut,
         "the commit " + cause);
}

void Proxy::abortSilentTransaction(TimePoint now, const ClientSession &session,
                                   InstanceConnection &connection,
                                   const TrackedInstance &instance) {
  const auto &work = *session.Current;
  const bool isCommit = work.Statement.Kind == StatementKind::Commit;
  const Duration limit =
      std::max(Options.SilentTransactionLimit,
               Options.SilentTransactionFactor * instance.ServiceTime);
  const bool isSilent = instance.hasAnsweredLater(work.SentAt) ||
                        instance.isSilentSince(work.SentAt);
  if (isCommit || connection.isBorrowed() || !isSilent ||
      now - work.SentAt < limit)
    return;
  // NOTE: the instance rolls back once the connection is closed, so the client
  // may repeat the whole transaction, and still has the time for it.
  const ConnectionId id = connection.Id;
  Io.closeConnection(id);
  connectionLost(now, id);
}

bool Proxy::isMovable(const ClientSession &session,
                      const InstanceConnection &connection,
                      const TrackedInstance &instance) {
  const auto &work = *session.Current;
  const bool isRead = work.Mode == AccessMode::Read &&
                      work.Statement.Kind != StatementKind::Commit;
  if (!work.PrimaryOnly)
    return isRead;
  const bool isUnsent = work.Stage == StatementStage::Beginning;
  // Another attempt at the primary is useful only over another path.
  const bool isPathBad =
      instance.IsDirectPathLost || instance.hasAnsweredLater(work.SentAt);
  return !connection.isBorrowed() && isPathBad && (isRead || isUnsent);
}

bool Proxy::isWorthMoving(TimePoint now, const ClientSession &session) {
  const auto &work = *session.Current;
  const auto usual = StatementTimes.usual(session.Route);
  // NOTE: where reads wait, the siblings have no capacity for one more.
  const auto waiting = StatementQueues.find(session.Route.Service);
  if (waiting != StatementQueues.end() && !waiting->second.empty())
    return false;
  if (!isSharedRead(session) || !work.Minimum || !usual ||
      now - work.SentAt < EarlyMoveFactor * *usual)
    return false;
  const auto *connection = Pool.find(*work.Connection);
  auto &instances = tracker(session.Route.Service);
  if (!connection || !instances.outliers().isSlow(now, connection->Instance))
    return false;
  auto tried = work.Tried;
  tried.insert(connection->Instance);
  return !instances.readCandidates(now, *work.Minimum, tried).empty();
}

void Proxy::moveSlowStatement(TimePoint now, ClientSession &session) {
  const auto &work = *session.Current;
  const bool isOpen = session.State == SessionState::InTransaction;
  if (!work.Connection)
    return;
  const Duration waited = now - work.SentAt;
  const bool isEarly = waited < Options.ReadRetryAfter;
  if (isEarly && !isWorthMoving(now, session))
    return;
  auto *connection = Pool.find(*work.Connection);
  const auto *instance =
      connection ? tracker(connection->Service).find(connection->Instance)
                 : nullptr;
  if (!instance)
    return;
  if (isOpen && session.HasRunInTransaction)
    return abortSilentTransaction(now, session, *connection, *instance);
  if (work.SendCount >= Options.MaxUnansweredSends ||
      !isMovable(session, *connection, *instance))
    return;
  // NOTE: a late move also counts against the budget, but is never refused.
  const bool hasBudget = ReadRetryBudget.take();
  if (isEarly && !hasBudget)
    return;
  const InstanceId slow = connection->Instance;
  auto &instances = tracker(connection->Service);
  const bool isSilent = instance->LastAnswerAt < work.SentAt;
  if (isSharedRead(session))
    instances.outliers().noteAnswer(
        now, slow, StatementTimes.slowness(session.Route, waited));
  if (isSilent)
    noteReadFailure(now, session, slow);
  if (!isEarly)
    instances.noteSilence(now, slow);
  if (isOpen && session.Pinned)
    releasePinned(now, session);
  else
    abandonStatement(now, session);
  retryStatement(now, session, ReplyCode::TimedOut, slow);
}

void Proxy::probePrimaries(TimePoint now) {
  for (const auto &service : Watch.watched(now)) {
    auto &it = tracker(service);
    const auto primary = it.primary(now);
    if (!primary || it.isPrimaryDenied(now)) {
      askWhoLeads(now, it, [](const auto &) { return true; });
      continue;
    }
    const auto *instance = it.find(*primary);
    if (!instance)
      continue;
    if (instance->SilentSince)
      askWhoLeads(now, it, [&](const InstanceId &id) {
        return it.mayHaveTakenOver(now, id);
      });
    probePrimary(now, service, it.newestProofAt(), *instance);
  }
}

void Proxy::probePrimary(TimePoint now, const std::string &service,
                         std::optional<TimePoint> newestProofAt,
                         const TrackedInstance &instance) {
  if (newestProofAt && now - *newestProofAt < Options.ProofInterval)
    return;
  auto &probedAt = ProbedAt[service];
  if (now - probedAt < Options.ProofInterval / 2)
    return;
  const InstanceId &id = instance.Record.Id;
  if (auto *it = Pool.findForProbe(id, !instance.IsDirectPathLost,
                                   probeOrganisation())) {
    probedAt = now;
    return sendProbe(now, *it);
  }
  const bool hasNoDirect = instance.IsDirectPathLost || Pool.ownCount(id) == 0;
  if (hasNoDirect && !Pool.isOpening(id))
    openOrBorrow(now, instance.Record, probeOrganisation());
}

void Proxy::restoreOwnConnections(TimePoint now) {
  for (const auto &service : Watch.watched(now))
    for (auto &[id, instance] : tracker(service).all()) {
      if (instance.IsDirectPathLost)
        probeDirectPath(now, instance);
      else if (shouldRestoreOwn(now, instance.Record))
        openOrBorrow(now, instance.Record, probeOrganisation());
    }
}

void Proxy::askWhoLeads(
    TimePoint now, InstanceTracker &instances,
    const std::function<bool(const InstanceId &)> &isAsked) {
  if (!instances.takeSearch(now, Options.SearchInterval))
    return;
  for (auto &[id, it] : instances.all()) {
    if (!isAsked(id))
      continue;
    auto *connection =
        Pool.findForProbe(id, !it.IsDirectPathLost, probeOrganisation());
    if (connection)
      sendProbe(now, *connection);
    else if (!Pool.isOpening(id) &&
             (it.IsDirectPathLost || Pool.countOf(id) == 0))
      openOrBorrow(now, it.Record, probeOrganisation());
  }
}

void Proxy::probeDirectPath(TimePoint now, TrackedInstance &instance) {
  if (now - instance.DirectProbedAt < Options.DirectProbeInterval)
    return;
  instance.DirectProbedAt = now;
  const auto &record = instance.Record;
  if (auto *connection = Pool.findFreeDirect(record.Id, std::nullopt))
    sendProbe(now, *connection);
  else if (!Pool.isOpening(record.Id))
    Pool.openOne(now, record, shareOf(now, record), "", probeOrganisation());
}

bool Proxy::isSurplus(TimePoint now, const InstanceConnection &connection) {
  if (!connection.isFree())
    return false;
  const auto *instance = tracker(connection.Service).find(connection.Instance);
  const auto share =
      instance ? shareOf(now, instance->Record) : ConnectionShare{0, 0};
  // NOTE: position probes don't count as use. They come twice a second and
  // would keep the connection open: 70 non-home VMs held 25 to 35 of a
  // primary's 53 connections.
  const Duration idle = now - connection.LastServed;
  if (idle > Options.SpareConnectionLifetime &&
      Pool.countOf(connection.Instance) > share.Floor)
    return true;
  if (!instance || connection.isBorrowed())
    return false;
  // NOTE: a VM that is no longer a home closes its connections.
  if (usesHomes(connection.Service))
    return !isHomeOf(instance->Record) && idle > Options.NonHomeLifetime;
  // NOTE: the share shrinks when a VM rejoins. Connections kept beyond it
  // would use up all connections of the instance after a power loss.
  return Pool.ownCount(connection.Instance) > share.Limit;
}

bool Proxy::isUnresponsive(TimePoint now,
                           const InstanceConnection &connection) {
  if (!connection.IsReady && now - connection.OpenedAt > Options.ConnectTimeout)
    return true;
  if (!connection.IsAbandoned || connection.Sent.empty())
    return false;
  const TimePoint sentAt = connection.Sent.front().SentAt;
  const auto *instance = tracker(connection.Service).find(connection.Instance);
  const bool isSuspect = instance && !connection.isBorrowed() &&
                         instance->hasAnsweredLater(sentAt);
  return now - sentAt >
         (isSuspect ? Options.SuspectLifetime : Options.AbandonedLifetime);
}

void Proxy::noteSilenceOn(TimePoint now, const InstanceConnection &connection) {
  if (connection.Sent.empty())
    return;
  const TimePoint sentAt = connection.Sent.front().SentAt;
  if (now - sentAt <= SilenceLimit)
    return;
  auto *instance = tracker(connection.Service).find(connection.Instance);
  if (!instance || now - instance->LastAnswerAt <= SilenceLimit)
    return;
  // NOTE: the silence may have been recorded already when a read was moved.
  if (!instance->SilentSince)
    instance->SilentSince = std::max(sentAt, instance->LastAnswerAt);
  if (!connection.isBorrowed())
    noteDirectPathLost(now, *instance);
}

void Proxy::sweepConnections(TimePoint now) {
  std::vector<ConnectionId> dead;
  std::vector<ConnectionId> spare;
  for (auto &[id, it] : Pool.all()) {
    if (isUnresponsive(now, it))
      dead.push_back(id);
    if (isSurplus(now, it))
      spare.push_back(id);
    noteSilenceOn(now, it);
  }
  for (const auto id : dead) {
    Io.closeConnection(id);
    connectionLost(now, id);
  }
  // NOTE: only one per sweep, since each closing changes the count.
  if (!spare.empty())
    Pool.close(spare.front());
}

} // namespace stepledge::proxy
