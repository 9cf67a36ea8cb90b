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
/// A home that takes over begins with one operation plus its part's rate over
/// this many seconds.
constexpr double TakeoverSeconds = 0.1;
/// When another hall asks, a home keeps its part's rate over this many seconds
/// for its own hall.
constexpr double OwnHallReserveSeconds = 0.3;
/// A home asks another hall at once for its own part's rate over this many
/// seconds, since the round trip is longer and its whole hall waits.
constexpr double OtherHallAskSeconds = 0.25;
/// While demand exceeds the rate, a home reserves for the more urgent requests
/// what they may use beyond their mean within this many seconds, the lifetime
/// of a lease: the refill covers the mean itself.
constexpr double ReserveBurstSeconds = 1;
/// Random variation rarely exceeds this many standard deviations. The reserve
/// covers more, since VMs ask for several operations at once.
constexpr double DemandDeviations = 2;
constexpr double ReserveDeviations = 3;
/// A part that begins almost empty is full after about this time at the usual
/// use.
constexpr Duration PartFillTime = milliseconds(3000);
/// The maximum fraction of the capacity of a hall's part that is reserved, so
/// that a small burst leaves operations for the less urgent requests too.
constexpr double MaxReservedFraction = 0.5;
/// The smoothing time of the demand on a home: an organisation that exceeds its
/// rate only for a moment is within its burst, and all its requests are treated
/// alike.
constexpr Duration DemandSmoothingTime = milliseconds(3000);

} // namespace

QuotaLedger::QuotaLedger(QuotaOptions options, IQuotaIo &io)
    : Options(std::move(options)), Io(io), Homes(Options.HomesPerHall) {}

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
    Accounts.try_emplace(id, DemandSmoothingTime).first->second.HallLimit = {
        it.RatePerSecond / halls,
        (it.Burst + ToleranceFraction * Options.Tolerance) / halls};
  }
}

void QuotaLedger::setEntries(const std::vector<membership::EntryVm> &entries) {
  Homes.setEntries(entries);
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
    account.OwnHallDemand.note(now, rank);
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
  account.OwnHallDemand.note(now, rank);
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
  const double even = account.HallLimit.TokensPerSecond / VmsOfHall;
  const double moreUrgent = account.OwnRates.perSecondUpTo(now, priority - 1);
  return std::max(account.OwnRates.perSecond(now, priority), even - moreUrgent);
}

int QuotaLedger::takeLocal(TimePoint now, const OrganisationId &organisation,
                           Account &account, int priority, int most) {
  const int lent = takeLeased(now, account, priority, most);
  if (lent == most || !isHome(now, organisation))
    return lent;
  auto &part = partOf(now, account);
  return lent + part.take(most - lent, reserveAgainst(now, account, priority));
}

int QuotaLedger::takeLeased(TimePoint now, Account &account, int priority,
                            int most) {
  std::erase_if(account.Leases, [&](const auto &it) {
    return it.ExpiresAt <= now || it.Operations == 0;
  });
  int taken = 0;
  for (auto &it : account.Leases) {
    if (it.Priority < priority && it.OpenToAllAt > now)
      continue;
    const int n = std::min(most - taken, it.Operations);
    it.Operations -= n;
    taken += n;
  }
  return taken;
}

bool QuotaLedger::isDemandOverRate(TimePoint now, const Account &account) {
  // NOTE: a part that has just begun would only fill its reserve, while clients
  // return with all the requests that they have deferred.
  if (now - account.PartSince < PartFillTime)
    return false;
  const double rate = account.HallLimit.TokensPerSecond;
  // NOTE: random variation alone makes a demand of just the rate look higher,
  // the more so the shorter it was counted.
  const double counted = account.OwnHallDemand.countedSeconds(now);
  const double most = rate + DemandDeviations * std::sqrt(rate / (2 * counted));
  return account.OwnHallDemand.totalPerSecond(now) +
             account.OtherHallDemand.totalPerSecond(now) >
         most;
}

double QuotaLedger::reserveFor(const Account &account, double use) {
  return std::min(ReserveDeviations * std::sqrt(use * ReserveBurstSeconds),
                  account.HallLimit.Capacity * MaxReservedFraction);
}

double QuotaLedger::reserveAgainst(TimePoint now, const Account &account,
                                   int priority) {
  if (!isDemandOverRate(now, account))
    return 0;
  return reserveFor(
      account, account.OwnHallDemand.perSecondUpTo(now, priority - 1) +
                   account.OtherHallDemand.perSecondUpTo(now, priority - 1));
}

