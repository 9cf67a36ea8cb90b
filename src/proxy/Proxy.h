// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The decisions for connection sessions: which instance runs a client's
/// statement, on which connection, and what the client is told.

#ifndef STEPLEDGE_PROXY_PROXY_H
#define STEPLEDGE_PROXY_PROXY_H

#include "admission/RetryBudget.h"
#include "control/types/Configuration.h"
#include "membership/HomeTable.h"
#include "membership/types/InstanceRecord.h"
#include "overload/ToldWaits.h"
#include "overload/WaitPolicy.h"
#include "proxy/IBorrowerIo.h"
#include "proxy/IProxyIo.h"
#include "proxy/internal/ClientSession.h"
#include "proxy/internal/ConnectionPool.h"
#include "proxy/internal/InstanceTracker.h"
#include "proxy/internal/Lender.h"
#include "proxy/internal/LoadShedder.h"
#include "proxy/internal/RouteWork.h"
#include "proxy/internal/ServiceWatch.h"
#include "proxy/types/ProxyOptions.h"
#include "proxy/types/SessionEnd.h"
#include "quota/IOperationQuota.h"
#include "scheduling/ServingLine.h"

#include <map>
#include <memory>
#include <vector>

namespace stepledge::proxy {

/// How one VM sees the primary of a service.
struct PrimarySight {
  std::string Service;
  InstanceId Primary;
  /// The life that is meant; as in membership::InstanceRecord.
  std::uint64_t BornMs = 0;
  /// How long questions to it have stayed without an answer; 0 if none has.
  Duration SilentFor{};
};

/// The order in which waiting statements get a free connection.
struct WaitKey {
  int Priority = 0;
  TimePoint ArrivedAt{};
  ClientId Client;
  auto operator<=>(const WaitKey &) const = default;
};

class Proxy : private ILendablePool {
public:
  /// Other VMs that borrow connections are answered by \p borrowers; how often
  /// organisations may ask is \p quota's.
  Proxy(ProxyOptions options, IProxyIo &io, IProxyLog &log,
        IBorrowerIo &borrowers, quota::IOperationQuota &quota);

  void applyConfiguration(TimePoint now, control::Configuration configuration);
  void applyInstance(TimePoint now, const membership::InstanceRecord &record);
  void applyPromotion(TimePoint now, const std::string &service,
                      const Promotion &promotion);
  /// The VMs that share the instances' connections; each may pass bytes on to
  /// an instance, or lend.
  void setEntries(std::vector<membership::EntryVm> entries);
  /// Cut off from the others, it refuses at once what needs an instance that
  /// it can't reach, and ends the client's session behind the refusal, so that
  /// the client turns to another VM. All other sessions stay: a statement may
  /// be on its way.
  void setIsolated(bool isIsolated) { IsIsolated = isIsolated; }
  /// The VM stops: clients that come are refused, and each session ends behind
  /// its next answer.
  void beginToClose() { IsClosing = true; }
  /// No control VM with a majority behind it is heard.
  void setControlLost(bool isLost) { IsControlLost = isLost; }
  /// Another VM that borrows connections of this one, or no longer does.
  Lender &lender() { return Lending; }
  /// The VM that \p connection is borrowed from can't lend for now; it expects
  /// such a use to wait for \p expectedWait, 0 if it doesn't say.
  void lenderRefused(TimePoint now, ConnectionId connection, LendingEnd reason,
                     Duration expectedWait = {});

  /// The VM that \p connection is borrowed from hears nothing of the instance.
  void lenderSilent(TimePoint now, ConnectionId connection);

  void clientConnected(TimePoint now, ClientId client,
                       const DatabaseId &database, const KeyDigest &key = {});
  void clientAsked(TimePoint now, ClientId client, ClientStatement statement);
  void clientLeft(TimePoint now, ClientId client);
  /// The client's connection was closed for what the client did.
  void clientDropped(TimePoint now, ClientId client, SessionEnd reason);

  void connectionReady(TimePoint now, ConnectionId connection,
                       const StatementReply &reply);
  void connectionAnswered(TimePoint now, ConnectionId connection,
                          StatementReply reply);
  void connectionLost(TimePoint now, ConnectionId connection);

