// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "proxy/Proxy.h"

#include "base/LogField.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace stepledge::proxy {

using membership::InstanceState;

namespace {

/// A statement's timeout where the route sets none.
constexpr Duration DefaultStatementTimeout = milliseconds(1000);

constexpr const char *UnknownKey = "no organisation has this key";

/// The rates of the organisations, which set their shares under contention;
/// empty where clients present no keys.
std::map<OrganisationId, double>
ratesOf(const control::Configuration &configuration) {
  std::map<OrganisationId, double> rates;
  if (configuration.HasOrganisations)
    for (const auto &[id, it] : configuration.Organisations)
      rates.emplace(id, it.RatePerSecond);
  return rates;
}

/// The open transaction's route isn't in the configuration any more, or leads
/// to another service.
bool isOldRoute(const control::Configuration &configuration,
                const ClientSession &session) {
  const auto it = configuration.Routes.find(session.Database);
  return it == configuration.Routes.end() ||
         it->second.Service != session.Route.Service;
}

StatementReply localSuccess(SessionState state) {
  StatementReply reply;
  reply.State = state;
  return reply;
}

} // namespace

Proxy::Proxy(ProxyOptions options, IProxyIo &io, IProxyLog &log,
             IBorrowerIo &borrowers, quota::IOperationQuota &quota)
    : Options(std::move(options)), Io(io), Log(log), Quota(quota),
      Watch(Options.OwnIp, Options.OwnHall),
      ReadRetryBudget(Options.ReadRetryShare, Options.ReadRetryBurst), Pool(io),
      Homes(Options.OwnIp), Lending(*this, borrowers, log, Scheduler) {}

void Proxy::applyConfiguration(TimePoint now,
                               control::Configuration configuration) {
  if (configuration.Version <= Configuration.Version)
    return;
  if (!isConfigured())
    StartedAt = now;
  Configuration = std::move(configuration);
  for (const auto &[name, service] : Configuration.Services)
    tracker(name);
  Quota.setOrganisations(Configuration.Organisations);
  Scheduler.setRates(ratesOf(Configuration));
  reviewSessions(now);
  for (const auto &[name, service] : Configuration.Services)
    dispatchQueue(now, name);
  logEarlyClients(now);
  for (auto &it : std::exchange(EarlyClients, {})) {
    clientConnected(now, it.Client, it.Database, it.Key);
    for (auto &statement : it.Statements)
      statementReceived(now, it.Client, std::move(statement));
  }
}

void Proxy::refuseUnrouted(TimePoint now, ClientSession &session) {
  Log.decision(absl::StrCat("event=route_missing client=", session.Id.Number,
                            " database=", logField(session.Database.str()),
                            " config=", Configuration.Version, " ",
                            Source.describe(now)));
  const auto reply =
      refusalOfUnknown(ReplyCode::UnknownDatabase, "the database has no route");
  refuse(now, session, reply.Code, reply.Detail);
}

StatementReply Proxy::refusalOfUnknown(ReplyCode code,
                                       std::string detail) const {
  StatementReply reply;
  reply.Code = code;
  reply.Detail = std::move(detail);
  if (!Source.mayBeOutdated(Configuration.Version))
    return reply;
  reply.Code = ReplyCode::Busy;
  reply.Detail = "this VM may lack the newest configuration";
  return reply;
}

void Proxy::applyInstance(TimePoint now,
                          const membership::InstanceRecord &record) {
  if (tracker(record.Service).update(now, record))
    dropEarlierIncarnation(now, record);
  if (record.State == InstanceState::Gone) {
    std::vector<ConnectionId> unused;
    for (const auto &[id, it] : Pool.all())
      if (it.Instance == record.Id && it.isFree())
        unused.push_back(id);
    for (const auto id : unused)
      Pool.close(id);
  }
  dispatchQueue(now, record.Service);
}

void Proxy::dropEarlierIncarnation(TimePoint now,
                                   const membership::InstanceRecord &record) {
  Log.decision(absl::StrCat(
      "event=instance_restarted instance=", record.Id.str(),
      " service=", record.Service, " born_ms=", record.StartTimeMs));
  for (const auto id : Pool.idsOf(record.Id)) {
    if (!Pool.find(id))
      continue;
    Io.closeConnection(id);
    connectionLost(now, id);
  }
  // NOTE: these lost connections don't mean that the new incarnation is silent.
  tracker(record.Service).clearSilence(record.Id);
  Pool.pauseOpeningUntil(record.Id, {});
  PausedLenders.erase(record.Id);
}

