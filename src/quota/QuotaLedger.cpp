// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "quota/QuotaLedger.h"

#include "quota/types/QuotaPriority.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace stepledge::quota {

namespace {

/// The fraction of the operator's tolerance that is used. The rest covers
/// leases that are used up to their end, and a home that takes over.
constexpr double ToleranceFraction = 0.5;

void noteDemand(TimePoint now, const QuotaAsk &ask, HallPart &part,
                int operations) {
  if (ask.IsFromOtherHall)
    part.noteOtherDemand(now, ask.Priority, operations);
  else
    part.noteOwnDemand(now, ask.Priority, operations);
}

} // namespace

QuotaLedger::QuotaLedger(QuotaOptions options, IQuotaIo &io)
    : Options(std::move(options)), Io(io), Homes(Options.HomesPerHall),
      Presence(Options.OwnHall, Options.OwnIp) {}

void QuotaLedger::setOrganisations(
    const std::map<OrganisationId, control::Organisation> &organisations) {
  std::erase_if(Accounts, [&](const auto &it) {
    const auto found = organisations.find(it.first);
    return found == organisations.end() || found->second.RatePerSecond <= 0;
  });
  const double halls = std::max(1, Options.Halls);
  for (const auto &[id, it] : organisations) {
    if (it.RatePerSecond <= 0)
      continue;
    Accounts[id].Part.setLimit(
        {it.RatePerSecond / halls,
         (it.Burst + ToleranceFraction * Options.Tolerance) / halls});
  }
}

void QuotaLedger::setEntries(const std::vector<membership::EntryVm> &entries) {
  Homes.setEntries(entries);
  Presence.setEntries(entries);
  for (const auto &[ip, until] : UnavailableHomes)
    Homes.unavailable(ip);
  for (auto &[id, account] : Accounts)
    std::erase_if(account.HomesWithoutIt,
                  [&](const auto &it) { return !Homes.hasDeparted(it); });
  VmsOfHall =
      std::max<int>(1, static_cast<int>(std::count_if(
                           entries.begin(), entries.end(), [&](const auto &it) {
                             return it.Hall == Options.OwnHall;
                           })));
}

QuotaVerdict QuotaLedger::admit(TimePoint now,
                                const OrganisationId &organisation,
                                int priority) {
  const auto found = Accounts.find(organisation);
  if (found == Accounts.end())
    return QuotaVerdict::Granted;
  auto &account = found->second;
  const int rank = quotaPriorityOf(priority);
  if (takeLocal(now, organisation, account, rank, 1) > 0) {
    account.OwnRates.note(now, rank);
    account.Part.noteOwnDemand(now, rank);
    ++account.Use.Granted;
    return QuotaVerdict::Granted;
  }
  const std::chrono::duration<double> ahead = Options.ForecastTime;
  const int operations =
      1 +
      static_cast<int>(account.OwnRates.lastPerSecond(rank) * ahead.count());
  if (!isExhausted(now, account, rank) &&
      askForMore(now, organisation, account, rank, operations))
    return QuotaVerdict::Pending;
  account.Part.noteOwnDemand(now, rank);
  ++account.Use.Refused;
  return QuotaVerdict::Exhausted;
}

bool QuotaLedger::isExhausted(TimePoint now, const Account &account,
                              int priority) {
  return std::any_of(
      account.AskStates.begin(), account.AskStates.end(), [&](const auto &it) {
        return it.first <= priority && it.second.ExhaustedUntil > now;
      });
}

Duration QuotaLedger::retryAfter(TimePoint now,
                                 const OrganisationId &organisation,
                                 int priority) {
  const auto found = Accounts.find(organisation);
  if (found == Accounts.end())
    return MinRetryDelay;
  auto &account = found->second;
  const int rank = quotaPriorityOf(priority);
  Duration left{};
  for (const auto &[other, state] : account.AskStates)
    if (other <= rank)
      left = std::max(left, state.ExhaustedUntil - now);
  return account.CallerRetries.next(now, rank, left,
                                    expectedRate(now, account, rank));
}

double QuotaLedger::expectedRate(TimePoint now, const Account &account,
                                 int priority) const {
  const double even = account.Part.limit().TokensPerSecond / VmsOfHall;
  const double moreUrgent = account.OwnRates.perSecondUpTo(now, priority - 1);
  return std::max(account.OwnRates.perSecond(now, priority), even - moreUrgent);
}

int QuotaLedger::takeLocal(TimePoint now, const OrganisationId &organisation,
                           Account &account, int priority, int most) {
  const int lent = account.Leases.take(now, priority, most);
  if (lent == most || !isHome(now, organisation))
    return lent;
  account.Part.keep(now, Presence);
  return lent + account.Part.take(now, most - lent, priority);
}

bool QuotaLedger::isUnavailable(TimePoint now, const std::string &ip) const {
  const auto it = UnavailableHomes.find(ip);
  return it != UnavailableHomes.end() && it->second > now;
}

std::optional<std::string>
QuotaLedger::homeIn(TimePoint now, const HallId &hall,
                    const OrganisationId &organisation) const {
  const auto account = Accounts.find(organisation);
  for (const auto &it : Homes.homesOf(hall, organisation)) {
    if (account != Accounts.end() &&
        account->second.HomesWithoutIt.contains(it))
      continue;
    const bool isOwn = it == Options.OwnIp;
    if (isOwn ? !IsStopping : !isUnavailable(now, it))
      return it;
  }
  return std::nullopt;
}

