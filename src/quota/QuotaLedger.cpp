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
constexpr double TolerancePart = 0.5;
/// A home that takes over begins with one operation plus its part's rate over
/// this many seconds.
constexpr double FirstSeconds = 0.1;
/// When another hall asks, a home keeps its part's rate over this many seconds
/// for its own hall.
constexpr double ReserveSeconds = 0.3;
/// A home asks another hall at once for its own part's rate over this many
/// seconds, since the round trip is longer and its whole hall waits.
constexpr double FarAskSeconds = 0.25;
/// While demand exceeds the rate, a home reserves for the more urgent requests
/// what they may use beyond their mean within this many seconds, the lifetime
/// of a lease: the refill covers the mean itself.
constexpr double KeptSeconds = 1;
/// Random variation rarely exceeds this many standard deviations. The reserve
/// covers more, since VMs ask for several operations at once.
constexpr double ChanceDeviations = 2;
constexpr double KeptDeviations = 3;
/// A part that begins almost empty is full after about this time at the usual
/// use.
constexpr Duration FillTime = milliseconds(3000);
/// The maximum fraction of a hall's part that is reserved, so that a small
/// burst leaves operations for the less urgent requests too.
constexpr double MostKeptPart = 0.5;
/// The smoothing time of the demand on a home: an organisation that exceeds its
/// rate only for a moment is within its burst, and all its requests are treated
/// alike.
constexpr Duration DemandTime = milliseconds(3000);

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
    Accounts.try_emplace(id, DemandTime).first->second.HallLimit = {
        it.RatePerSecond / halls,
        (it.Burst + TolerancePart * Options.Tolerance) / halls};
  }
}

void QuotaLedger::setEntries(const std::vector<membership::EntryVm> &entries) {
  Homes.setEntries(entries);
  HallOf.clear();
  for (const auto &it : entries)
    HallOf[it.Ip] = it.Hall;
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
    account.OwnUse.note(now, rank);
    account.HallDemand.note(now, rank);
    return QuotaVerdict::Granted;
  }
  const std::chrono::duration<double> ahead = Options.Forecast;
  const int operations =
      1 + static_cast<int>(account.OwnUse.lastPerSecond(rank) * ahead.count());
  if (!isExhausted(now, account, rank) &&
      askForMore(now, organisation, account, rank, operations))
    return QuotaVerdict::Pending;
  account.HallDemand.note(now, rank);
  return QuotaVerdict::Exhausted;
}

bool QuotaLedger::isExhausted(TimePoint now, const Account &account,
                              int priority) {
  return std::any_of(
      account.Wants.begin(), account.Wants.end(), [&](const auto &it) {
        return it.first <= priority && it.second.ExhaustedUntil > now;
      });
}

Duration QuotaLedger::retryAfter(TimePoint now,
                                 const OrganisationId &organisation,
                                 int priority) {
  const auto found = Accounts.find(organisation);
  if (found == Accounts.end())
    return LeastRetry;
  auto &account = found->second;
  const int rank = quotaPriorityOf(priority);
  Duration left{};
  for (const auto &[other, want] : account.Wants)
    if (other <= rank)
      left = std::max(left, want.ExhaustedUntil - now);
  return account.Returns.next(now, rank, left, hopedRate(now, account, rank));
}

double QuotaLedger::hopedRate(TimePoint now, const Account &account,
                              int priority) const {
  const double even = account.HallLimit.TokensPerSecond / VmsOfHall;
  const double moreUrgent = account.OwnUse.upTo(now, priority - 1);
  return std::max(account.OwnUse.perSecond(now, priority), even - moreUrgent);
}

int QuotaLedger::takeLocal(TimePoint now, const OrganisationId &organisation,
                           Account &account, int priority, int most) {
  const int lent = takeLent(now, account, priority, most);
  if (lent == most || !isHome(now, organisation))
    return lent;
  auto &part = partOf(now, account);
  return lent + part.take(most - lent, keptFrom(now, account, priority));
}

