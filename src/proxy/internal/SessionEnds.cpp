// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The part of Proxy that ends clients' sessions and logs the reason. A
/// session ends after an answer or with a refusal, never silently, since a
/// statement may be in flight.

#include "base/LogField.h"
#include "proxy/Proxy.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace stepledge::proxy {

namespace {

/// The reply to a client whose session this VM ends.
StatementReply refusalOf(SessionEnd reason) {
  StatementReply reply;
  reply.Code = ReplyCode::Busy;
  switch (reason) {
  case SessionEnd::KeyWithdrawn:
    reply.Code = ReplyCode::Unauthorised;
    reply.Detail = "the key was taken away";
    break;
  case SessionEnd::NoConfiguration:
    reply.Detail = "this VM has no configuration yet";
    break;
  default:
    reply.Detail = StoppingReason;
    break;
  }
  return reply;
}

} // namespace

void Proxy::clientDisconnected(TimePoint now, ClientId client) {
  logAbandonedStatement(now, client);
  removeClient(now, client);
}

void Proxy::removeClient(TimePoint now, ClientId client) {
  std::erase_if(EarlyClients,
                [&](const auto &it) { return it.Client == client; });
  EndedSessions.erase(client);
  auto *it = session(client);
  if (!it)
    return;
  if (it->Current)
    abandonStatement(now, *it);
  releasePinned(now, *it);
  Sessions.erase(client);
}

void Proxy::clientDropped(TimePoint now, ClientId client, SessionEnd reason) {
  const auto *it = session(client);
  const std::size_t unanswered =
      it ? it->Queue.size() + (it->Current ? 1 : 0) : 0;
  Log.decision(absl::StrCat("event=client_dropped client=", client.Number,
                            " reason=", std::string(nameOf(reason)),
                            " unanswered=", unanswered));
  Log.sessionEnded(reason);
  removeClient(now, client);
}

void Proxy::logAbandonedStatement(TimePoint now, ClientId client) {
  const auto *it = session(client);
  if (!it || !it->Current)
    return;
  const auto &work = *it->Current;
  const bool wasSent = work.Stage == StatementStage::Sent;
  Log.decision(absl::StrCat(
      "event=statement_given_up client=", client.Number, " request=",
      work.Statement.Id.empty() ? "-" : logField(work.Statement.Id),
      " database=", logField(it->Database.str()),
      " stage=", wasSent ? "sent" : "waiting", " sendings=", work.SendCount,
      " waited_ms=", toMilliseconds(now - work.ArrivedAt)));
  Log.givenUp(wasSent);
}

void Proxy::endSession(TimePoint now, ClientId client, SessionEnd reason) {
  removeClient(now, client);
  EndedSessions[client] = reason;
  Log.sessionEnded(reason);
  Io.closeClient(client);
}

void Proxy::endWithRefusal(TimePoint now, ClientId client, SessionEnd reason) {
  removeClient(now, client);
  EndedSessions[client] = reason;
  Log.sessionEnded(reason);
  Io.rejectClient(client, refusalOf(reason));
}

void Proxy::logUnanswered(ClientId client, const ClientStatement &statement) {
  const auto ended = EndedSessions.find(client);
  const std::string reason(
      ended == EndedSessions.end() ? "no_session" : nameOf(ended->second));
  Log.decision(absl::StrCat(
      "event=statement_unanswered client=", client.Number, " request=",
      statement.Id.empty() ? "-" : logField(statement.Id), " reason=", reason));
  Log.unanswered(reason);
}

void Proxy::endIfMustReconnect(TimePoint now, ClientId client) {
  const auto *it = session(client);
  if (!it || !it->isIdle())
    return;
  if (IsShuttingDown)
    return endSession(now, client, SessionEnd::Stopping);
  if (it->MustReconnect)
    endSession(now, client, SessionEnd::Isolated);
}

void Proxy::closeIdleSessions(TimePoint now, Duration atLeast) {
  std::vector<ClientId> idle;
  for (const auto &[id, it] : Sessions)
    if (it.isIdle() && now - it.LastActive >= atLeast)
      idle.push_back(id);
  for (const auto id : idle)
    endWithRefusal(now, id, SessionEnd::Stopping);
}

void Proxy::endAllWork(TimePoint now) {
  IsEnding = true;
  std::vector<ClientId> unsent;
  std::vector<ClientId> sent;
  std::vector<ClientId> resting;
  for (const auto &[id, it] : Sessions) {
    if (!it.Current)
      resting.push_back(id);
    else if (it.Current->Stage == StatementStage::Sent)
      sent.push_back(id);
    else
      unsent.push_back(id);
  }
  // NOTE: the unsent ones go first: a statement that is given up may free a
  // connection, on which another one would be sent.
  for (const auto &ids : {unsent, sent})
    for (const auto id : ids)
      refuseAtEnd(now, id);
  for (const auto id : resting)
    endWithRefusal(now, id, SessionEnd::Stopping);
  dropEarlyClients(now);
  Lending.endAllBorrows(now);
}

void Proxy::refuseAtEnd(TimePoint now, ClientId client) {
  auto *it = session(client);
  if (!it || !it->Current)
    return;
  if (it->Current->Stage == StatementStage::Sent) {
    giveUpSent(now, *it, "had no answer when this VM ended");
  } else {
    abandonStatement(now, *it);
    refuse(now, *it, ReplyCode::Busy, StoppingReason);
  }
  // NOTE: the refusal has ended a session that is outside a transaction.
  if (session(client))
    endSession(now, client, SessionEnd::Stopping);
}

void Proxy::logEarlyClients(TimePoint now) {
  if (EarlyClients.empty())
    return;
  std::size_t statements = 0;
  for (const auto &it : EarlyClients)
    statements += it.Statements.size();
  // NOTE: the first client has waited longest.
  Log.decision(absl::StrCat(
      "event=early_clients clients=", EarlyClients.size(),
      " statements=", statements,
      " longest_ms=", toMilliseconds(now - EarlyClients.front().ConnectedAt)));
}

void Proxy::dropEarlyClients(TimePoint now) {
  std::vector<ClientId> late;
  for (const auto &it : EarlyClients)
    if (IsShuttingDown || now - it.ConnectedAt > Options.EarlyClientTimeout)
      late.push_back(it.Client);
  for (const auto it : late)
    endWithRefusal(now, it, SessionEnd::NoConfiguration);
}

} // namespace stepledge::proxy
