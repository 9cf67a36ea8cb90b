// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Statement routing for connection sessions: which instance runs a
/// client's statement, on which connection, and which reply the client gets.

#ifndef STEPLEDGE_PROXY_PROXY_H
#define STEPLEDGE_PROXY_PROXY_H

#include "admission/RetryBudget.h"
#include "control/types/Configuration.h"
#include "membership/HomeTable.h"
#include "membership/types/InstanceRecord.h"
#include "overload/ReportedWaits.h"
#include "overload/WaitPolicy.h"
#include "proxy/IBorrowerIo.h"
#include "proxy/IProxyIo.h"
#include "proxy/internal/ClientSession.h"
#include "proxy/internal/ConnectionPool.h"
#include "proxy/internal/InstanceTracker.h"
#include "proxy/internal/Lender.h"
#include "proxy/internal/LoadShedder.h"
#include "proxy/internal/RouteStatementTimes.h"
#include "proxy/internal/ServiceWatch.h"
#include "proxy/types/ConfigurationSource.h"
#include "proxy/types/EarlyClient.h"
#include "proxy/types/PrimaryObservation.h"
#include "proxy/types/ProxyOptions.h"
#include "proxy/types/SessionEnd.h"
#include "proxy/types/WaitKey.h"
#include "quota/IOperationQuota.h"
#include "scheduling/QueueScheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace stepledge::proxy {

class Proxy : private ILendablePool {
public:
  /// \p borrowers carries the replies to borrowers; \p quota limits rates.
  Proxy(ProxyOptions options, IProxyIo &io, IProxyLog &log,
        IBorrowerIo &borrowers, quota::IOperationQuota &quota);

  void applyConfiguration(TimePoint now, control::Configuration configuration);
  void setSource(ConfigurationSource source) { Source = std::move(source); }
  void applyInstance(TimePoint now, const membership::InstanceRecord &record);
  void applyPromotion(TimePoint now, const std::string &service,
                      const Promotion &promotion);
  /// The VMs that share the instances' connections; each may forward bytes to
  /// an instance or lend connections to it.
  void setEntries(std::vector<membership::EntryVm> entries);
  /// While isolated, this VM refuses at once each statement that needs an
  /// unreachable instance, and ends the client's session after the refusal, so
  /// that the client connects to another VM. Other sessions stay open, since a
  /// statement may be in flight on them.
  void setIsolated(bool isIsolated) { IsIsolated = isIsolated; }
  /// Starts the shutdown: new clients are refused, and each session ends after
  /// its next answer.
  void beginShutdown() { IsShuttingDown = true; }
  /// Serves the VMs that borrow connections from this one.
  Lender &lender() { return Lending; }
  /// The lender of \p connection can't lend for now. It expects such a borrow
  /// to wait for \p expectedWait; 0 if it reported none.
  void lenderRefused(TimePoint now, ConnectionId connection, LendingEnd reason,
                     Duration expectedWait = {});
  /// The lender of \p connection gets no answers from the instance.
  void lenderSilent(TimePoint now, ConnectionId connection);

  void clientConnected(TimePoint now, ClientId client,
                       const DatabaseId &database, const KeyDigest &key = {});
  void statementReceived(TimePoint now, ClientId client,
                         ClientStatement statement);
  void clientDisconnected(TimePoint now, ClientId client);
  /// This VM closed the client's connection because of what the client did.
  void clientDropped(TimePoint now, ClientId client, SessionEnd reason);

  void connectionReady(TimePoint now, ConnectionId connection,
                       const StatementReply &reply);
  void connectionAnswered(TimePoint now, ConnectionId connection,
                          StatementReply reply);
  void connectionLost(TimePoint now, ConnectionId connection);

  /// Handles timeouts, retries and probes; call it every few milliseconds.
  void tick(TimePoint now);
  /// The quota changed: the organisation's statements that wait for it are sent
  /// or refused.
  void quotaChanged(TimePoint now, const OrganisationId &organisation);
  /// Discards the position proofs, which are too old to rely on after a clock
  /// jump.
  void clearProofs();