void Proxy::applyPromotion(TimePoint now, const std::string &service,
                           const Promotion &promotion) {
  tracker(service).notePromotion(promotion);
  dispatchQueue(now, service);
}

void Proxy::clientConnected(TimePoint now, ClientId client,
                            const DatabaseId &database, const KeyDigest &key) {
  if (IsShuttingDown)
    return endWithRefusal(now, client, SessionEnd::Stopping);
  if (!isConfigured()) {
    EarlyClients.push_back({client, database, key, now, {}});
    return;
  }
  const auto route = Configuration.Routes.find(database);
  const bool isRouted = route != Configuration.Routes.end();
  const auto organisation =
      isRouted ? organisationOf(route->second, key) : std::nullopt;
  if (!organisation) {
    const StatementReply reply =
        isRouted ? refusalOfUnknown(ReplyCode::Unauthorised, UnknownKey)
                 : refusalOfUnknown(
                       ReplyCode::UnknownDatabase,
                       absl::StrCat("no route for database ", database.str()));
    Log.decision(absl::StrCat("event=connect_refused client=", client.Number,
                              " database=", logField(database.str()),
                              " code=", std::string(nameOf(reply.Code)),
                              " config=", Configuration.Version, " ",
                              Source.describe(now)));
    EndedSessions[client] = SessionEnd::NotAccepted;
    Io.rejectClient(client, reply);
    return;
  }
  auto &it = Sessions[client];
  it.Id = client;
  it.Database = database;
  it.Key = key;
  it.Organisation = *organisation;
  it.LastActive = now;
  Io.acceptClient(client);
}

void Proxy::statementReceived(TimePoint now, ClientId client,
                              ClientStatement statement) {
  const auto early =
      std::find_if(EarlyClients.begin(), EarlyClients.end(),
                   [&](const auto &it) { return it.Client == client; });
  if (early != EarlyClients.end()) {
    early->Statements.push_back(std::move(statement));
    if (early->Statements.size() > Options.MaxEarlyStatements)
      endWithRefusal(now, client, SessionEnd::NoConfiguration);
    return;
  }
  auto *it = session(client);
  if (!it)
    return logUnanswered(client, statement);
  it->LastActive = now;
  it->QueuedBytes += statement.byteSize();
  it->Queue.push_back(std::move(statement));
  handleNext(now, *it);
}

ClientSession *Proxy::session(ClientId client) {
  const auto it = Sessions.find(client);
  return it == Sessions.end() ? nullptr : &it->second;
}

InstanceTracker &Proxy::tracker(const std::string &service) {
  auto &it = Trackers[service];
  if (!it)
    it = std::make_unique<InstanceTracker>(Options.OwnHall);
  Watch.addService(service);
  return *it;
}

const control::Route *Proxy::routeOf(const ClientSession &session) const {
  // NOTE: an open transaction keeps the route of its first statement. Before
  // that one nothing has begun at any instance, and the client may rest for
  // long.
  if (session.State == SessionState::InTransaction && session.HasRoute)
    return &session.Route;
  const auto it = Configuration.Routes.find(session.Database);
  return it == Configuration.Routes.end() ? nullptr : &it->second;
}

void Proxy::handleNext(TimePoint now, ClientSession &session) {
  // NOTE: an answer handles the next statement, here and not one level deeper.
  if (std::exchange(session.IsHandlingQueue, true))
    return;
  const ClientId id = session.Id;
  auto *it = &session;
  while (it && !it->Current && !it->Queue.empty()) {
    ClientStatement statement = std::move(it->Queue.front());
    it->Queue.pop_front();
    it->QueuedBytes -= statement.byteSize();
    handle(now, *it, std::move(statement));
    it = this->session(id);
  }
  if (!it)
    return;
  it->IsHandlingQueue = false;
  limitQueue(*it);
  endIfKeyWithdrawn(now, id);
  endIfMustReconnect(now, id);
}

