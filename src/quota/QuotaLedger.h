// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The operations that organisations may have run, counted over all VMs.
///
/// Each hall has its fixed part of a quota, kept by one of its VMs, the home;
/// the others borrow from it for a short time and by need. A hall that has used
/// its part up borrows from those that have some left. So the sum over all VMs
/// holds whatever is cut off, starts again or holds another list: no two homes
/// ever give out the same part, but in the moment in which one is taken for
/// gone, and then a new one begins with next to nothing.
///
/// While an organisation asks for more than its rate, a home keeps what its
/// more urgent requests have used lately from the less urgent ones, of all VMs
/// and halls that ask it; what isn't used is lent to whoever asks.

#ifndef STEPLEDGE_QUOTA_QUOTALEDGER_H
#define STEPLEDGE_QUOTA_QUOTALEDGER_H

#include "control/types/Configuration.h"
#include "quota/IOperationQuota.h"
#include "quota/IQuotaIo.h"
#include "quota/PriorityUse.h"
#include "quota/QuotaHomes.h"
#include "quota/RetryTimes.h"
#include "quota/TokenBucket.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace stepledge::quota {

class QuotaLedger : public IOperationQuota {
public:
  QuotaLedger(QuotaOptions options, IQuotaIo &io);

  /// From a configuration; a lower limit binds at once.
  void setOrganisations(const std::map<OrganisationId, control::Organisation>
                            &organisations) override;
  void setEntries(const std::vector<membership::EntryVm> &entries) override;
  /// Another VM is to keep what this one has kept.
  void stop() { IsStopping = true; }

  QuotaVerdict admit(TimePoint now, const OrganisationId &organisation,
                     int priority) override;
  Duration retryAfter(TimePoint now, const OrganisationId &organisation,
                      int priority) override;

  /// Another VM asks this one as a home.
  void asked(TimePoint now, const std::string &ip, const QuotaAsk &ask);
  void answered(TimePoint now, const std::string &ip, const QuotaGrant &grant);
  /// The connection to a home is lost.
  void homeLost(TimePoint now, const std::string &ip);
  void tick(TimePoint now);
  /// The VMs to stay connected to, as long as quotas are set.
  std::set<std::string> homesToKeep() const;

private:
  struct Lease {
    int Operations = 0;
    TimePoint ExpiresAt{};
    /// The least urgent that may use it, until it is free for all.
    int Priority = 0;
    TimePoint FreeAt{};
  };
  struct OpenAsk {
    std::string Ip;
    std::uint64_t Number = 0;
    TimePoint AskedAt{};
    bool IsToOtherHall = false;
  };
  /// What is asked for one priority.
  struct Want {
    std::optional<OpenAsk> Ask;
    TimePoint NextAskAt{};
    TimePoint ExhaustedUntil{};
    /// The other halls that have nothing left either, and until when.
    std::map<HallId, TimePoint> EmptyHalls;
    /// The other hall that was asked last.
    HallId LastHall;
  };
  /// What this VM knows of one organisation.
  struct Account {
    explicit Account(Duration demandTime)
        : HallDemand(demandTime), FarDemand(demandTime) {}

    BucketLimit HallLimit;
    /// In the order of urgency.
    std::deque<Lease> Leases;
    std::map<int, Want> Wants;
    /// The hall's part, where this VM is its home.
    std::optional<TokenBucket> Part;
    /// When it began.
    TimePoint PartSince{};
    /// Operations granted to clients of this VM in about the last second.
    PriorityUse OwnUse{milliseconds(1000)};
    /// What was asked of this VM as the home, granted or not, by its hall and
    /// by others.
    PriorityUse HallDemand;
    PriorityUse FarDemand;
    RetryTimes Returns;
  };

  bool isBad(TimePoint now, const std::string &ip) const;
  /// The home of \p hall that should be asked; none if none is there.
  std::optional<std::string> homeIn(TimePoint now, const HallId &hall,
                                    const OrganisationId &organisation) const;
  bool isHome(TimePoint now, const OrganisationId &organisation) const;
  /// Takes up to \p most from what was lent, then from the hall's part.
  int takeLocal(TimePoint now, const OrganisationId &organisation,
                Account &account, int priority, int most);
  static int takeLent(TimePoint now, Account &account, int priority, int most);
  TokenBucket &partOf(TimePoint now, Account &account);
  /// What is kept for a more urgent \p use in operations a second.
  static double keptFor(const Account &account, double use);
  /// What the hall's part keeps from \p priority for more urgent ones.
  static double keptFrom(TimePoint now, const Account &account, int priority);
  /// The same where another hall asks.
  static double keptFromOthers(TimePoint now, const Account &account,
                               int priority);
  /// More is asked of this home than its part's rate.
  static bool isOverAsked(TimePoint now, const Account &account);
  /// It, or what is more urgent, was refused and must wait for the refill.
  static bool isExhausted(TimePoint now, const Account &account, int priority);
  void noteDemand(TimePoint now, const QuotaAsk &ask, Account &account,
                  int operations);
  /// Asks whoever may have some: the hall's home, or for a home another hall.
  /// False where all have nothing left.
  bool askForMore(TimePoint now, const OrganisationId &organisation,
                  Account &account, int priority, int operations);
  bool askOtherHall(TimePoint now, const OrganisationId &organisation,
                    Account &account, int priority, int operations);
  /// Begins what this VM has become the home of, so that it fills before it is
  /// asked for, and drops what it no longer is the home of.
  void reviewParts(TimePoint now);
  void noteSilent(TimePoint now, const std::string &ip);
  void sendAsk(TimePoint now, const std::string &ip, Want &want, QuotaAsk ask);
  /// Of \p operations that a VM asks for, those that it hardly lets lapse:
  /// where more is asked than there is, what lapses at one VM is missing at
  /// another.
  int surelyUsed(int operations) const;
  int giveTo(TimePoint now, const QuotaAsk &ask, Account &account);
  /// The time until the hall's part has an operation for \p priority again.
  static Duration timeToNext(TimePoint now, const Account &account,
                             int priority);
  /// Operations a second that this VM's clients of \p priority may hope for.
  double hopedRate(TimePoint now, const Account &account, int priority) const;
  void addLease(Account &account, int priority, int operations,
                TimePoint askedAt);
  void noteExhausted(TimePoint now, const std::string &ip, Want &want,
                     const OpenAsk &ask, Duration retryAfter);

  QuotaOptions Options;
  IQuotaIo &Io;
  QuotaHomes Homes;
  std::map<std::string, HallId> HallOf;
  int VmsOfHall = 1;
  std::map<OrganisationId, Account> Accounts;
  /// Until when they aren't asked.
  std::map<std::string, TimePoint> BadHomes;
  /// Homes that aren't connected, and since when they should be.
  std::map<std::string, TimePoint> Unconnected;
  TimePoint ReviewedAt{};
  std::uint64_t LastNumber = 0;
  bool IsStopping = false;
};

} // namespace stepledge::quota

#endif // STEPLEDGE_QUOTA_QUOTALEDGER_H