  /// Ends the sessions that are outside a transaction and have been idle for
  /// \p atLeast. Each client gets a refusal, since a statement may be in
  /// flight.
  void closeIdleSessions(TimePoint now, Duration atLeast);
  /// Ends all sessions and borrows at the end of a shutdown, and answers each
  /// statement that waits: one that wasn't sent as not run, one that was by
  /// what is known of it. No statement is sent any more.
  void endAllWork(TimePoint now);
  /// Rolls back the open transactions in which no statement is running.
  void abortTransactions(TimePoint now);
  std::size_t sessionCount() const { return Sessions.size(); }
  /// Number of organisations whose statements wait behind those of another that
  /// has used less, in any queue.
  std::size_t deferredOrganisations(TimePoint now) const {
    return Scheduler.deferredCount(now);
  }
  /// Whether any client waits for an answer.
  bool isBusy() const;
  /// Number of clients that wait for an answer.
  std::size_t waitingClients() const;
  bool isConfigured() const { return Configuration.Version > 0; }
  bool canServe() const;
  std::uint64_t configurationVersion() const { return Configuration.Version; }
  const control::Configuration &configuration() const { return Configuration; }
  /// Number of outlier instances, which get a reduced share of reads because
  /// they answer them worse than their siblings.
  int outlierInstances() const;
  /// Observations of the primaries of the services that this VM watches.
  std::vector<PrimaryObservation> primaryObservations(TimePoint now);
  /// The watched services of which instances are known, but no primary.
  std::vector<PrimaryObservation> unledServices(TimePoint now);

private:
  /// Closes all connections to an instance that has restarted: a connection
  /// belongs to the incarnation that was known when it was opened. A connection
  /// to the new incarnation that was opened before its record arrived is closed
  /// too, which costs one reconnect; a connection to the earlier incarnation is
  /// never used.
  void dropEarlierIncarnation(TimePoint now,
                              const membership::InstanceRecord &record);
  ClientSession *session(ClientId client);
  /// Ends an idle session whose client should connect to another VM.
  void endIfMustReconnect(TimePoint now, ClientId client);
  /// Answers the statement and those queued behind it, as the VM ends.
  void refuseAtEnd(TimePoint now, ClientId client);
  /// Ends the session, which waits for no answer, and closes its connection.
  void endSession(TimePoint now, ClientId client, SessionEnd reason);
  /// Ends the session, or the connection of a client that has none yet, with a
  /// refusal that gives the reason: none of the client's pending statements is
  /// run.
  void endWithRefusal(TimePoint now, ClientId client, SessionEnd reason);
  /// Removes the client's session and all other state of the client.
  void removeClient(TimePoint now, ClientId client);
  /// Logs the statement, if any, that a disconnecting client still waits for.
  void logAbandonedStatement(TimePoint now, ClientId client);
  /// Logs how many clients waited for a first configuration.
  void logEarlyClients(TimePoint now);
  /// Logs a statement that arrived after its session's end and gets no answer.
  void logUnanswered(ClientId client, const ClientStatement &statement);
  /// The organisation whose client presents \p key; none if the route requires
  /// a key and \p key isn't a valid one.
  std::optional<OrganisationId> organisationOf(const control::Route &route,
                                               const KeyDigest &key) const;
  /// The organisation to name when a connection is borrowed for the proxy's own
  /// probes; none where any organisation's connection will do.
  std::optional<OrganisationId> probeOrganisation() const;
  /// Checks the sessions' keys against a new configuration.
  void reviewSessions(TimePoint now);
  void reviewSession(TimePoint now, ClientSession &session);
  /// The client's key is no longer valid: no further statement of it is run.
  void withdrawKey(TimePoint now, ClientSession &session);
  /// For a session with a withdrawn key and no pending statement: rolls back
  /// its open transaction, and ends the session once it is outside a
  /// transaction.
  void endIfKeyWithdrawn(TimePoint now, ClientId client);
  InstanceTracker &tracker(const std::string &service);
  const control::Route *routeOf(const ClientSession &session) const;
  void refuseUnrouted(TimePoint now, ClientSession &session);
  /// The reply for what the configuration doesn't have.
  StatementReply refusalOfUnknown(ReplyCode code, std::string detail) const;
  int usableConnections(const std::string &service) const;
  /// How many connections one instance of the service allows.
  int maxConnections(const std::string &service) const;
  /// How many of them all VMs together may hold.
  int pooledConnections(const std::string &service) const;
  /// The service's instances allow too few connections for each VM to have its
  /// own, so only their homes hold connections.
  bool usesHomes(const std::string &service) const;
  /// How many connections a home may hold, so that the remainder stays free.
  int homeConnections(const std::string &service) const;
  /// How many it may hold right after a start: its part of the connections that
  /// an instance has free while it still counts those that all VMs lost.
  int startConnections(const std::string &service) const;
  /// How many more it may hold while idle transactions hold as many: a part of
  /// the connections that are kept free.
  int spareConnections(const std::string &service) const;
  bool isHomeOf(const membership::InstanceRecord &record);
  /// Whether this VM is the home that holds the organisation's connection.
  bool isHomeFor(TimePoint now, const membership::InstanceRecord &record,
                 const std::optional<OrganisationId> &organisation);
  membership::HomeShare homeShare(const std::string &service) const;
  /// The lender isn't asked for the instance for now, after a failure or
  /// because it had no free connection.
  bool isLenderPaused(TimePoint now, const InstanceId &instance,
                      const std::string &lender) const;
  /// At least one lender isn't asked for the instance for now.
  bool hasPausedLender(TimePoint now, const InstanceId &instance) const;
  /// This VM has started recently. If all VMs lost power together, the
  /// instances count the lost connections for some seconds more.
  bool isRecentlyStarted(TimePoint now) const;
  ConnectionShare shareOf(TimePoint now,
                          const membership::InstanceRecord &record);
  /// Only borrowed connections are left, and an own one may be opened again.
  bool shouldRestoreOwn(TimePoint now,
                        const membership::InstanceRecord &record) const;
  /// Ends the borrow that \p connection serves, and closes the connection.
  void endBorrow(InstanceConnection &connection);
  InstanceConnection *
  findLendable(TimePoint now, const std::string &service,
               const InstanceId &instance,
               const std::optional<OrganisationId> &organisation) override;
  bool reaches(const std::string &service, const InstanceId &instance) override;
  bool isSilentSince(const std::string &service, const InstanceId &instance,
                     TimePoint sentAt) override;
  bool expectsFreeConnection(TimePoint now,
                             const InstanceId &instance) override;
  int lendableConnections(TimePoint now, const std::string &service,
                          const InstanceId &instance) override;
  LendingCapacity lendingCapacity(TimePoint now, const std::string &service,
                                  const InstanceId &instance) override;
  InstanceConnection *connection(ConnectionId id) override {
    return Pool.find(id);
  }
  void transmitLent(TimePoint now, InstanceConnection &connection,
                    const std::vector<OutgoingCommand> &batch) override {
    transmit(now, connection, batch);
  }
  void takeBack(TimePoint now, InstanceConnection &connection) override {
    freeConnection(now, connection);
  }
  void abandonLent(TimePoint now, InstanceConnection &connection) override;