void Proxy::limitQueue(ClientSession &session) {
  const std::size_t statements = session.Queue.size();
  const std::size_t bytes = session.QueuedBytes;
  const bool isFull = statements >= Options.MaxQueuedStatements ||
                      bytes >= Options.MaxQueuedBytes;
  const bool isHalfFree = statements <= Options.MaxQueuedStatements / 2 &&
                          bytes <= Options.MaxQueuedBytes / 2;
  if (!session.IsHeld && isFull) {
    session.IsHeld = true;
    Log.heldBack();
    Io.holdClient(session.Id);
  } else if (session.IsHeld && isHalfFree) {
    session.IsHeld = false;
    Io.releaseClient(session.Id);
  }
}

void Proxy::handle(TimePoint now, ClientSession &session,
                   ClientStatement statement) {
  const StatementKind kind = statement.Kind;
  if (kind == StatementKind::Rollback)
    return handleRollback(now, session);
  if (IsEnding)
    return refuse(now, session, ReplyCode::Busy, StoppingReason);
  if (session.IsKeyWithdrawn)
    return refuse(now, session, ReplyCode::Unauthorised, UnknownKey);
  if (session.State == SessionState::Failed) {
    if (kind == StatementKind::Commit) {
      session.State = SessionState::Idle;
      session.Mode = TransactionMode::None;
      return refuse(now, session, ReplyCode::Aborted,
                    "the transaction had failed and is rolled back");
    }
    const bool isUnreported = std::exchange(session.WasAbortedWhileIdle, false);
    return refuse(
        now, session, isUnreported ? ReplyCode::Aborted : ReplyCode::Malformed,
        isUnreported ? "the transaction was rolled back while it rested"
                     : "the transaction has failed; roll it back");
  }
  if (kind == StatementKind::Malformed)
    return refuse(now, session, ReplyCode::Malformed, "not understood");
  if (handleLocally(session, statement)) {
    Io.answerClient(session.Id, localSuccess(session.State));
    return;
  }
  startWork(now, session, std::move(statement));
}

bool Proxy::handleLocally(ClientSession &session,
                          const ClientStatement &statement) {
  switch (statement.Kind) {
  case StatementKind::Begin:
  case StatementKind::BeginRead: {
    if (session.State != SessionState::Idle || !routeOf(session))
      return false;
    session.HasRoute = false;
    session.State = SessionState::InTransaction;
    session.Mode = statement.Kind == StatementKind::Begin
                       ? TransactionMode::ReadWrite
                       : TransactionMode::ReadOnly;
    session.HasRunInTransaction = false;
    session.HasWritten = false;
    session.IsAdmitted = false;
    return true;
  }
  case StatementKind::Set:
    session.Values[statement.Name] = statement.Value;
    return true;
  case StatementKind::Prepare:
    session.Prepared[statement.Name] = {statement.Mode, statement.Value};
    return true;
  case StatementKind::Deallocate:
    return session.Prepared.erase(statement.Name) > 0;
  default:
    return false;
  }
}

void Proxy::handleRollback(TimePoint now, ClientSession &session) {
  if (session.State == SessionState::Idle)
    return refuse(now, session, ReplyCode::Malformed, "no transaction is open");
  releasePinned(now, session);
  session.State = SessionState::Idle;
  session.Mode = TransactionMode::None;
  session.WasAbortedWhileIdle = false;
  const ClientId id = session.Id;
  Io.answerClient(id, localSuccess(SessionState::Idle));
  endIfKeyWithdrawn(now, id);
  endIfMustReconnect(now, id);
}

void Proxy::startWork(TimePoint now, ClientSession &session,
                      ClientStatement statement) {
  const auto *route = routeOf(session);
  if (!route)
    return refuseUnrouted(now, session);
  const bool isOpen = session.State == SessionState::InTransaction;
  if (isOpen && session.HasRoute && isOldRoute(Configuration, session))
    Log.decision(absl::StrCat("event=old_route client=", session.Id.Number,
                              " database=", logField(session.Database.str()),
                              " service=", logField(session.Route.Service),
                              " config=", Configuration.Version, " ",
                              Source.describe(now)));
  switch (statement.Kind) {
  case StatementKind::Begin:
  case StatementKind::BeginRead:
    return refuse(now, session, ReplyCode::Malformed,
                  "a transaction is open already");
  case StatementKind::Commit:
    if (!isOpen)
      return refuse(now, session, ReplyCode::Malformed,
                    "no transaction is open");
    break;
  case StatementKind::Deallocate:
    return refuse(now, session, ReplyCode::UnknownStatement, statement.Name);
  case StatementKind::Execute:
    if (!session.Prepared.contains(statement.Name))
      return refuse(now, session, ReplyCode::UnknownStatement, statement.Name);
    statement.Mode = session.Prepared[statement.Name].Mode;
    break;
  case StatementKind::Write:
    statement.Mode = AccessMode::Write;
    break;
  default:
    break;
  }
  Watch.noteStatement(now, route->Service);
  if (StatementQueues[route->Service].size() >= Options.QueueLength)
    return refuse(now, session, ReplyCode::Busy, "the queue is full");
  PendingStatement work;
  work.Mode = statement.Mode;
  work.ArrivedAt = now;
  const bool hasTimeout = route->StatementTimeout > Duration{};
  work.Deadline =
      now + (hasTimeout ? route->StatementTimeout : DefaultStatementTimeout);
  work.Statement = std::move(statement);
  if (!isOpen)
    session.IsAdmitted = false;
  if (!isOpen || !std::exchange(session.HasRoute, true))
    session.Route = *route;
  session.Current = std::move(work);
  dispatch(now, session);
}