  /// Timeouts, retries and probes; call it every few milliseconds.
  void tick(TimePoint now);
  /// What waits for the organisation's quota may go on, or is beyond it.
  void quotaChanged(TimePoint now, const OrganisationId &organisation);
  /// After the clock jumped, what was known is too old to rely on.
  void forgetProofs();

  /// Ends the sessions that rest outside a transaction and have asked nothing
  /// for \p atLeast. Each is told so: a statement on its way meets a refusal.
  void closeIdleSessions(TimePoint now, Duration atLeast);
  /// Rolls back the open transactions that no statement is running in.
  void abortTransactions(TimePoint now);
  std::size_t sessionCount() const { return Sessions.size(); }
  /// Organisations whose statements wait behind those of others that have had
  /// less of an instance.
  std::size_t heldBackOrganisations(TimePoint now) const {
    return Line.heldBack(now);
  }
  /// A client waits for an answer.
  bool isBusy() const;
  /// How many clients do.
  std::size_t waitingClients() const;
  bool isConfigured() const { return Configuration.Version > 0; }
  bool canServe() const;
  std::uint64_t configurationVersion() const { return Configuration.Version; }
  const control::Configuration &configuration() const { return Configuration; }
  /// The instances that get fewer reads, since they answer them worse than
  /// their siblings.
  int heldBackInstances() const;
  /// Of the services that this VM watches.
  std::vector<PrimarySight> primarySights(TimePoint now);

private:
  /// Closes all connections to an instance that has started again: a connection
  /// belongs to the life that was known when it was opened. One that was opened
  /// to the new life before the word of it came is closed too, which costs a
  /// new connection; one of the earlier life is never used.
  void dropEarlierLife(TimePoint now, const membership::InstanceRecord &record);
  ClientSession *session(ClientId client);
  /// Ends a session at rest whose client should turn to another VM.
  void endIfSentAway(TimePoint now, ClientId client);
  /// Ends the session, which waits for no answer, and its connection.
  void endSession(TimePoint now, ClientId client, SessionEnd reason);
  /// The same, also for a client that has no session yet, and tells it why:
  /// nothing that it has sent is run.
  void endWithRefusal(TimePoint now, ClientId client, SessionEnd reason);
  /// The client has no session any more.
  void forgetClient(TimePoint now, ClientId client);
  /// The client leaves: a statement of it that isn't answered yet is told.
  void noteGivenUp(TimePoint now, ClientId client);
  /// The first configuration is there: tells who has waited for it.
  void noteEarlyClients(TimePoint now);
  /// The statement came after its session's end: nobody answers it.
  void noteUnanswered(ClientId client, const ClientStatement &statement);
  /// Whose client it is that shows \p key; none if the route asks for a key
  /// and this isn't one.
  std::optional<OrganisationId> organisationOf(const control::Route &route,
                                               const KeyDigest &key) const;
  /// Whose connections the proxy's own questions need at a lender: anybody's.
  std::optional<OrganisationId> ofQuestions() const;
  /// Judges the sessions by the keys of a new configuration.
  void reviewSessions(TimePoint now);
  void reviewSession(TimePoint now, ClientSession &session);
  /// The client's key is no longer valid: nothing more of it is run.
  void withdraw(TimePoint now, ClientSession &session);
  /// Rolls back the open transaction of a withdrawn session that rests, and
  /// ends the session once it is outside of one.
  void endIfWithdrawn(TimePoint now, ClientId client);
  InstanceTracker &tracker(const std::string &service);
  const control::Route *routeOf(const ClientSession &session) const;
  int usableConnections(const std::string &service) const;
  /// How many connections one instance of the service allows.
  int maxConnections(const std::string &service) const;
  /// How many of them all VMs together may keep.
  int pooledConnections(const std::string &service) const;
  /// The service's instances have too few connections for all VMs.
  bool usesHomes(const std::string &service) const;
  /// How many connections a home may hold, so that the rest stays free.
  int homeConnections(const std::string &service) const;
  /// How many it may hold right after a start: its part of the room that an
  /// instance has left while it still counts the connections that all VMs have
  /// lost.
  int startConnections(const std::string &service) const;
  /// How many more it may hold while transactions at rest hold as many: a part
  /// of the room that is kept free.
  int spareConnections(const std::string &service) const;
  bool isHomeOf(const membership::InstanceRecord &record);
  /// Whether this VM is the one that holds the organisation's connection.
  bool isHomeFor(TimePoint now, const membership::InstanceRecord &record,
                 const std::optional<OrganisationId> &organisation);
  membership::HomeShare homeShare(const std::string &service) const;
  /// The lender isn't asked for the instance for now.
  bool isBadLender(TimePoint now, const InstanceId &instance,
                   const std::string &lender) const;
  /// Some lender isn't asked for the instance for now.
  bool hasBadLender(TimePoint now, const InstanceId &instance) const;
  /// This VM has started a moment ago. If all VMs have lost their power
  /// together, the instances count the lost connections for some seconds more.
  bool isCautious(TimePoint now) const;
  ConnectionShare shareOf(TimePoint now,
                          const membership::InstanceRecord &record);
  /// Only borrowed connections are left, and an own one may be had again.
  bool mustReturnToOwn(TimePoint now,
                       const membership::InstanceRecord &record) const;
  /// Gives up a use of a borrowed connection.
  void endBorrowed(InstanceConnection &connection);
  InstanceConnection *
  findLendable(TimePoint now, const std::string &service,
               const InstanceId &instance,
               const std::optional<OrganisationId> &organisation) override;
  bool reaches(const std::string &service, const InstanceId &instance) override;
  bool isSilentSince(const std::string &service, const InstanceId &instance,
                     TimePoint sentAt) override;
  bool expectsFree(TimePoint now, const InstanceId &instance) override;
  int usableAt(TimePoint now, const std::string &service,
               const InstanceId &instance) override;
  LendingRoom roomAt(TimePoint now, const std::string &service,
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

  void handleNext(TimePoint now, ClientSession &session);
  void handle(TimePoint now, ClientSession &session, ClientStatement statement);
  bool handleLocally(ClientSession &session, const ClientStatement &statement);
  void handleRollback(TimePoint now, ClientSession &session);
  void startWork(TimePoint now, ClientSession &session,
                 ClientStatement statement);

  void dispatch(TimePoint now, ClientSession &session);
  /// Whether the quota lets the session's operation be sent; if not, it waits
  /// or is refused.
  bool isAdmitted(TimePoint now, ClientSession &session);
  /// Whether only the primary may run the statement, and by which proof.
  static void chooseTargets(ClientSession &session);
  /// A read that replicas could run if a position were known, and one is on its
  /// way: after a start the reads of all VMs would otherwise meet at the
  /// primary.
  bool awaitsProof(TimePoint now, const ClientSession &session);
  bool dispatchToPrimary(TimePoint now, ClientSession &session);
  bool dispatchRead(TimePoint now, ClientSession &session);
  /// A number from 0 to 1 that differs by statement and VM, so that VMs that
  /// see the same at the same moment don't all turn to the same instance.
  double chanceOf(const ClientSession &session) const;
  bool isInOwnHall(InstanceTracker &instances,
                   const InstanceId &instance) const;
  /// Replicas could run the statement as well if they were not behind, and it
  /// is the first that a congested primary can do without.
  static bool mayBeShed(const ClientSession &session);
  /// The primary is congested, and the statement, which replicas could run as
  /// well if they were not behind, leaves it to others.
  bool keepsOffPrimary(TimePoint now, const ClientSession &session);
  std::optional<Mark> minimumPosition(TimePoint now,
                                      const ClientSession &session);
  /// A free connection to the instance; where there is none, one may be opened
  /// for later.
  InstanceConnection *acquire(TimePoint now, const ClientSession &session,
                              const InstanceId &instance);
  /// As many statements of this VM as it should have at once are there.
  bool isAtLimit(TimePoint now, const TrackedInstance &instance,
                 const OrganisationId &organisation);
  /// Opens one more connection if the wait for one that is in use may be long.
  void openIfWorthIt(TimePoint now, const ClientSession &session,
                     const membership::InstanceRecord &record);
  /// Opens one more connection to the instance, or borrows one where this VM
  /// can't have its own; with \p mayBorrowBeyond also where all that it may
  /// have are in use. Of lenders only those will do where the statement of
  /// \p session, if any, would wait no longer than is of use to it.
  bool openTo(TimePoint now, const membership::InstanceRecord &record,
              const std::optional<OrganisationId> &organisation,
              bool mayBorrowBeyond = false,
              const ClientSession *session = nullptr);
  /// The VMs that may be asked for a connection to the instance, best first.
  std::vector<std::string>
  lendersOf(TimePoint now, const membership::InstanceRecord &record,
            const std::optional<OrganisationId> &organisation);
  /// The VM to borrow a connection to the instance from.
  std::optional<std::string>
  lenderFor(TimePoint now, const membership::InstanceRecord &record,
            const std::optional<OrganisationId> &organisation,
            const ClientSession *session);
  /// A use for the session's statement would wait there no longer than is of
  /// use to it, as far as the lender has told.
  bool hasRoom(TimePoint now, const ClientSession &session,
               const InstanceId &instance, const std::string &lender);
  /// So many of \p lenders have told longer waits, and none has served a use
  /// since, that the others are taken to have no room either.
  bool lacksRoom(TimePoint now, const ClientSession &session,
                 const InstanceId &instance,
                 const std::vector<std::string> &lenders);
  /// The lender has refused the session's statement for such a wait.
  void noteTold(TimePoint now, ClientSession &session,
                const InstanceId &instance, const std::string &lender,
                Duration expectedWait);
  /// What is known of the session's statement.
  overload::WaitFacts factsOf(TimePoint now, const ClientSession &session);
  /// No primary of the service is known, or the known one is silent, denies its
  /// lead or leaves.
  bool awaitsSuccessor(TimePoint now, const std::string &service);
  /// The instances that could run the session's statement.
  std::vector<InstanceId> targetsOf(TimePoint now,
                                    const ClientSession &session);
  /// If all VMs that could lend a connection for the session's statement have
  /// told a wait beyond what is of use to it, the least of these.
  std::optional<Duration> toldTooLong(TimePoint now,
                                      const ClientSession &session);
  /// The same for one instance; nothing as well if there is another way.
  std::optional<Duration> toldTooLongAt(TimePoint now,
                                        const ClientSession &session,
                                        const TrackedInstance &instance);
  /// There will be room for the session's statement after \p wait.
  void refuseEarly(TimePoint now, ClientSession &session, Duration wait);
  void noteDirectBad(TimePoint now, TrackedInstance &instance);
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

  void statementAnswered(TimePoint now, ClientSession &session,
                         InstanceConnection &connection, StatementReply reply);
  void beginAnswered(TimePoint now, ClientSession &session,
                     InstanceConnection &connection,
                     const StatementReply &reply, TimePoint sentAt);
  /// Learns what the route's statements take, and how busy the instance is.
  void noteWork(TimePoint now, const ClientSession &session,
                const InstanceId &instance, Duration took);
  /// A read outside of a transaction that replicas may run.
  static bool isSharedRead(const ClientSession &session);
  /// The instance failed or refused the read, or gave no answer to it.
  void noteReadFailure(TimePoint now, const ClientSession &session,
                       const InstanceId &instance);
  /// Tells which instances are held back from now on, or have returned.
  void reviewOutliers(TimePoint now);
  void singleAnswered(TimePoint now, ClientSession &session,
                      const InstanceId &instance, StatementReply reply);
  void transactionAnswered(TimePoint now, ClientSession &session,
                           const InstanceId &instance, StatementReply reply);
  void wait(ClientSession &session, TimePoint notBefore);
  void stopWaiting(ClientSession &session);
  void notRun(TimePoint now, ClientSession &session, ReplyCode code,
              const InstanceId &instance);
  void noteSuccess(ClientSession &session, const InstanceId &instance,
                   const StatementReply &reply, TimePoint sentAt);
  /// How long a statement that isn't sent yet may wait.
  Duration queueLimit(TimePoint now, const ClientSession &session);
  void expireWork(TimePoint now, ClientSession &session);
  void expireSent(TimePoint now, ClientSession &session);
  void expireCommit(TimePoint now, ClientSession &session);
  /// Ends an open transaction whose connection has gone silent.
  void abortSilentTransaction(TimePoint now, const ClientSession &session,
                              InstanceConnection &connection,
                              const TrackedInstance &instance);
  /// Whether another connection may have the answer sooner, and running the
  /// statement twice does no harm.
  static bool isMovable(const ClientSession &session,
                        const InstanceConnection &connection,
                        const TrackedInstance &instance);
  /// A sibling should answer the read sooner than the slow instance that has
  /// it now.
  bool isWorthMoving(TimePoint now, const ClientSession &session);
  void moveSlowStatement(TimePoint now, ClientSession &session);
  void lostWork(TimePoint now, ClientSession &session,
                const InstanceId &instance);

  void answer(TimePoint now, ClientSession &session, StatementReply reply);
  void refuse(TimePoint now, ClientSession &session, ReplyCode code,
              const std::string &detail);
  void releasePinned(TimePoint now, ClientSession &session);
  void abandonStatement(TimePoint now, ClientSession &session);
  void freeConnection(TimePoint now, InstanceConnection &connection);
  static scheduling::WaitRank rankOf(const ClientSession &session);
  std::vector<ClientId> waitingInOrder(TimePoint now,
                                       const std::string &service);
  /// What an answer or an opening on \p connection counts for at the lines.
  void noteSlotTime(TimePoint now, const InstanceConnection &connection,
                    Duration took);
  void dispatchWaiting(TimePoint now, const std::string &service);
  void probePrimaries(TimePoint now);
  /// Asks the primary for its position when no newer proof has come by itself.
  void probePrimary(TimePoint now, const std::string &service,
                    std::optional<TimePoint> newestProofAt,
                    const TrackedInstance &instance);
  /// Tries own connections again where only borrowed ones are left.
  void restoreOwnConnections(TimePoint now);
  /// Asks every instance of the service whether it leads.
  void searchPrimary(TimePoint now, const std::string &service,
                     InstanceTracker &instances);
  /// Nobody uses it, and this VM has enough others or may not keep it.
  bool isUnneeded(TimePoint now, const InstanceConnection &connection);
  /// It was never accepted in time, or owes for too long what nobody waits for.
  bool isDead(TimePoint now, const InstanceConnection &connection);
  /// Notes that the instance is silent, if the connection shows it.
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
  std::map<std::string, std::unique_ptr<InstanceTracker>> Trackers;
  std::map<std::string, TimePoint> ProbedAt;
  ServiceWatch Watch;
  std::map<ClientId, ClientSession> Sessions;
  /// Clients whose session this VM has ended, or that it refused one, and that
  /// have not yet closed their side: what they ask now gets no answer.
  std::map<ClientId, SessionEnd> Ended;
  /// Came before the first configuration, and wait for it.
  struct EarlyClient {
    ClientId Client;
    DatabaseId Database;
    KeyDigest Key;
    TimePoint ConnectedAt{};
    /// What it has asked meanwhile.
    std::vector<ClientStatement> Asked;
  };
  std::vector<EarlyClient> Unconfigured;
  scheduling::ServingLine Line;
  overload::WaitPolicy Patience;
  RouteWork UsualWork;
  /// Of reads that are sent twice since the instance that has them is slow.
  admission::RetryBudget SecondTries;
  LoadShedder Shedder;
  /// By service, the statements that need a connection.
  std::map<std::string, std::set<WaitKey>> Waiting;
  ConnectionPool Pool;
  /// When the first configuration came.
  TimePoint StartedAt{};
  bool IsIsolated = false;
  bool IsControlLost = false;
  bool IsClosing = false;
  membership::HomeTable Homes;
  Lender Lending;
  /// By instance, the lenders that failed to reach it, and until when they are
  /// not asked again.
  std::map<InstanceId, std::map<std::string, TimePoint>> BadLenders;
  overload::ToldWaits Told;
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_PROXY_H