  /// Handles queued statements until one waits for an instance.
  void handleNext(TimePoint now, ClientSession &session);
  /// Holds the client back or releases it, by what it has queued.
  void limitQueue(ClientSession &session);
  void handle(TimePoint now, ClientSession &session, ClientStatement statement);
  bool handleLocally(ClientSession &session, const ClientStatement &statement);
  void handleRollback(TimePoint now, ClientSession &session);
  void startWork(TimePoint now, ClientSession &session,
                 ClientStatement statement);

  void dispatch(TimePoint now, ClientSession &session);
  /// Whether the quota admits the session's operation; if not, it waits or is
  /// refused.
  bool isAdmitted(TimePoint now, ClientSession &session);
  /// Decides whether only the primary may run the statement, and whether it
  /// needs a transaction that proves that the instance leads.
  static void chooseTargets(ClientSession &session);
  /// Replicas could run the read if a position were known, and a request for
  /// one is in flight: after a start the reads of all VMs would otherwise go to
  /// the primary at once.
  bool awaitsProof(TimePoint now, const ClientSession &session);
  bool dispatchToPrimary(TimePoint now, ClientSession &session);
  bool dispatchRead(TimePoint now, ClientSession &session);
  /// A number from 0 to 1 that differs by statement and VM, so that VMs with
  /// the same state at the same moment don't all choose the same instance.
  double chanceOf(const ClientSession &session) const;
  bool isInOwnHall(InstanceTracker &instances,
                   const InstanceId &instance) const;
  /// Replicas could run the statement as well if they were not behind, so it is
  /// among the first that a congested primary sheds.
  static bool mayBeShed(const ClientSession &session);
  /// The primary is congested and sheds the statement, which replicas could run
  /// as well if they were not behind.
  bool shedsFromPrimary(TimePoint now, const ClientSession &session);
  std::optional<Mark> minimumPosition(TimePoint now,
                                      const ClientSession &session);
  /// A free connection to the instance, or null; where there is none, one may
  /// be opened for later use.
  InstanceConnection *acquire(TimePoint now, const ClientSession &session,
                              const InstanceId &instance);
  /// This VM has as many statements at the instance as it should have at once.
  bool isAtLimit(TimePoint now, const TrackedInstance &instance,
                 const OrganisationId &organisation);
  /// Opens one more connection if the wait for one in use may be long.
  void openIfWaitIsLong(TimePoint now, const ClientSession &session,
                        const membership::InstanceRecord &record);
  /// Opens one more connection to the instance, or borrows one where this VM
  /// can't have its own; with \p mayBorrowBeyond also where all that it may
  /// have are in use. Lenders at which the statement of \p session, if any,
  /// would wait too long aren't asked.
  bool openOrBorrow(TimePoint now, const membership::InstanceRecord &record,
                    const std::optional<OrganisationId> &organisation,
                    bool mayBorrowBeyond = false,
                    const ClientSession *session = nullptr);
  /// The VMs that may be asked for a connection to the instance, best first.
  std::vector<std::string>
  lendersOf(TimePoint now, const membership::InstanceRecord &record,
            const std::optional<OrganisationId> &organisation);
  /// Whether this VM has an own connection to the instance that may serve the
  /// organisation; without one given, any connection may.
  bool hasOwnFor(const InstanceId &instance,
                 const std::optional<OrganisationId> &organisation) const;
  /// The VM to borrow a connection to the instance from.
  std::optional<std::string>
  lenderFor(TimePoint now, const membership::InstanceRecord &record,
            const std::optional<OrganisationId> &organisation,
            const ClientSession *session);
  /// The lender has capacity: according to its reports, a borrow for the
  /// session's statement would not wait too long there.
  bool hasCapacity(TimePoint now, const ClientSession &session,
                   const InstanceId &instance, const std::string &lender);
  /// Enough of \p lenders have reported waits that are too long, and none has
  /// served a borrow since, to assume that the others have no capacity either.
  bool lackCapacity(TimePoint now, const ClientSession &session,
                    const InstanceId &instance,
                    const std::vector<std::string> &lenders);
  /// Records that the lender refused the session's statement for such a wait.
  void noteReportedWait(TimePoint now, ClientSession &session,
                        const InstanceId &instance, const std::string &lender,
                        Duration expectedWait);
  /// The facts that limit how long the session's statement may wait.
  overload::WaitFacts factsOf(TimePoint now, const ClientSession &session);
  /// No primary of the service is known, or the known one is silent, denies
  /// that it leads, or is leaving.
  bool awaitsSuccessor(TimePoint now, const std::string &service);
  /// The instances that could run the session's statement.
  std::vector<InstanceId> targetsOf(TimePoint now,
                                    const ClientSession &session);
  /// The shortest wait reported by the VMs that could lend a connection for the
  /// session's statement, if the reported waits of all are too long.
  std::optional<Duration> reportedWaitTooLong(TimePoint now,
                                              const ClientSession &session);
  /// The same for one instance; also none if this VM need not borrow.
  std::optional<Duration>
  reportedWaitTooLongAt(TimePoint now, const ClientSession &session,
                        const TrackedInstance &instance);
  /// Refuses the session's statement, since a lender is expected to have a free
  /// connection only after \p wait.
  void refuseEarly(TimePoint now, ClientSession &session, Duration wait);
  void noteDirectPathLost(TimePoint now, TrackedInstance &instance);
  void sendBegin(TimePoint now, ClientSession &session,
                 InstanceConnection &connection,
                 const std::optional<Mark> &minimum);
  void sendStatement(TimePoint now, ClientSession &session,
                     InstanceConnection &connection,
                     const std::optional<Mark> &minimum);
  void transmit(TimePoint now, InstanceConnection &connection,
                const std::vector<OutgoingCommand> &batch,
                const BorrowNeeds &needs = {});
  void rollBack(TimePoint now, InstanceConnection &connection);
  /// Handles an answer that is the one to \p sent.
  void acceptAnswer(TimePoint now, InstanceConnection &answered,
                    const SentCommand &sent, StatementReply reply);
  /// Closes a connection; what was sent on it may have run.
  void distrust(TimePoint now, const InstanceConnection &connection,
                AnswerFault fault);
  /// Removes a connection whose socket is closed, and ends what it carried.
  void removeLost(TimePoint now, const InstanceConnection &lost);
  /// Sends checks behind an error that may be a second answer; true if it must
  /// not count before they are answered.
  bool holdError(TimePoint now, InstanceConnection &connection,
                 const SentCommand &sent, const StatementReply &reply);
  /// The checks behind the held answers have come as due.
  void acceptHeld(TimePoint now, InstanceConnection &connection);
  bool mustHold(const InstanceConnection &connection, const SentCommand &sent,
                const StatementReply &reply);
  /// A position may count only once the next answer is as due.
  void noteProofs(InstanceConnection &connection, const SentCommand &sent,
                  const StatementReply &reply);
  void statementAnswered(TimePoint now, ClientSession &session,
                         InstanceConnection &connection, StatementReply reply);
  void beginAnswered(TimePoint now, ClientSession &session,
                     InstanceConnection &connection,
                     const StatementReply &reply);
  /// Updates the usual time of the route's statements, and the estimate of how
  /// congested the instance is.
  void noteStatementTime(TimePoint now, const ClientSession &session,
                         const InstanceId &instance, Duration took);
  /// A read outside of a transaction that replicas may run.
  static bool isSharedRead(const ClientSession &session);
  /// Counts a read that the instance failed, refused or did not answer.
  void noteReadFailure(TimePoint now, const ClientSession &session,
                       const InstanceId &instance);
  /// Logs which instances have become outliers, and which no longer are.
  void reviewOutliers(TimePoint now);
  void singleStatementAnswered(TimePoint now, ClientSession &session,
                               const InstanceId &instance,
                               StatementReply reply);
  void transactionStatementAnswered(TimePoint now, ClientSession &session,
                                    const InstanceId &instance,
                                    StatementReply reply);
  void addToQueue(ClientSession &session, TimePoint notBefore);
  void removeFromQueue(ClientSession &session);
  void retryStatement(TimePoint now, ClientSession &session, ReplyCode code,
                      const InstanceId &instance);
  void noteCommit(ClientSession &session, const InstanceId &instance,
                  const StatementReply &reply, TimePoint sentAt);
  /// How long a statement that isn't sent yet may wait.
  Duration queueLimit(TimePoint now, const ClientSession &session);
  void expireWork(TimePoint now, ClientSession &session);
  /// Gives up a statement that was sent, and tells the client why, and what is
  /// known of its outcome: "the statement \p cause".
  void giveUpSent(TimePoint now, ClientSession &session,
                  const std::string &cause);
  void giveUpCommit(TimePoint now, ClientSession &session,
                    const std::string &cause);
  /// Aborts an open transaction whose connection no longer answers.
  void abortSilentTransaction(TimePoint now, const ClientSession &session,
                              InstanceConnection &connection,
                              const TrackedInstance &instance);
  /// Whether another connection may return the answer sooner, and running the
  /// statement twice does no harm.
  static bool isMovable(const ClientSession &session,
                        const InstanceConnection &connection,
                        const TrackedInstance &instance);
  /// A sibling should answer the read sooner than the slow instance that it was
  /// sent to.
  bool isWorthMoving(TimePoint now, const ClientSession &session);
  void moveSlowStatement(TimePoint now, ClientSession &session);
  void handleLostStatement(TimePoint now, ClientSession &session,
                           const InstanceId &instance);