void Proxy::answer(TimePoint now, ClientSession &session,
                   StatementReply reply) {
  removeFromQueue(session);
  if (session.Current)
    Log.answered(reply.Code, now - session.Current->ArrivedAt);
  session.Current.reset();
  session.LastActive = now;
  reply.State = session.State;
  Io.answerClient(session.Id, reply);
  handleNext(now, session);
}

void Proxy::refuse(TimePoint now, ClientSession &session, ReplyCode code,
                   const std::string &detail) {
  if (session.State == SessionState::InTransaction) {
    releasePinned(now, session);
    // NOTE: a commit ends the transaction, also one that isn't kept.
    const bool isCommit = session.Current && session.Current->Statement.Kind ==
                                                 StatementKind::Commit;
    session.State = isCommit ? SessionState::Idle : SessionState::Failed;
    if (isCommit)
      session.Mode = TransactionMode::None;
  }
  session.MustReconnect |= IsIsolated;
  StatementReply reply;
  reply.Code = code;
  reply.Detail = detail;
  const auto id = session.Current ? session.Current->Statement.Id : "";
  Log.decision(
      absl::StrCat("event=refused request=", id.empty() ? "-" : logField(id),
                   " client=", session.Id.Number,
                   " organisation=", logField(session.Organisation.str()),
                   " database=", logField(session.Database.str()),
                   " code=", std::string(nameOf(code)), " reason=\"",
                   logText(detail), "\" config=", Configuration.Version));
  answer(now, session, std::move(reply));
}

void Proxy::abortTransactions(TimePoint now) {
  for (auto &[id, it] : Sessions) {
    if (it.State != SessionState::InTransaction || it.Current)
      continue;
    releasePinned(now, it);
    it.State = SessionState::Failed;
    it.WasAbortedWhileIdle = true;
  }
}

bool Proxy::isBusy() const { return waitingClients() > 0; }

std::size_t Proxy::waitingClients() const {
  return static_cast<std::size_t>(
      std::count_if(Sessions.begin(), Sessions.end(), [](const auto &it) {
        return it.second.Current.has_value();
      }));
}

bool Proxy::canServe() const {
  if (!isConfigured())
    return false;
  return std::any_of(Trackers.begin(), Trackers.end(),
                     [](const auto &it) { return !it.second->all().empty(); });
}

std::vector<PrimaryObservation> Proxy::primaryObservations(TimePoint now) {
  std::vector<PrimaryObservation> observations;
  for (const auto &service : Watch.watched(now)) {
    auto &instances = tracker(service);
    const auto primary = instances.primary(now);
    if (!primary)
      continue;
    const auto *instance = instances.find(*primary);
    PrimaryObservation observation{service, *primary,
                                   instance ? instance->Record.StartTimeMs : 0,
                                   Duration{}};
    if (instance && instance->SilentSince)
      observation.SilentFor = now - *instance->SilentSince;
    observations.push_back(std::move(observation));
  }
  return observations;
}

std::vector<PrimaryObservation> Proxy::unledServices(TimePoint now) {
  std::vector<PrimaryObservation> unled;
  for (const auto &service : Watch.watched(now))
    if (const auto unledFor = tracker(service).unledFor(now))
      unled.push_back({service, InstanceId(), 0, *unledFor});
  return unled;
}

} // namespace stepledge::proxy
