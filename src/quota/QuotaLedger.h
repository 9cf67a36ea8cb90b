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

#ifndef STEPLEDGE_QUOTA_QUOTALEDGER_H
#define STEPLEDGE_QUOTA_QUOTALEDGER_H

#include "control/types/Configuration.h"
#include "quota/IOperationQuota.h"
#include "quota/IQuotaIo.h"
#include "quota/QuotaHomes.h"
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

  QuotaVerdict admit(TimePoint now,
                     const OrganisationId &organisation) override;
  Duration retryAfter(TimePoint now,
                      const OrganisationId &organisation) const override;

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
  };
  struct OpenAsk {
    std::string Ip;
    std::uint64_t Number = 0;
    TimePoint AskedAt{};
    bool IsToOtherHall = false;
  };
  /// What this VM knows of one organisation.
  struct Account {
    BucketLimit HallLimit;
    std::deque<Lease> Leases;
    std::optional<OpenAsk> Ask;
    TimePoint NextAskAt{};
    TimePoint ExhaustedUntil{};
    /// The hall's part, where this VM is its home.
    std::optional<TokenBucket> Part;
    /// The other halls that have nothing left either, and until when.
    std::map<HallId, TimePoint> EmptyHalls;
    /// Operations granted here in about the last second.
    double RecentUse = 0;
    TimePoint UsedAt{};
  };

  bool isBad(TimePoint now, const std::string &ip) const;
  /// The home of \p hall that should be asked; none if none is there.
  std::optional<std::string> homeIn(TimePoint now, const HallId &hall,
                                    const OrganisationId &organisation) const;
  bool isHome(TimePoint now, const OrganisationId &organisation) const;
  /// Takes up to \p most from what was lent, then from the hall's part.
  int takeLocal(TimePoint now, const OrganisationId &organisation,
                Account &account, int most);
  int takeLent(TimePoint now, Account &account, int most);
  TokenBucket &partOf(TimePoint now, Account &account);
  void noteUse(TimePoint now, Account &account);
  /// Asks whoever may have some: the hall's home, or for a home another hall.
  /// False where all have nothing left.
  bool askForMore(TimePoint now, const OrganisationId &organisation,
                  Account &account, int operations);
  bool askOtherHall(TimePoint now, const OrganisationId &organisation,
                    Account &account, int operations);
  /// Begins what this VM has become the home of, so that it fills before it is
  /// asked for, and drops what it no longer is the home of.
  void reviewParts(TimePoint now);
  void noteSilent(TimePoint now, const std::string &ip);
  void sendAsk(TimePoint now, const std::string &ip,
               const OrganisationId &organisation, Account &account,
               int operations, bool isToOtherHall);
  int giveTo(TimePoint now, const QuotaAsk &ask, Account &account);
  /// The time until the hall's part has an operation again.
  static Duration timeToNext(const Account &account);
  void noteExhausted(TimePoint now, const std::string &ip, Account &account,
                     const OpenAsk &ask, Duration retryAfter);

  QuotaOptions Options;
  IQuotaIo &Io;
  QuotaHomes Homes;
  std::map<std::string, HallId> HallOf;
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