  void answer(TimePoint now, ClientSession &session, StatementReply reply);
  void refuse(TimePoint now, ClientSession &session, ReplyCode code,
              const std::string &detail);
  void releasePinned(TimePoint now, ClientSession &session);
  void abandonStatement(TimePoint now, ClientSession &session);
  void freeConnection(TimePoint now, InstanceConnection &connection);
  static scheduling::WaitRank rankOf(const ClientSession &session);
  std::vector<ClientId> servingOrder(TimePoint now, const std::string &service);
  /// Charges the time of an answer on \p connection, or of opening it, to its
  /// organisation's share of the queues.
  void noteSlotTime(TimePoint now, const InstanceConnection &connection,
                    Duration took);
  void dispatchQueue(TimePoint now, const std::string &service);
  void probePrimaries(TimePoint now);
  /// Asks the primary for its position when no recent statement has proved it.
  void probePrimary(TimePoint now, const std::string &service,
                    std::optional<TimePoint> newestProofAt,
                    const TrackedInstance &instance);
  /// Tries to open own connections again where only borrowed ones are left.
  void restoreOwnConnections(TimePoint now);
  /// Asks the service's instances that \p isAsked names whether they lead.
  void askWhoLeads(TimePoint now, InstanceTracker &instances,
                   const std::function<bool(const InstanceId &)> &isAsked);
  /// The connection is free, and this VM has enough others or may not keep it.
  bool isSurplus(TimePoint now, const InstanceConnection &connection);
  /// The connection was not accepted in time, or has not answered an abandoned
  /// command for too long.
  bool isUnresponsive(TimePoint now, const InstanceConnection &connection);
  /// Records that the instance is silent, if \p connection shows it.
  void noteSilenceOn(TimePoint now, const InstanceConnection &connection);
  void sweepConnections(TimePoint now);
  void sendProbe(TimePoint now, InstanceConnection &connection);
  void probeDirectPath(TimePoint now, TrackedInstance &instance);
  void sweepSessions(TimePoint now);
  void endIdleTransaction(TimePoint now, ClientSession &session);
  void dropEarlyClients(TimePoint now);