int QuotaLedger::takeLent(TimePoint now, Account &account, int priority,
                          int most) {
  std::erase_if(account.Leases, [&](const auto &it) {
    return it.ExpiresAt <= now || it.Operations == 0;
  });
  int taken = 0;
  for (auto &it : account.Leases) {
    if (it.Priority < priority && it.FreeAt > now)
      continue;
    const int n = std::min(most - taken, it.Operations);
    it.Operations -= n;
    taken += n;
  }
  return taken;
}

bool QuotaLedger::isOverAsked(TimePoint now, const Account &account) {
  // NOTE: a part that has just begun would only fill its reserve, while clients
  // return with all the requests that they held back.
  if (now - account.PartSince < FillTime)
    return false;
  const double rate = account.HallLimit.TokensPerSecond;
  // NOTE: random variation alone makes a demand of just the rate look higher,
  // the more so the shorter it was counted.
  const double counted = account.HallDemand.countedSeconds(now);
  const double most = rate + ChanceDeviations * std::sqrt(rate / (2 * counted));
  return account.HallDemand.total(now) + account.FarDemand.total(now) > most;
}

double QuotaLedger::keptFor(const Account &account, double use) {
  return std::min(KeptDeviations * std::sqrt(use * KeptSeconds),
                  account.HallLimit.Capacity * MostKeptPart);
}

double QuotaLedger::keptFrom(TimePoint now, const Account &account,
                             int priority) {
  if (!isOverAsked(now, account))
    return 0;
  return keptFor(account, account.HallDemand.upTo(now, priority - 1) +
                              account.FarDemand.upTo(now, priority - 1));
}

double QuotaLedger::keptFromOthers(TimePoint now, const Account &account,
                                   int priority) {
  const double reserve = account.HallLimit.TokensPerSecond * ReserveSeconds;
  // NOTE: a hall that asks others has used up its own part.
  if (!isOverAsked(now, account))
    return std::clamp(
        reserve + keptFor(account, account.FarDemand.upTo(now, priority - 1)),
        reserve, std::max(reserve, account.HallLimit.Capacity * MostKeptPart));
  // NOTE: more urgent requests of another hall go before less urgent ones of
  // this hall.
  const double all = account.HallDemand.total(now);
  const double share =
      all > 0 ? account.HallDemand.upTo(now, priority) / all : 1;
  return std::max(reserve * share, keptFrom(now, account, priority));
}

TokenBucket &QuotaLedger::partOf(TimePoint now, Account &account) {
  const auto &limit = account.HallLimit;
  // NOTE: it isn't known here what the previous home has lent.
  if (!account.Part) {
    account.Part.emplace(now, 1 + FirstSeconds * limit.TokensPerSecond);
    account.PartSince = now;
  }
  account.Part->refill(now, limit);
  return *account.Part;
}

void QuotaLedger::noteDemand(TimePoint now, const QuotaAsk &ask,
                             Account &account, int operations) {
  auto &demand = ask.IsFromOtherHall ? account.FarDemand : account.HallDemand;
  demand.note(now, ask.Priority, operations);
}

bool QuotaLedger::isBad(TimePoint now, const std::string &ip) const {
  const auto it = BadHomes.find(ip);
  return it != BadHomes.end() && it->second > now;
}