double QuotaLedger::reserveAgainstOtherHall(TimePoint now,
                                            const Account &account,
                                            int priority) {
  const double reserve =
      account.HallLimit.TokensPerSecond * OwnHallReserveSeconds;
  // NOTE: a hall that asks others has used up its own part.
  if (!isDemandOverRate(now, account))
    return std::clamp(
        reserve + reserveFor(account, account.OtherHallDemand.perSecondUpTo(
                                          now, priority - 1)),
        reserve,
        std::max(reserve, account.HallLimit.Capacity * MaxReservedFraction));
  // NOTE: more urgent requests of another hall go before less urgent ones of
  // this hall.
  const double all = account.OwnHallDemand.totalPerSecond(now);
  const double share =
      all > 0 ? account.OwnHallDemand.perSecondUpTo(now, priority) / all : 1;
  return std::max(reserve * share, reserveAgainst(now, account, priority));
}

TokenBucket &QuotaLedger::partOf(TimePoint now, Account &account) {
  const auto &limit = account.HallLimit;
  // NOTE: it isn't known here what the previous home has lent.
  if (!account.Part) {
    account.Part.emplace(now, 1 + TakeoverSeconds * limit.TokensPerSecond);
    account.PartSince = now;
  }
  account.Part->refill(now, limit);
  return *account.Part;
}

void QuotaLedger::noteDemand(TimePoint now, const QuotaAsk &ask,
                             Account &account, int operations) {
  auto &demand =
      ask.IsFromOtherHall ? account.OtherHallDemand : account.OwnHallDemand;
  demand.note(now, ask.Priority, operations);
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

bool QuotaLedger::askForMore(TimePoint now, const OrganisationId &organisation,
                             Account &account, int priority, int operations) {
  auto &state = account.AskStates[priority];
  if (state.Ask || state.NextAskAt > now)
    return true;
  const auto home = homeIn(now, Options.OwnHall, organisation);
  if (home == Options.OwnIp)
    return askOtherHall(now, organisation, account, priority, operations);
  if (home)
    sendAsk(now, *home, state, {0, organisation, operations, false, priority});
  // NOTE: without any home the operation waits until its own time limit.
  return true;
}

bool QuotaLedger::askOtherHall(TimePoint now,
                               const OrganisationId &organisation,
                               Account &account, int priority, int operations) {
  auto &state = account.AskStates[priority];
  auto halls = Homes.halls();
  // NOTE: the halls are asked in turn, since one that always has a few
  // operations would keep the others from being asked.
  std::rotate(halls.begin(),
              std::upper_bound(halls.begin(), halls.end(), state.LastHall),
              halls.end());
  for (const auto &hall : halls) {
    const auto empty = state.ExhaustedHalls.find(hall);
    const bool isEmpty =
        empty != state.ExhaustedHalls.end() && empty->second > now;
    const auto home = homeIn(now, hall, organisation);
    if (hall == Options.OwnHall || isEmpty || !home)
      continue;
    const int byRate = static_cast<int>(account.HallLimit.TokensPerSecond *
                                        OtherHallAskSeconds);
    state.LastHall = hall;
    sendAsk(now, *home, state,
            {0, organisation, std::max(operations, byRate), true, priority});
    return true;
  }
  state.ExhaustedUntil = now + timeToNext(now, account, priority);
  return false;
}

void QuotaLedger::sendAsk(TimePoint now, const std::string &ip, AskState &state,
                          QuotaAsk ask) {
  ask.Number = ++LastNumber;
  if (Io.askHome(ip, ask)) {
    state.Ask = {ip, ask.Number, now, ask.IsFromOtherHall};
    Unconnected.erase(ip);
    return;
  }
  state.NextAskAt = now + Options.AskRetryDelay;
  const auto since = Unconnected.try_emplace(ip, now).first->second;
  if (now - since > Options.SilenceLimit)
    noteUnavailable(now, ip);
}

void QuotaLedger::noteUnavailable(TimePoint now, const std::string &ip) {
  UnavailableHomes[ip] = now + Options.UnavailableHomePause;
  Unconnected.erase(ip);
  Homes.unavailable(ip);
}

Duration QuotaLedger::timeToNext(TimePoint now, const Account &account,
                                 int priority) {
  const double tokens = account.Part ? account.Part->tokens() : 0;
  const double needed = 1 + reserveAgainst(now, account, priority);
  const double seconds =
      std::max(0.0, needed - tokens) / account.HallLimit.TokensPerSecond;
  const auto time = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(seconds, 1.0)));
  return std::clamp(time, MinRetryDelay, MaxRetryDelay);
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
  // NOTE: the number may come from a VM of another version, and must never add
  // to the part.
  const int most = std::max(1, ask.Operations);
  if (!ask.IsFromOtherHall)
    return takeLocal(now, ask.Organisation, account, ask.Priority,
                     isDemandOverRate(now, account) ? likelyUsed(most) : most);
  if (!isHome(now, ask.Organisation))
    return 0;
  // NOTE: operations that other halls have lent aren't lent to a third hall.
  return partOf(now, account)
      .take(most, reserveAgainstOtherHall(now, account, ask.Priority));
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
      noteDemand(now, ask, account, std::max(1, grant.Operations));
    grant.RetryAfter = timeToNext(now, account, ask.Priority);
  }
  Io.sendGrant(ip, grant);
}

