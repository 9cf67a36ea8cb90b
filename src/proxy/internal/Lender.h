// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Lends this VM's connections to instances to other VMs: one connection
/// for each statement or transaction, from its first command until the
/// instance's session is idle again.

#ifndef STEPLEDGE_PROXY_INTERNAL_LENDER_H
#define STEPLEDGE_PROXY_INTERNAL_LENDER_H

#include "overload/QueueLoad.h"
#include "overload/WaitPolicy.h"
#include "proxy/IBorrowerIo.h"
#include "proxy/internal/InstanceConnection.h"
#include "scheduling/QueueScheduler.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace stepledge::proxy {

/// A command and the reason it is sent for.
struct OutgoingCommand {
  InstanceCommand Command;
  Purpose Reason = Purpose::Setup;
};

/// This VM's connections to an instance that it may lend, and their limits.
struct LendingCapacity {
  /// Own connections, including those that are being opened.
  int OwnConnections = 0;
  int Opening = 0;
  /// Connections with a pending answer of the instance.
  int Busy = 0;
  /// Connections of open transactions that are idle between two statements.
  int IdleInTransaction = 0;
  /// The most own connections that this VM may have.
  int ConnectionLimit = 0;
  /// The most connections that should run a statement at once.
  int RunningLimit = 0;
  /// The time until a new connection may be opened, since the instance had no
  /// free one.
  Duration OpenPause{};
};

/// The connections that can be lent.
class ILendablePool {
public:
  virtual ~ILendablePool() = default;

  /// A free own connection for \p organisation, or for any if none is given;
  /// null at the running limit. If none is free, opens one for later use if the
  /// share allows it.
  virtual InstanceConnection *
  findLendable(TimePoint now, const std::string &service,
               const InstanceId &instance,
               const std::optional<OrganisationId> &organisation) = 0;
  /// Whether this VM has a path to the instance, as far as known.
  virtual bool reaches(const std::string &service,
                       const InstanceId &instance) = 0;
  /// Whether nothing has been received on own connections to the instance since
  /// \p sentAt, and the direct path counts as lost.
  virtual bool isSilentSince(const std::string &service,
                             const InstanceId &instance, TimePoint sentAt) = 0;
  /// Whether an own connection should be free soon: there is one, open or being
  /// opened, that no transaction idle for IdleTransactionTime holds.
  virtual bool expectsFreeConnection(TimePoint now,
                                     const InstanceId &instance) = 0;
  /// The number of own connections to the instance, including those being
  /// opened, without those whose transactions have been idle for long; at most
  /// the running limit, at least one.
  virtual int lendableConnections(TimePoint now, const std::string &service,
                                  const InstanceId &instance) = 0;
  /// For the log only; no decision depends on it.
  virtual LendingCapacity lendingCapacity(TimePoint now,
                                          const std::string &service,
                                          const InstanceId &instance) = 0;
  virtual InstanceConnection *connection(ConnectionId id) = 0;
  virtual void transmitLent(TimePoint now, InstanceConnection &connection,
                            const std::vector<OutgoingCommand> &batch) = 0;
  /// Returns an idle connection without a borrower to the pool.
  virtual void takeBack(TimePoint now, InstanceConnection &connection) = 0;
  /// The borrower has ended the borrow; its open transaction is rolled back.
  virtual void abandonLent(TimePoint now, InstanceConnection &connection) = 0;
};

struct LenderOptions {
  /// A borrow without a latency objective, or with one while the hold time is
  /// unknown, that gets no connection within this time is refused as not run,
  /// so that the borrower can ask another home in time; about the tightest
  /// latency objective.
  Duration QueueTimeout = milliseconds(150);
  /// An instance is silent if commands have no answer for this long and nothing
  /// else has been received from it since; a few answer times.
  Duration SilenceTimeout = milliseconds(250);
  /// The most borrows in the queue of one instance.
  std::size_t MaxQueueLength = 64;
};

class Lender {
public:
  Lender(ILendablePool &pool, IBorrowerIo &io, IProxyLog &log,
         scheduling::QueueScheduler &scheduler, LenderOptions options = {})
      : Pool(pool), Io(io), Log(log), Scheduler(scheduler), Options(options) {}