std::optional<std::string>
QuotaLedger::homeIn(TimePoint now, const HallId &hall,
                    const OrganisationId &organisation) const {
  for (const auto &it : Homes.homesOf(hall, organisation)) {
    const bool isOwn = it == Options.OwnIp;
    if (isOwn ? !IsStopping : !isBad(now, it))
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
  auto &want = account.Wants[priority];
  if (want.Ask || want.NextAskAt > now)
    return true;
  const auto home = homeIn(now, Options.OwnHall, organisation);
  if (home == Options.OwnIp)
    return askOtherHall(now, organisation, account, priority, operations);
  if (home)
    sendAsk(now, *home, want, {0, organisation, operations, false, priority});
  // NOTE: without any home the operation waits until its own time limit.
  return true;
}

bool QuotaLedger::askOtherHall(TimePoint now,
                               const OrganisationId &organisation,
                               Account &account, int priority, int operations) {
  auto &want = account.Wants[priority];
  auto halls = Homes.halls();
  // NOTE: the halls are asked in turn, since one that always has a few
  // operations would keep the others from being asked.
  std::rotate(halls.begin(),
              std::upper_bound(halls.begin(), halls.end(), want.LastHall),
              halls.end());
  for (const auto &hall : halls) {
    const auto empty = want.EmptyHalls.find(hall);
    const bool isEmpty = empty != want.EmptyHalls.end() && empty->second > now;
    const auto home = homeIn(now, hall, organisation);
    if (hall == Options.OwnHall || isEmpty || !home)
      continue;
    const int byRate =
        static_cast<int>(account.HallLimit.TokensPerSecond * FarAskSeconds);
    want.LastHall = hall;
    sendAsk(now, *home, want,
            {0, organisation, std::max(operations, byRate), true, priority});
    return true;
  }
  want.ExhaustedUntil = now + timeToNext(now, account, priority);
  return false;
}

void QuotaLedger::sendAsk(TimePoint now, const std::string &ip, Want &want,
                          QuotaAsk ask) {
  ask.Number = ++LastNumber;
  if (Io.askHome(ip, ask)) {
    want.Ask = {ip, ask.Number, now, ask.IsFromOtherHall};
    Unconnected.erase(ip);
    return;
  }
  want.NextAskAt = now + Options.AskPause;
  const auto since = Unconnected.try_emplace(ip, now).first->second;
  if (now - since > Options.SilenceLimit)
    noteSilent(now, ip);
}

void QuotaLedger::noteSilent(TimePoint now, const std::string &ip) {
  BadHomes[ip] = now + Options.BadHomePause;
  Unconnected.erase(ip);
}

Duration QuotaLedger::timeToNext(TimePoint now, const Account &account,
                                 int priority) {
  const double tokens = account.Part ? account.Part->tokens() : 0;
  const double needed = 1 + keptFrom(now, account, priority);
  const double seconds =
      std::max(0.0, needed - tokens) / account.HallLimit.TokensPerSecond;
  const auto time = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(seconds, 1.0)));
  return std::clamp(time, LeastRetry, MostRetry);
}

int QuotaLedger::surelyUsed(int operations) const {
  // The operations asked for ahead are the asker's expected use within
  // Forecast, from which its use within the lifetime of a lease follows.
  const std::chrono::duration<double> life = Options.LeaseTime;
  const std::chrono::duration<double> ahead = Options.Forecast;
  const double used = (operations - 1) * life.count() / ahead.count();
  const int surely = static_cast<int>(used - 2 * std::sqrt(used));
  return 1 + std::clamp(surely, 0, operations - 1);
}

int QuotaLedger::giveTo(TimePoint now, const QuotaAsk &ask, Account &account) {
  // NOTE: the number may come from a VM of another version, and must never add
  // to the part.
  const int most = std::max(1, ask.Operations);
  if (!ask.IsFromOtherHall)
    return takeLocal(now, ask.Organisation, account, ask.Priority,
                     isOverAsked(now, account) ? surelyUsed(most) : most);
  if (!isHome(now, ask.Organisation))
    return 0;
  // NOTE: operations that other halls have lent aren't lent to a third hall.
  return partOf(now, account)
      .take(most, keptFromOthers(now, account, ask.Priority));
}