void QuotaLedger::noteExhausted(TimePoint now, const std::string &ip,
                                AskState &state, const PendingAsk &ask,
                                Duration retryAfter) {
  if (!ask.IsToOtherHall) {
    state.ExhaustedUntil = now + retryAfter;
    return;
  }
  if (const auto hall = Homes.hallOf(ip))
    state.ExhaustedHalls[*hall] = now + Options.HallAskInterval;
}

void QuotaLedger::addLease(Account &account, int priority, int operations,
                           TimePoint askedAt) {
  // NOTE: counted from the ask, so that a grant that waited while this VM was
  // paused is void.
  const Lease lease{std::max(0, operations), askedAt + Options.LeaseTime,
                    priority, askedAt + Options.ForecastTime};
  const auto place =
      std::find_if(account.Leases.begin(), account.Leases.end(),
                   [&](const auto &it) { return it.Priority > priority; });
  account.Leases.insert(place, lease);
}

void QuotaLedger::receiveGrant(TimePoint now, const std::string &ip,
                               const QuotaGrant &grant) {
  const auto found = Accounts.find(grant.Organisation);
  if (found == Accounts.end())
    return;
  auto &account = found->second;
  const auto asked = std::find_if(
      account.AskStates.begin(), account.AskStates.end(), [&](const auto &it) {
        return it.second.Ask && it.second.Ask->Number == grant.Number;
      });
  if (asked == account.AskStates.end())
    return;
  auto &state = asked->second;
  const PendingAsk ask = *std::exchange(state.Ask, std::nullopt);
  switch (grant.Result) {
  case GrantResult::Lent:
    addLease(account, asked->first, grant.Operations, ask.AskedAt);
    account.Use.Borrowed += grant.Operations;
    break;
  case GrantResult::NoQuota:
    // NOTE: one in the list has only to apply the newest configuration.
    if (Homes.hasDeparted(ip))
      account.HomesWithoutIt.insert(ip);
    state.NextAskAt = now + Options.AskRetryDelay;
    return;
  case GrantResult::Unknown:
    state.NextAskAt = now + Options.AskRetryDelay;
    return;
  case GrantResult::Exhausted:
    noteExhausted(now, ip, state, ask, grant.RetryAfter);
    break;
  case GrantResult::Stopping:
    noteUnavailable(now, ip);
    break;
  }
  Io.quotaChanged(grant.Organisation);
}

void QuotaLedger::homeLost(TimePoint now, const std::string &ip) {
  Homes.disconnected(ip);
  giveUpAsks(now, ip);
}

void QuotaLedger::giveUpAsks(TimePoint now, const std::string &ip) {
  std::set<OrganisationId> waiting;
  for (auto &[id, account] : Accounts) {
    for (auto &[priority, state] : account.AskStates) {
      if (!state.Ask || state.Ask->Ip != ip)
        continue;
      state.Ask.reset();
      waiting.insert(id);
    }
  }
  if (waiting.empty())
    return;
  noteUnavailable(now, ip);
  for (const auto &it : waiting)
    Io.quotaChanged(it);
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
  if (now - PartsUpdatedAt < Options.PartUpdateInterval)
    return;
  PartsUpdatedAt = now;
  updateParts(now);
}

void QuotaLedger::updateParts(TimePoint now) {
  for (auto &[id, account] : Accounts) {
    if (isHome(now, id))
      partOf(now, account);
    else
      account.Part.reset();
  }
}

std::vector<QuotaUse> QuotaLedger::takeUse(std::size_t most) {
  std::vector<QuotaUse> uses;
  for (auto &[id, account] : Accounts) {
    QuotaUse use = std::exchange(account.Use, QuotaUse());
    const bool wasHome = use.IsHome;
    use.Organisation = id;
    use.IsHome = account.Part.has_value();
    for (const auto &it : account.Leases)
      use.Held += it.Operations;
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