  /// Starts a borrow, and refuses it if it can't be served, or sends further
  /// commands of one that has a connection. Reports Lost for further commands
  /// of any other, such as one that has ended.
  void request(TimePoint now, const BorrowKey &key, BorrowRequest request);
  /// The borrower ends the borrow.
  void end(TimePoint now, const BorrowKey &key);
  /// The borrower is gone; ends all of its borrows.
  void endAll(TimePoint now, const std::string &ip);

  /// An instance answered on a lent connection.
  void answered(TimePoint now, InstanceConnection &connection, Purpose reason,
                const StatementReply &reply);
  /// A lent connection was lost.
  void connectionLost(const BorrowKey &key);
  /// Serves the instance's queue, since a connection may be free.
  void serveQueue(TimePoint now, const std::string &service,
                  const InstanceId &instance);
  /// Reports silent instances, refuses overdue borrows and serves the queues.
  void tick(TimePoint now);
  /// Refuses new borrows; existing ones continue.
  void stop() { IsStopping = true; }
  /// Ends all borrows as this VM ends: those that wait are refused as not run,
  /// and the others are reported as lost.
  void endAllBorrows(TimePoint now);
  /// The VMs with a borrow that hasn't ended.
  std::set<std::string> borrowers() const;
  bool isLending() const { return !Borrows.empty(); }
  /// The age of the oldest borrow.
  Duration oldestBorrowAge(TimePoint now) const;
  /// The borrow numbers of \p ip, for a log line.
  std::string borrowNumbersOf(const std::string &ip) const;

private:
  struct Borrow {
    std::string Service;
    InstanceId Instance;
    std::optional<OrganisationId> Organisation;
    std::optional<ConnectionId> BoundConnection;
    /// The request, until it is sent on a connection.
    std::optional<BorrowRequest> PendingRequest;
    TimePoint ArrivedAt{};
    /// The borrower was informed that the instance is silent.
    bool IsSilenceReported = false;
    TimePoint BoundAt{};
    /// Its hold time counts in the estimate of the queue's waits.
    bool IsHoldTimeCounted = false;
    /// It is expected to miss its objective, and waits behind those that
    /// aren't.
    bool IsLate = false;
    /// It is refused if it has no connection by then.
    TimePoint QueueDeadline{};
  };

  /// Whether the borrow has commands that aren't sent yet.
  bool isWaiting(const BorrowKey &key) const;
  void send(TimePoint now, Borrow &borrow, const BorrowRequest &request);
  /// The borrows in \p queue, in the order in which they are served.
  std::vector<BorrowKey> servingOrder(TimePoint now,
                                      const scheduling::QueueId &queueId,
                                      const std::deque<BorrowKey> &queue);
  void bind(TimePoint now, const BorrowKey &key,
            InstanceConnection &connection);
  /// Reports a silent instance to the borrowers that wait for its answers.
  void reportSilence(TimePoint now);
  void refuse(TimePoint now, const BorrowKey &key, LendingEnd reason);
  /// Logs the refusal with this VM's connections to the instance.
  void logRefusal(TimePoint now, const BorrowKey &key, const Borrow &borrow,
                  LendingEnd reason, Duration wait);

  static overload::Urgency urgencyOf(TimePoint now, const Borrow &borrow);
  /// The expected wait of a queued borrow; with \p isLate, as one that is late.
  Duration expectedWait(TimePoint now, const BorrowKey &key, bool isLate);
  /// Refuses a queued borrow whose expected wait is too long, or marks it as
  /// late if it would only miss its objective.
  void refuseOrMarkLate(TimePoint now, const BorrowKey &key);
  /// The borrows in \p queue that can't be served in time as it is now.
  std::vector<BorrowKey> findUnservable(TimePoint now,
                                        const InstanceId &instance,
                                        const std::deque<BorrowKey> &queue);

  ILendablePool &Pool;
  IBorrowerIo &Io;
  IProxyLog &Log;
  scheduling::QueueScheduler &Scheduler;
  LenderOptions Options;
  overload::WaitPolicy WaitLimits;
  bool IsStopping = false;
  std::map<BorrowKey, Borrow> Borrows;
  std::map<InstanceId, std::deque<BorrowKey>> Queues;
  std::map<InstanceId, overload::QueueLoad> Loads;
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_INTERNAL_LENDER_H