  ProxyOptions Options;
  IProxyIo &Io;
  IProxyLog &Log;
  quota::IOperationQuota &Quota;
  control::Configuration Configuration;
  ConfigurationSource Source;
  std::map<std::string, std::unique_ptr<InstanceTracker>> Trackers;
  std::map<std::string, TimePoint> ProbedAt;
  ServiceWatch Watch;
  std::map<ClientId, ClientSession> Sessions;
  /// Clients that this VM refused, or whose session it has ended, and that have
  /// not closed their side yet: their statements get no answer.
  std::map<ClientId, SessionEnd> EndedSessions;
  std::vector<EarlyClient> EarlyClients;
  scheduling::QueueScheduler Scheduler;
  overload::WaitPolicy WaitLimits;
  RouteStatementTimes StatementTimes;
  /// The budget of reads that are sent again because their instance is slow.
  admission::RetryBudget ReadRetryBudget;
  LoadShedder Shedder;
  /// By service, the statements that need a connection.
  std::map<std::string, std::set<WaitKey>> StatementQueues;
  ConnectionPool Pool;
  /// When the first configuration arrived.
  TimePoint StartedAt{};
  bool IsIsolated = false;
  bool IsShuttingDown = false;
  /// The shutdown's time is up: no statement is sent any more.
  bool IsEnding = false;
  membership::HomeTable Homes;
  Lender Lending;
  /// By instance, the lenders that failed or had no free connection, and until
  /// when they are not asked again.
  std::map<InstanceId, std::map<std::string, TimePoint>> PausedLenders;
  overload::ReportedWaits ReportedWaits;
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_PROXY_H
