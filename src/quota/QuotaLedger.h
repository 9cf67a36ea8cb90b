// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Counts the operations that organisations may run, over all VMs.
///
/// Each hall has a fixed part of a quota, kept by one of its VMs, the home; the
/// other VMs borrow operations from it for a short time and as needed. A hall
/// that has used its part up borrows from halls that have some left. A home
/// lends the share of its part that belongs to the VMs that it hears. So the
/// sum over all VMs stays within the quota if VMs are partitioned, restart or
/// have different VM lists: homes on several sides of a partition lend one part
/// together, and a home that takes over begins with almost nothing.
///
/// While an organisation asks for more than its rate, a home reserves what its
/// more urgent requests have used recently, against the less urgent ones of all
/// VMs and halls that ask it; what isn't used is lent to any VM that asks.

#ifndef STEPLEDGE_QUOTA_QUOTALEDGER_H
#define STEPLEDGE_QUOTA_QUOTALEDGER_H

#include "control/types/Configuration.h"
#include "quota/HallPresence.h"
#include "quota/IOperationQuota.h"
#include "quota/IQuotaIo.h"
#include "quota/PriorityRates.h"
#include "quota/QuotaHomes.h"
#include "quota/RetryDelays.h"
#include "quota/internal/HallPart.h"
#include "quota/internal/QuotaLeases.h"
#include "quota/types/QuotaUse.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace stepledge::quota {

class QuotaLedger : public IOperationQuota {
public:
  QuotaLedger(QuotaOptions options, IQuotaIo &io);

  /// Applies a configuration; a lower limit takes effect at once.
  void setOrganisations(const std::map<OrganisationId, control::Organisation>
                            &organisations) override;
  void setEntries(const std::vector<membership::EntryVm> &entries) override;
  /// Stops keeping quotas as a home, so that another VM takes over.
  void stop() { IsStopping = true; }

  QuotaVerdict admit(TimePoint now, const OrganisationId &organisation,
                     int priority) override;
  Duration retryAfter(TimePoint now, const OrganisationId &organisation,
                      int priority) override;

  /// Another VM of the hall is there, or is about to stop.
  void receivePresence(TimePoint now, const std::string &ip, bool isLeaving);
  /// Handles an ask of another VM to this one as a home.
  void receiveAsk(TimePoint now, const std::string &ip, const QuotaAsk &ask);
  void receiveGrant(TimePoint now, const std::string &ip,
                    const QuotaGrant &grant);
  /// There is a connection to \p ip, which may be a home.
  void homeConnected(const std::string &ip) { Homes.connected(ip); }
  /// Handles the loss of the connection to a home.
  void homeLost(TimePoint now, const std::string &ip);
  void tick(TimePoint now);
  /// The VMs to stay connected to while quotas are configured.
  std::set<std::string> homesToConnect() const;
  /// The use since the last call of the organisations that were refused or
  /// whose home this VM has become or is no more: those with the greatest use,
  /// \p most at most.
  std::vector<QuotaUse> takeUse(std::size_t most);

private:
  struct PendingAsk {
    std::string Ip;
    std::uint64_t Number = 0;
    TimePoint AskedAt{};
    bool IsToOtherHall = false;
  };
  /// The state of the asks for one priority.
  struct AskState {
    std::optional<PendingAsk> Ask;
    TimePoint NextAskAt{};
    TimePoint ExhaustedUntil{};
    /// The other halls that have nothing left either, and until when they
    /// aren't asked.
    std::map<HallId, TimePoint> ExhaustedHalls;
    /// The other hall that was asked last.
    HallId LastHall;
  };
  /// The state that this VM keeps of one organisation.
  struct Account {
    HallPart Part;
    QuotaLeases Leases;
    std::map<int, AskState> AskStates;
    /// Operations granted to clients of this VM in about the last second.
    PriorityRates OwnRates{milliseconds(1000)};
    RetryDelays CallerRetries;
    /// Departed homes with a configuration that lacks the organisation, so that
    /// they keep no part of its quota.
    std::set<std::string> HomesWithoutIt;
    /// Since the last takeUse().
    QuotaUse Use;
  };

  bool isUnavailable(TimePoint now, const std::string &ip) const;
  /// The home to ask in \p hall; none if no home is available.
  std::optional<std::string> homeIn(TimePoint now, const HallId &hall,
                                    const OrganisationId &organisation) const;
  bool isHome(TimePoint now, const OrganisationId &organisation) const;
  /// Takes up to \p most operations from the leases, then from the hall's part.
  int takeLocal(TimePoint now, const OrganisationId &organisation,
                Account &account, int priority, int most);
  /// Whether this priority or a more urgent one was refused and must wait for
  /// the refill.
  static bool isExhausted(TimePoint now, const Account &account, int priority);
  /// Asks the VM that may have operations: the hall's home or, if this VM is
  /// the home, another hall. Returns false if all have nothing left.
  bool askForMore(TimePoint now, const OrganisationId &organisation,
                  Account &account, int priority, int operations);
  bool askOtherHall(TimePoint now, const OrganisationId &organisation,
                    Account &account, int priority, int operations);
  /// Begins the parts that this VM has become the home of, so that they fill
  /// before operations are asked for, and drops those that it is no longer the
  /// home of.
  void updateParts(TimePoint now);
  /// Tells the homes of the own hall that this VM is there.
  void tellPresence(TimePoint now);
  /// \p ip isn't asked for a while.
  void noteUnavailable(TimePoint now, const std::string &ip);
  /// Gives up the asks that \p ip hasn't answered.
  void giveUpAsks(TimePoint now, const std::string &ip);
  void sendAsk(TimePoint now, const std::string &ip, AskState &state,
               QuotaAsk ask);
  /// How many of the \p operations that a VM asks for are unlikely to expire
  /// unused: where demand exceeds the quota, operations that expire at one VM
  /// are missing at another.
  int likelyUsed(int operations) const;
  int grantTo(TimePoint now, const QuotaAsk &ask, Account &account);
  /// The operations per second that this VM's clients of \p priority can
  /// expect.
  double expectedRate(TimePoint now, const Account &account,
                      int priority) const;
  void noteExhausted(TimePoint now, const std::string &ip, AskState &state,
                     const PendingAsk &ask, Duration retryAfter);

  QuotaOptions Options;
  IQuotaIo &Io;
  QuotaHomes Homes;
  HallPresence Presence;
  int VmsOfHall = 1;
  std::map<OrganisationId, Account> Accounts;
  /// Unavailable homes, and until when they aren't asked.
  std::map<std::string, TimePoint> UnavailableHomes;
  /// Homes that aren't connected, and since when a connection to them is
  /// needed.
  std::map<std::string, TimePoint> Unconnected;
  TimePoint PartsUpdatedAt{};
  TimePoint PresenceToldAt{};
  std::uint64_t LastNumber = 0;
  bool IsStopping = false;
};

} // namespace stepledge::quota

#endif // STEPLEDGE_QUOTA_QUOTALEDGER_H
