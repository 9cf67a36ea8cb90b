// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The part of Proxy that finds a session's organisation, applies the
/// organisation's quota, and ends a session whose key was withdrawn.

#include "base/LogField.h"
#include "proxy/Proxy.h"

#include "absl/strings/str_cat.h"

#include <vector>

namespace stepledge::proxy {

std::optional<OrganisationId>
Proxy::organisationOf(const control::Route &route, const KeyDigest &key) const {
  if (!Configuration.HasOrganisations)
    return OrganisationId();
  if (const auto *it = Configuration.findByKey(key))
    return it->Id;
  return route.IsPublic ? std::optional(OrganisationId()) : std::nullopt;
}

std::optional<OrganisationId> Proxy::probeOrganisation() const {
  return Configuration.HasOrganisations ? std::nullopt
                                        : std::optional(OrganisationId());
}

void Proxy::reviewSessions(TimePoint now) {
  std::vector<ClientId> ids;
  ids.reserve(Sessions.size());
  for (const auto &[id, it] : Sessions)
    ids.push_back(id);
  for (const auto id : ids)
    if (auto *it = session(id))
      reviewSession(now, *it);
}

void Proxy::reviewSession(TimePoint now, ClientSession &session) {
  const auto route = Configuration.Routes.find(session.Database);
  // NOTE: without a route the next statement is refused, whatever the key.
  if (route == Configuration.Routes.end())
    return;
  const auto organisation = organisationOf(route->second, session.Key);
  if (!organisation && session.IsKeyWithdrawn)
    return;
  if (!organisation)
    return withdrawKey(now, session);
  session.IsKeyWithdrawn = false;
  if (*organisation == session.Organisation)
    return;
  session.Organisation = *organisation;
  const bool isSent =
      session.Current && session.Current->Stage != StatementStage::Waiting;
  if (!session.Pinned || isSent)
    return;
  // NOTE: the transaction is on a connection of the organisation that the key
  // belonged to before.
  if (session.Current)
    return refuse(now, session, ReplyCode::Aborted,
                  "the key belongs to another organisation now");
  releasePinned(now, session);
  session.State = SessionState::Failed;
  session.WasAbortedWhileIdle = true;
}

void Proxy::withdrawKey(TimePoint now, ClientSession &session) {
  session.IsKeyWithdrawn = true;
  Log.decision(
      absl::StrCat("event=key_withdrawn client=", session.Id.Number,
                   " organisation=", logField(session.Organisation.str()),
                   " config=", Configuration.Version));
  const ClientId id = session.Id;
  const bool isSent =
      session.Current && session.Current->Stage != StatementStage::Waiting;
  // NOTE: a statement already sent to an instance is still answered, so that
  // the client gets its outcome; no further statement of the transaction is
  // run.
  if (isSent)
    return;
  if (session.Current)
    return refuse(now, session, ReplyCode::Unauthorised,
                  "the key was taken away");
  endIfKeyWithdrawn(now, id);
}

void Proxy::endIfKeyWithdrawn(TimePoint now, ClientId client) {
  auto *it = session(client);
  if (!it || !it->IsKeyWithdrawn || it->Current || !it->Queue.empty())
    return;
  if (it->State == SessionState::InTransaction) {
    releasePinned(now, *it);
    it->State = SessionState::Failed;
  }
  if (it->State != SessionState::Idle)
    return;
  endWithRefusal(now, client, SessionEnd::KeyWithdrawn);
}

bool Proxy::isAdmitted(TimePoint now, ClientSession &session) {
  if (session.IsAdmitted)
    return true;
  switch (Quota.admit(now, session.Organisation, session.Route.Priority)) {
  case quota::QuotaVerdict::Granted:
    session.IsAdmitted = true;
    return true;
  case quota::QuotaVerdict::Pending:
    session.Current->LastRefusal = "the organisation's quota isn't known";
    addToQueue(session, session.Current->NotBefore);
    return false;
  case quota::QuotaVerdict::Exhausted:
    break;
  }
  const int priority = session.Route.Priority;
  Log.refusedByQuota(priority);
  const auto pause = Quota.retryAfter(now, session.Organisation, priority);
  refuse(now, session, ReplyCode::Busy,
         absl::StrCat("the organisation's quota is used up for priority ",
                      priority, "; retry after ", toMilliseconds(pause),
                      " ms"));
  return false;
}

void Proxy::quotaChanged(TimePoint now, const OrganisationId &organisation) {
  std::vector<ClientId> waiting;
  for (const auto &[id, it] : Sessions)
    if (it.Current && it.Organisation == organisation && !it.IsAdmitted &&
        it.Current->Stage == StatementStage::Waiting)
      waiting.push_back(id);
  for (const auto id : waiting) {
    auto *it = session(id);
    if (it && it->Current && it->Current->Stage == StatementStage::Waiting)
      dispatch(now, *it);
  }
}

} // namespace stepledge::proxy
