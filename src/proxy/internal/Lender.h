// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Lends this VM's connections to instances to other VMs: one connection
/// for each statement or transaction, from its first command until the
/// instance's session is idle again.

#ifndef STEPLEDGE_PROXY_INTERNAL_LENDER_H
#define STEPLEDGE_PROXY_INTERNAL_LENDER_H

#include "overload/LineLoad.h"
#include "overload/WaitPolicy.h"
#include "proxy/IBorrowerIo.h"
#include "proxy/internal/InstanceConnection.h"
#include "scheduling/ServingLine.h"

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

/// What a VM has at an instance to lend, as it is now.
struct LendingRoom {
  /// Connections of this VM's own, those that are being opened among them.
  int Own = 0;
  int Opening = 0;
  /// The instance owes an answer on them.
  int Working = 0;
  /// Held by open transactions, between two statements.
  int Resting = 0;
  /// How many of its own this VM may have.
  int Share = 0;
  /// How many should be at work at once.
  int Running = 0;
  /// No new one is opened before, since the instance had no room.
  Duration PauseLeft{};
};

/// The connections that can be lent.
class ILendablePool {
public:
  virtual ~ILendablePool() = default;

  /// A free connection of this VM's own for \p organisation, or any without
  /// one; opens one for later where there is none and the share allows it.
  virtual InstanceConnection *
  findLendable(TimePoint now, const std::string &service,
               const InstanceId &instance,
               const std::optional<OrganisationId> &organisation) = 0;
  /// This VM has a path to the instance, as far as it knows.
  virtual bool reaches(const std::string &service,
                       const InstanceId &instance) = 0;
  /// Nothing has come back from the instance since \p sentAt.
  virtual bool isSilentSince(const std::string &service,
                             const InstanceId &instance, TimePoint sentAt) = 0;
  /// A connection of this VM's own should be free in a moment: one is being
  /// opened, or has served a use or transaction lately.
  virtual bool expectsFree(TimePoint now, const InstanceId &instance) = 0;
  /// How many connections to the instance this VM has or opens, without those
  /// whose transactions have rested for long; at least one.
  virtual int usableAt(TimePoint now, const std::string &service,
                       const InstanceId &instance) = 0;
  /// For the log: nothing is decided by it.
  virtual LendingRoom roomAt(TimePoint now, const std::string &service,
                             const InstanceId &instance) = 0;
  virtual InstanceConnection *connection(ConnectionId id) = 0;
  virtual void transmitLent(TimePoint now, InstanceConnection &connection,
                            const std::vector<OutgoingCommand> &batch) = 0;
  /// The connection is idle and nobody's.
  virtual void takeBack(TimePoint now, InstanceConnection &connection) = 0;
  /// Its borrower has gone; what it left open is rolled back.
  virtual void abandonLent(TimePoint now, InstanceConnection &connection) = 0;
};

struct LenderOptions {
  /// A use without an objective that gets no connection within this time is
  /// refused as not run, so that its borrower can ask another home in time:
  /// about the tightest latency objective.
  Duration QueueLimit = milliseconds(150);
  /// Commands without an answer for this long are owed by a silent instance, if
  /// nothing else has come from it since: some answer times.
  Duration SilentAfter = milliseconds(250);
  /// The most uses that wait for one instance.
  std::size_t QueueLength = 64;
};

class Lender {
public:
  Lender(ILendablePool &pool, IBorrowerIo &io, IProxyLog &log,
         scheduling::ServingLine &line, LenderOptions options = {})
      : Pool(pool), Io(io), Log(log), Line(line), Options(options) {}

  void ask(TimePoint now, const BorrowKey &key, BorrowRequest request);
  /// The borrower gives up the use.
  void end(TimePoint now, const BorrowKey &key);
  /// The borrower has gone, with all of its uses.
  void endAll(TimePoint now, const std::string &ip);

  /// An instance answered on a lent connection.
  void answered(TimePoint now, InstanceConnection &connection, Purpose reason,
                const StatementReply &reply);
  /// A lent connection broke.
  void lost(const BorrowKey &key);
  /// A connection to the instance may be free.
  void pump(TimePoint now, const std::string &service,
            const InstanceId &instance);
  void tick(TimePoint now);
  /// From now on uses go on but none begins.
  void stop() { IsStopping = true; }
  /// The VMs with a use that hasn't ended.
  std::set<std::string> borrowers() const;
  bool isLending() const { return !Uses.empty(); }
  /// How long the oldest use has lasted.
  Duration oldestUse(TimePoint now) const;
  /// The uses of \p ip, for a log line.
  std::string usesOf(const std::string &ip) const;

private:
  struct Use {
    std::string Service;
    InstanceId Instance;
    std::optional<OrganisationId> Organisation;
    std::optional<ConnectionId> Bound;
    /// Sent once there is a connection.
    std::optional<BorrowRequest> Waiting;
    TimePoint ArrivedAt{};
    /// The borrower has been told that the instance is silent.
    bool IsToldSilent = false;
    TimePoint BoundAt{};
    /// How long it holds its connection counts for those that wait.
    bool IsMeasured = false;
    /// It would be late, and waits behind those that won't.
    bool IsLate = false;
    /// Refused if it has no connection by then.
    TimePoint WaitsUntil{};
  };

  /// The use has commands that aren't sent yet.
  bool isWaiting(const BorrowKey &key) const;
  void send(TimePoint now, Use &use, const BorrowRequest &request);
  /// The uses that wait, the one to serve first in front.
  std::vector<BorrowKey> waitingInOrder(TimePoint now,
                                        const scheduling::LineId &line,
                                        const std::deque<BorrowKey> &queue);
  void bind(TimePoint now, const BorrowKey &key,
            InstanceConnection &connection);
  /// Tells the borrowers that wait for an instance which has fallen silent.
  void tellSilence(TimePoint now);
  void refuse(TimePoint now, const BorrowKey &key, LendingEnd reason);
  /// What led to the refusal, with what this VM has at the instance.
  void logRefusal(TimePoint now, const BorrowKey &key, const Use &use,
                  LendingEnd reason, Duration wait);

  static overload::Urgency urgencyOf(TimePoint now, const Use &use);
  /// How long the use would wait in its place, or as one that is late.
  Duration expectedWait(TimePoint now, const BorrowKey &key, bool isLate);
  /// Refuses the waiting use if it would wait beyond what is of use to it.
  void refuseIfHopeless(TimePoint now, const BorrowKey &key);
  /// The uses of the line that can't be served in time as it is now.
  std::vector<BorrowKey> outlived(TimePoint now, const InstanceId &instance,
                                  const std::deque<BorrowKey> &queue);

  ILendablePool &Pool;
  IBorrowerIo &Io;
  IProxyLog &Log;
  scheduling::ServingLine &Line;
  LenderOptions Options;
  overload::WaitPolicy Patience;
  bool IsStopping = false;
  std::map<BorrowKey, Use> Uses;
  std::map<InstanceId, std::deque<BorrowKey>> Queues;
  std::map<InstanceId, overload::LineLoad> Loads;
};

} // namespace stepledge::proxy

#endif // STEPLEDGE_PROXY_INTERNAL_LENDER_H