void QuotaLedger::asked(TimePoint now, const std::string &ip,
                        const QuotaAsk &from) {
  QuotaAsk ask = from;
  ask.Priority = quotaPriorityOf(from.Priority);
  QuotaGrant grant;
  grant.Number = ask.Number;
  grant.Organisation = ask.Organisation;
  const auto found = Accounts.find(ask.Organisation);
  if (IsStopping) {
    grant.Result = GrantResult::Stopping;
  } else if (found != Accounts.end()) {
    auto &account = found->second;
    grant.Operations = giveTo(now, ask, account);
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
  Io.answerAsker(ip, grant);
}

void QuotaLedger::noteExhausted(TimePoint now, const std::string &ip,
                                Want &want, const OpenAsk &ask,
                                Duration retryAfter) {
  if (!ask.IsToOtherHall) {
    want.ExhaustedUntil = now + retryAfter;
    return;
  }
  if (const auto hall = HallOf.find(ip); hall != HallOf.end())
    want.EmptyHalls[hall->second] = now + Options.HallAskInterval;
}

void QuotaLedger::addLease(Account &account, int priority, int operations,
                           TimePoint askedAt) {
  // NOTE: counted from the ask, so that a grant that waited while this VM was
  // paused is void.
  const Lease lease{std::max(0, operations), askedAt + Options.LeaseTime,
                    priority, askedAt + Options.Forecast};
  const auto place =
      std::find_if(account.Leases.begin(), account.Leases.end(),
                   [&](const auto &it) { return it.Priority > priority; });
  account.Leases.insert(place, lease);
}

void QuotaLedger::answered(TimePoint now, const std::string &ip,
                           const QuotaGrant &grant) {
  const auto found = Accounts.find(grant.Organisation);
  if (found == Accounts.end())
    return;
  auto &account = found->second;
  const auto asked = std::find_if(
      account.Wants.begin(), account.Wants.end(), [&](const auto &it) {
        return it.second.Ask && it.second.Ask->Number == grant.Number;
      });
  if (asked == account.Wants.end())
    return;
  auto &want = asked->second;
  const OpenAsk ask = *std::exchange(want.Ask, std::nullopt);
  switch (grant.Result) {
  case GrantResult::Lent:
    addLease(account, asked->first, grant.Operations, ask.AskedAt);
    break;
  case GrantResult::Unknown:
    want.NextAskAt = now + Options.AskPause;
    return;
  case GrantResult::Exhausted:
    noteExhausted(now, ip, want, ask, grant.RetryAfter);
    break;
  case GrantResult::Stopping:
    BadHomes[ip] = now + Options.BadHomePause;
    break;
  }
  Io.quotaChanged(grant.Organisation);
}

void QuotaLedger::homeLost(TimePoint now, const std::string &ip) {
  std::set<OrganisationId> waiting;
  for (auto &[id, account] : Accounts) {
    for (auto &[priority, want] : account.Wants) {
      if (!want.Ask || want.Ask->Ip != ip)
        continue;
      want.Ask.reset();
      waiting.insert(id);
    }
  }
  if (waiting.empty())
    return;
  noteSilent(now, ip);
  for (const auto &it : waiting)
    Io.quotaChanged(it);
}

void QuotaLedger::tick(TimePoint now) {
  std::set<std::string> silent;
  for (const auto &[id, account] : Accounts)
    for (const auto &[priority, want] : account.Wants)
      if (want.Ask && now - want.Ask->AskedAt > Options.SilenceLimit)
        silent.insert(want.Ask->Ip);
  for (const auto &it : silent)
    homeLost(now, it);
  std::erase_if(BadHomes, [&](const auto &it) { return it.second <= now; });
  if (now - ReviewedAt < Options.PartInterval)
    return;
  ReviewedAt = now;
  reviewParts(now);
}

void QuotaLedger::reviewParts(TimePoint now) {
  for (auto &[id, account] : Accounts) {
    if (isHome(now, id))
      partOf(now, account);
    else
      account.Part.reset();
  }
}

std::set<std::string> QuotaLedger::homesToKeep() const {
  if (Accounts.empty())
    return {};
  const auto &homes = Homes.homesIn(Options.OwnHall);
  std::set<std::string> ips(homes.begin(), homes.end());
  ips.erase(Options.OwnIp);
  return ips;
}

} // namespace stepledge::quota