bool QuotaLedger::isHome(TimePoint now,
                         const OrganisationId &organisation) const {
  return homeIn(now, Options.OwnHall, organisation) == Options.OwnIp;
}

int QuotaLedger::likelyUsed(int operations) const {
  // The operations asked for ahead are the asker's expected use within
  // ForecastTime, from which its use within the lifetime of a lease follows.
  const std::chrono::duration<double> leaseTime = Options.LeaseTime;
  const std::chrono::duration<double> ahead = Options.ForecastTime;
  const double used = (operations - 1) * leaseTime.count() / ahead.count();
  const int surely = static_cast<int>(used - 2 * std::sqrt(used));
  return 1 + std::clamp(surely, 0, operations - 1);
}

int QuotaLedger::grantTo(TimePoint now, const QuotaAsk &ask, Account &account) {
  // NOTE: the number may come from a VM of another version, and must never
  // add to the part.
  const int most = std::max(1, ask.Operations);
  if (!ask.IsFromOtherHall)
    return takeLocal(now, ask.Organisation, account, ask.Priority,
                     account.Part.isDemandOverRate(now) ? likelyUsed(most)
                                                        : most);
  if (!isHome(now, ask.Organisation))
    return 0;
  account.Part.keep(now, Presence);
  // NOTE: operations that other halls have lent aren't lent to a third hall.
  return account.Part.takeForOtherHall(now, most, ask.Priority);
}

void QuotaLedger::receiveAsk(TimePoint now, const std::string &ip,
                             const QuotaAsk &from) {
  QuotaAsk ask = from;
  ask.Priority = quotaPriorityOf(from.Priority);
  QuotaGrant grant;
  grant.Number = ask.Number;
  grant.Organisation = ask.Organisation;
  const auto found = Accounts.find(ask.Organisation);
  if (IsStopping) {
    grant.Result = GrantResult::Stopping;
  } else if (found == Accounts.end()) {
    grant.Result = GrantResult::NoQuota;
  } else {
    auto &account = found->second;
    grant.Operations = grantTo(now, ask, account);
    account.Use.Lent += grant.Operations;
    if (grant.Operations > 0)
      grant.Result = GrantResult::Lent;
    else if (ask.IsFromOtherHall || isExhausted(now, account, ask.Priority) ||
             !askForMore(now, ask.Organisation, account, ask.Priority,
                         ask.Operations))
      grant.Result = GrantResult::Exhausted;
    if (grant.Result != GrantResult::Unknown)
      noteDemand(now, ask, account.Part, std::max(1, grant.Operations));
    grant.RetryAfter = account.Part.timeToNext(now, ask.Priority);
  }
  Io.sendGrant(ip, grant);
}

void QuotaLedger::tick(TimePoint now) {
  std::set<std::string> silent;
  for (const auto &[id, account] : Accounts)
    for (const auto &[priority, state] : account.AskStates)
      if (state.Ask && now - state.Ask->AskedAt > Options.SilenceLimit)
        silent.insert(state.Ask->Ip);
  for (const auto &it : silent)
    giveUpAsks(now, it);
  std::erase_if(UnavailableHomes,
                [&](const auto &it) { return it.second <= now; });
  if (now - PresenceToldAt >= HallPresence::TellInterval)
    tellPresence(now);
  if (now - PartsUpdatedAt < Options.PartUpdateInterval)
    return;
  PartsUpdatedAt = now;
  updateParts(now);
}

void QuotaLedger::tellPresence(TimePoint now) {
  PresenceToldAt = now;
  Presence.tick(now);
  for (const auto &it : homesToConnect())
    Io.tellPresence(it, IsStopping);
}

void QuotaLedger::receivePresence(TimePoint now, const std::string &ip,
                                  bool isLeaving) {
  Presence.heard(now, ip, isLeaving);
}

void QuotaLedger::updateParts(TimePoint now) {
  for (auto &[id, account] : Accounts) {
    if (isHome(now, id))
      account.Part.keep(now, Presence);
    else
      account.Part.drop();
  }
}

std::vector<QuotaUse> QuotaLedger::takeUse(std::size_t most) {
  std::vector<QuotaUse> uses;
  for (auto &[id, account] : Accounts) {
    QuotaUse use = std::exchange(account.Use, QuotaUse());
    const bool wasHome = use.IsHome;
    use.Organisation = id;
    use.IsHome = account.Part.isKept();
    use.Held = account.Leases.operations();
    account.Use.IsHome = use.IsHome;
    if (use.Refused > 0 || wasHome != use.IsHome)
      uses.push_back(use);
  }
  std::sort(uses.begin(), uses.end(), [](const auto &a, const auto &b) {
    return a.Granted + a.Refused > b.Granted + b.Refused;
  });
  if (uses.size() > most)
    uses.resize(most);
  return uses;
}

std::set<std::string> QuotaLedger::homesToConnect() const {
  if (Accounts.empty())
    return {};
  const auto &homes = Homes.homesIn(Options.OwnHall);
  std::set<std::string> ips(homes.begin(), homes.end());
  ips.erase(Options.OwnIp);
  return ips;
}

} // namespace stepledge::quota
