// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The part of Proxy that handles the instances' answers and lost
/// connections.

#include "proxy/Proxy.h"

#include "absl/strings/str_cat.h"
#include "base/LogField.h"

#include <algorithm>
#include <utility>

namespace stepledge::proxy {

namespace {

/// The maximum number of times a read that instances fail is sent.
constexpr int MaxReadSends = 2;
/// The maximum number of times a statement is sent if lost connections roll it
/// back.
constexpr int MaxSends = 3;
/// The largest factor by which the pause before a retry at the same instance
/// grows.
constexpr int MaxPauseFactor = 6;

} // namespace

void Proxy::connectionReady(TimePoint now, ConnectionId connection,
                            const StatementReply &reply) {
  auto *it = Pool.find(connection);
  if (!it)
    return;
  const std::string service = it->Service;
  const InstanceId instance = it->Instance;
  if (reply.Code == ReplyCode::Success && !reply.IsMalformed) {
    it->IsReady = true;
    it->LastUsed = now;
    it->Answers.greeted(reply);
    auto *known = tracker(service).find(instance);
    if (known && !it->isBorrowed()) {
      known->IsDirectPathLost = false;
      known->LastDirectAnswerAt = now;
    }
    // NOTE: a borrowed connection is ready once its lender is connected; the
    // instance has not answered anything yet.
    if (!it->isBorrowed()) {
      tracker(service).noteReached(instance);
      tracker(service).noteAnswer(now, instance, now - it->OpenedAt);
      noteSlotTime(now, *it, now - it->OpenedAt);
    }
    if (reply.Position)
      tracker(service).notePosition(now, instance, *reply.Position);
    Lending.serveQueue(now, service, instance);
    dispatchQueue(now, service);
    return;
  }
  Log.decision(absl::StrCat(
      "event=connection_refused instance=", instance.str(),
      " service=", service, " code=", std::string(nameOf(reply.Code))));
  Pool.close(connection);
  const bool isAlone = Pool.ownCount(instance) == 0;
  Pool.pauseOpeningUntil(instance,
                         now + (isAlone ? Options.FullInstancePauseUnconnected
                                        : Options.FullInstancePause));
  if (reply.Code != ReplyCode::WrongInstance)
    return;
  auto &instances = tracker(service);
  auto *known = instances.find(instance);
  if (!known || instances.primary(now) != instance)
    return instances.remove(instance);
  // NOTE: a primary that has stopped is replaced only once VMs report it as
  // silent. When it was removed here, no VM reported it, and its service had no
  // primary for 20 s, until its record expired.
  instances.noteDisplaced(instance);
  instances.noteSilence(now, instance);
  noteDirectPathLost(now, *known);
  dispatchQueue(now, service);
}

void Proxy::connectionAnswered(TimePoint now, ConnectionId connection,
                               StatementReply reply) {
  auto *it = Pool.find(connection);
  if (!it)
    return;
  if (it->Sent.empty())
    return distrust(now, *it, AnswerFault::Unowed);
  const SentCommand sent = it->Sent.front();
  // NOTE: the lender checks what comes on a borrowed connection.
  if (it->isBorrowed()) {
    it->Sent.pop_front();
    noteProofs(*it, sent, reply);
    return acceptAnswer(now, *it, sent, std::move(reply));
  }
  const bool mayBeSecond = it->Answers.hasAnswered(reply.Code);
  const bool isOtherText = mayBeSecond && sent.Due != DueAnswer::Rows &&
                           !it->Answers.hasAnsweredSame(reply) &&
                           mustHold(*it, sent, reply);
  auto fault = it->Answers.check(sent.Kind, sent.Due, reply);
  if (!fault && isOtherText)
    fault = AnswerFault::OtherText;
  if (fault)
    return distrust(now, *it, *fault);
  it->Sent.pop_front();
  noteProofs(*it, sent, reply);
  if (mayBeSecond && holdError(now, *it, sent, reply))
    return;
  if (it->Held.empty())
    return acceptAnswer(now, *it, sent, std::move(reply));
  if (sent.Reason != Purpose::Check)
    it->Held.push_back({sent, std::move(reply)});
  if (!it->awaitsChecks())
    acceptHeld(now, *it);
}

void Proxy::acceptAnswer(TimePoint now, InstanceConnection &answered,
                         const SentCommand &sent, StatementReply reply) {
  auto *it = &answered;
  const ConnectionId connection = it->Id;
  auto &instances = tracker(it->Service);
  // NOTE: a lender that refuses sends the answer itself.
  const bool isFromInstance = !it->IsRefused;
  if (auto *instance = instances.find(it->Instance)) {
    if (!it->isBorrowed()) {
      instance->IsDirectPathLost = false;
      instance->LastDirectAnswerAt = now;
    }
    if (sent.Reason == Purpose::Statement)
      instance->Statements = std::max(0, instance->Statements - 1);
    if (isFromInstance) {
      instance->SilentSince.reset();
      instance->LastAnswerAt = now;
    }
  }
  if (auto *instance = instances.find(it->Instance);
      instance && !it->isBorrowed())
    instance->NewestAnsweredSentAt =
        std::max(instance->NewestAnsweredSentAt, sent.SentAt);
  if (sent.Reason == Purpose::Statement && isFromInstance) {
    // NOTE: otherwise an instance that fails at once would seem to be the
    // fastest.
    if (reply.Code == ReplyCode::Failed || reply.Code == ReplyCode::Busy)
      instances.noteRefusal(now, it->Instance);
    else
      instances.noteAnswer(now, it->Instance, now - sent.SentAt);
    noteSlotTime(now, *it, now - sent.SentAt);
  }
  if (it->isBorrowed() && isFromInstance)
    ReportedWaits.noteServed(now, it->Instance, it->LenderIp);
  if (reply.Position)
    instances.notePosition(now, it->Instance, *reply.Position);

  if (sent.Reason == Purpose::Probe && reply.Code == ReplyCode::ReadOnly)
    instances.noteNotPrimary(now, it->Instance);

  if (it->Borrower)
    return Lending.answered(now, *it, sent.Reason, reply);
  auto *owner = it->Owner ? session(*it->Owner) : nullptr;
  const bool isAwaited =
      owner && owner->Current && owner->Current->Connection == connection;
  if (isAwaited && sent.Reason == Purpose::Begin)
    return beginAnswered(now, *owner, *it, reply);
  if (isAwaited && sent.Reason == Purpose::Statement)
    return statementAnswered(now, *owner, *it, std::move(reply));
  if (!it->Sent.empty())
    return;
  if (it->IsAbandoned) {
    // NOTE: an abandoned commit may be answered as not run, with its
    // transaction still open.
    if (reply.State != SessionState::Idle && sent.Reason != Purpose::End)
      return rollBack(now, *it);
    it->IsAbandoned = false;
    return freeConnection(now, *it);
  }
  if (!owner || !(owner->Pinned == connection))
    freeConnection(now, *it);
}

void Proxy::beginAnswered(TimePoint now, ClientSession &session,
                          InstanceConnection &connection,
                          const StatementReply &reply) {
  const InstanceId instance = connection.Instance;
  const bool hasOtherOrganisation =
      connection.Organisation != session.Organisation;
  if (session.IsKeyWithdrawn || hasOtherOrganisation) {
    connection.abandon();
    rollBack(now, connection);
    return session.IsKeyWithdrawn
               ? refuse(now, session, ReplyCode::Unauthorised,
                        "the key was taken away")
               : retryStatement(now, session, ReplyCode::Aborted, instance);
  }
  if (reply.Code == ReplyCode::Success) {
    if (session.State == SessionState::InTransaction) {
      session.Pinned = connection.Id;
      connection.IsPinned = true;
    }
    return sendStatement(now, session, connection, std::nullopt);
  }
  if (reply.State == SessionState::Idle && !connection.Sent.empty()) {
    connection.abandon();
  } else if (reply.State == SessionState::Idle) {
    freeConnection(now, connection);
  } else {
    connection.Owner.reset();
    connection.IsAbandoned = true;
    rollBack(now, connection);
  }
  retryStatement(now, session, reply.Code, instance);
}

void Proxy::statementAnswered(TimePoint now, ClientSession &session,
                              InstanceConnection &connection,
                              StatementReply reply) {
  const InstanceId instance = connection.Instance;
  const TimePoint sentAt = session.Current->SentAt;
  if (reply.Code == ReplyCode::Success) {
    noteCommit(session, instance, reply, sentAt);
    noteStatementTime(now, session, instance, now - sentAt);
  }
  if (session.State == SessionState::InTransaction)
    return transactionStatementAnswered(now, session, instance,
                                        std::move(reply));
  connection.Owner.reset();
  if (connection.Sent.empty())
    freeConnection(now, connection);
  else
    connection.IsAbandoned = true;
  singleStatementAnswered(now, session, instance, std::move(reply));
}

bool Proxy::isSharedRead(const ClientSession &session) {
  const auto &work = *session.Current;
  return session.State == SessionState::Idle && work.Mode == AccessMode::Read &&
         !work.PrimaryOnly;
}

void Proxy::noteReadFailure(TimePoint now, const ClientSession &session,
                            const InstanceId &instance) {
  auto &instances = tracker(session.Route.Service);
  if (isSharedRead(session) && instances.find(instance))
    instances.outliers().noteFailure(now, instance);
}

void Proxy::noteStatementTime(TimePoint now, const ClientSession &session,
                              const InstanceId &instance, Duration took) {
  auto &instances = tracker(session.Route.Service);
  auto *known = instances.find(instance);
  // NOTE: commits and statements of transactions take a different time than
  // single statements.
  if (!known || session.State != SessionState::Idle)
    return;
  const double slowness = StatementTimes.slowness(session.Route, took);
  known->Running.noteAnswer(slowness, Pool.busyCount(instance) + 1);
  if (isSharedRead(session)) {
    instances.outliers().noteAnswer(now, instance, slowness);
    ReadRetryBudget.noteRequest();
  }
  StatementTimes.note(session.Route, took, known->Running.congestion());
}

void Proxy::singleStatementAnswered(TimePoint now, ClientSession &session,
                                    const InstanceId &instance,
                                    StatementReply reply) {
  auto &work = *session.Current;
  if (reply.Code == ReplyCode::Success)
    return answer(now, session, std::move(reply));
  const bool isRefusal =
      reply.Code == ReplyCode::Busy && !work.IsRefusedByLender;
  if (isRefusal || reply.Code == ReplyCode::Failed)
    noteReadFailure(now, session, instance);
  const bool failedRead = reply.Code == ReplyCode::Failed &&
                          work.Mode == AccessMode::Read &&
                          work.SendCount < MaxReadSends;
  if (isNotRun(reply.Code) || failedRead)
    return retryStatement(now, session, reply.Code, instance);
  refuse(now, session, reply.Code, reply.Detail);
}

void Proxy::transactionStatementAnswered(TimePoint now, ClientSession &session,
                                         const InstanceId &instance,
                                         StatementReply reply) {
  auto &work = *session.Current;
  const bool isCommit = work.Statement.Kind == StatementKind::Commit;
  if (reply.Code == ReplyCode::Success) {
    session.HasRunInTransaction = true;
    session.HasWritten |= work.Mode == AccessMode::Write;
    if (isCommit) {
      auto *connection = Pool.find(*session.Pinned);
      session.Pinned.reset();
      session.State = SessionState::Idle;
      session.Mode = TransactionMode::None;
      freeConnection(now, *connection);
    }
    return answer(now, session, std::move(reply));
  }
  const bool isStillOpen = reply.State == SessionState::InTransaction;
  if (reply.Code == ReplyCode::Busy && isStillOpen)
    return addToQueue(session, now + Options.RetryPause);
  if (isNotRun(reply.Code) && !session.HasRunInTransaction && !isCommit) {
    releasePinned(now, session);
    return retryStatement(now, session, reply.Code, instance);
  }
  if (isCommit) {
    // Whatever the instance left open is rolled back with the connection's
    // release, so the transaction is over for the client too.
    releasePinned(now, session);
    session.State = SessionState::Idle;
    session.Mode = TransactionMode::None;
  }
  refuse(now, session, reply.Code, reply.Detail);
}

void Proxy::noteCommit(ClientSession &session, const InstanceId &instance,
                       const StatementReply &reply, TimePoint sentAt) {
  const auto &work = *session.Current;
  const bool isCommit = work.Statement.Kind == StatementKind::Commit;
  const bool isSingleWrite =
      work.Mode == AccessMode::Write && session.State == SessionState::Idle;
  const bool wrote = isSingleWrite || (isCommit && session.HasWritten);
  if (!wrote || !reply.Position)
    return;
  session.Commits.add(DatabaseId(session.Route.Service), *reply.Position);
  tracker(session.Route.Service).noteProof(sentAt, instance, *reply.Position);
}

void Proxy::retryStatement(TimePoint now, ClientSession &session,
                           ReplyCode code, const InstanceId &instance) {
  auto &work = *session.Current;
  work.Stage = StatementStage::Waiting;
  work.Connection.reset();
  // NOTE: the lender refused before the instance was asked, and another path to
  // the instance may be free.
  const bool isLenderRefusal = std::exchange(work.IsRefusedByLender, false);
  auto &instances = tracker(session.Route.Service);
  if (code == ReplyCode::Lagging && work.Minimum)
    instances.noteLagging(now, instance, *work.Minimum);
  else if (!isLenderRefusal)
    work.Tried.insert(instance);
  work.LastRefusal =
      absl::StrCat("instance ", instance.str(), " refused with code ",
                   std::string(nameOf(code)));
  Log.decision(absl::StrCat(
      "event=retry request=", logField(work.Statement.Id), " organisation=",
      logField(session.Organisation.str()), " instance=", instance.str(),
      " code=", std::string(nameOf(code)), " sendings=", work.SendCount));
  Log.retried(code);
  if (code == ReplyCode::ReadOnly)
    instances.noteNotPrimary(now, instance);
  const int factor = std::min(work.SendCount, MaxPauseFactor);
  const bool mustPause = work.PrimaryOnly && !isLenderRefusal;
  work.NotBefore = mustPause ? now + Options.RetryPause * factor : now;
  dispatch(now, session);
}

void Proxy::connectionLost(TimePoint now, ConnectionId connection) {
  const auto *it = Pool.find(connection);
  if (!it)
    return;
  const InstanceConnection lost = *it;
  auto &instances = tracker(lost.Service);
  // NOTE: the loss of a lender doesn't mean that the instance is silent.
  if (!lost.isBorrowed())
    instances.noteSilence(now, lost.Instance);
  if (lost.isBorrowed()) {
    PausedLenders[lost.Instance][lost.LenderIp] =
        now + Options.FailedLenderPause;
    ReportedWaits.forget(lost.Instance, lost.LenderIp);
  } else if (auto *known = instances.find(lost.Instance);
             known && !lost.IsReady)
    noteDirectPathLost(now, *known);
  auto *owner = lost.Owner ? session(*lost.Owner) : nullptr;
  if (owner && owner->Current && owner->Current->Connection == connection &&
      !lost.isBorrowed())
    noteReadFailure(now, *owner, lost.Instance);
  removeLost(now, lost);
}

void Proxy::removeLost(TimePoint now, const InstanceConnection &lost) {
  const ConnectionId connection = lost.Id;
  Pool.remove(connection);
  if (auto *instance = tracker(lost.Service).find(lost.Instance))
    instance->Statements =
        std::max(0, instance->Statements - lost.statements());
  if (lost.Borrower)
    Lending.connectionLost(*lost.Borrower);
  auto *owner = lost.Owner ? session(*lost.Owner) : nullptr;
  if (!owner)
    return dispatchQueue(now, lost.Service);
  if (owner->Current && owner->Current->Connection == connection)
    return handleLostStatement(now, *owner, lost.Instance);
  if (owner->Pinned == connection) {
    owner->Pinned.reset();
    // NOTE: a statement that waits for a retry in the transaction must not run
    // on another connection.
    if (owner->Current)
      return refuse(now, *owner, ReplyCode::Aborted,
                    "the connection broke and rolled the transaction back");
    owner->State = SessionState::Failed;
    owner->WasAbortedWhileIdle = true;
  }
}

void Proxy::handleLostStatement(TimePoint now, ClientSession &session,
                                const InstanceId &instance) {
  auto &work = *session.Current;
  const bool wasSent = work.Stage == StatementStage::Sent;
  const bool isOpen = session.State == SessionState::InTransaction;
  const bool isCommit = work.Statement.Kind == StatementKind::Commit;
  session.Pinned.reset();
  if (wasSent && isCommit && isOpen) {
    const bool wrote = session.HasWritten;
    session.State = SessionState::Idle;
    session.Mode = TransactionMode::None;
    return refuse(now, session,
                  wrote ? ReplyCode::OutcomeUnknown : ReplyCode::Aborted,
                  "the connection broke during the commit");
  }
  if (wasSent && isOpen && session.HasRunInTransaction)
    return refuse(now, session, ReplyCode::Aborted,
                  "the connection broke and rolled the transaction back");
  if (wasSent && !isOpen && work.Mode == AccessMode::Write)
    return refuse(now, session, ReplyCode::OutcomeUnknown,
                  "the connection broke during the write");
  if (work.SendCount >= MaxSends)
    return refuse(now, session, ReplyCode::Aborted,
                  "the connections to the instances broke");
  retryStatement(now, session, ReplyCode::Aborted, instance);
}

} // namespace stepledge::proxy
