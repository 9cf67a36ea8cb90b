// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "quota/QuotaLedger.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace stepledge::quota {

namespace {

/// The part of the operator's tolerance that is used. The rest covers leases
/// that are used up to their end, and a home that takes over.
constexpr double TolerancePart = 0.5;
/// A home that takes over begins with one operation and this much of a second.
constexpr double FirstSeconds = 0.1;
/// A home keeps this much of a second of its hall's own use when another hall
/// asks.
constexpr double ReserveSeconds = 0.3;
/// A home asks another hall for this much of a second of its own part at once,
/// since the way there is longer and its whole hall waits.
constexpr double FarAskSeconds = 0.25;
/// A client need not be told to come back sooner, nor much later.
constexpr Duration LeastRetry = milliseconds(20);
constexpr Duration MostRetry = milliseconds(1000);

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
    Accounts[id].HallLimit = {it.RatePerSecond / halls,
                              (it.Burst + TolerancePart * Options.Tolerance) /
                                  halls};
  }
}

void QuotaLedger::setEntries(const std::vector<membership::EntryVm> &entries) {
  Homes.setEntries(entries);
  HallOf.clear();
  for (const auto &it : entries)
    HallOf[it.Ip] = it.Hall;
}

QuotaVerdict QuotaLedger::admit(TimePoint now,
                                const OrganisationId &organisation) {
  const auto found = Accounts.find(organisation);
  if (found == Accounts.end())
    return QuotaVerdict::Granted;
  auto &account = found->second;
  if (takeLocal(now, organisation, account, 1) > 0) {
    noteUse(now, account);
    return QuotaVerdict::Granted;
  }
  if (account.ExhaustedUntil > now)
    return QuotaVerdict::Exhausted;
  const std::chrono::duration<double> ahead = Options.Forecast;
  const int operations =
      1 + static_cast<int>(account.RecentUse * ahead.count());
  return askForMore(now, organisation, account, operations)
             ? QuotaVerdict::Pending
             : QuotaVerdict::Exhausted;
}

Duration QuotaLedger::retryAfter(TimePoint now,
                                 const OrganisationId &organisation) const {
  const auto found = Accounts.find(organisation);
  const Duration left =
      found == Accounts.end() ? Duration{} : found->second.ExhaustedUntil - now;
  return std::clamp(left, LeastRetry, MostRetry);
}

int QuotaLedger::takeLocal(TimePoint now, const OrganisationId &organisation,
                           Account &account, int most) {
  const int lent = takeLent(now, account, most);
  if (lent == most || !isHome(now, organisation))
    return lent;
  return lent + partOf(now, account).take(most - lent);
}

int QuotaLedger::takeLent(TimePoint now, Account &account, int most) {
  std::erase_if(account.Leases, [&](const auto &it) {
    return it.ExpiresAt <= now || it.Operations == 0;
  });
  int taken = 0;
  for (auto &it : account.Leases) {
    const int n = std::min(most - taken, it.Operations);
    it.Operations -= n;
    taken += n;
  }
  return taken;
}

TokenBucket &QuotaLedger::partOf(TimePoint now, Account &account) {
  const auto &limit = account.HallLimit;
  // NOTE: what the home before it has given out is not known here.
  if (!account.Part)
    account.Part.emplace(now, 1 + FirstSeconds * limit.TokensPerSecond);
  account.Part->refill(now, limit);
  return *account.Part;
}

void QuotaLedger::noteUse(TimePoint now, Account &account) {
  const std::chrono::duration<double> passed = now - account.UsedAt;
  account.RecentUse = account.RecentUse * std::exp(-passed.count()) + 1;
  account.UsedAt = now;
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
                             Account &account, int operations) {
  if (account.Ask || account.NextAskAt > now)
    return true;
  const auto home = homeIn(now, Options.OwnHall, organisation);
  if (home == Options.OwnIp)
    return askOtherHall(now, organisation, account, operations);
  if (home)
    sendAsk(now, *home, organisation, account, operations, false);
  // NOTE: without any home the operation waits until its own limit.
  return true;
}

bool QuotaLedger::askOtherHall(TimePoint now,
                               const OrganisationId &organisation,
                               Account &account, int operations) {
  for (const auto &hall : Homes.halls()) {
    const auto empty = account.EmptyHalls.find(hall);
    const bool isEmpty =
        empty != account.EmptyHalls.end() && empty->second > now;
    const auto home = homeIn(now, hall, organisation);
    if (hall == Options.OwnHall || isEmpty || !home)
      continue;
    const int byRate =
        static_cast<int>(account.HallLimit.TokensPerSecond * FarAskSeconds);
    sendAsk(now, *home, organisation, account, std::max(operations, byRate),
            true);
    return true;
  }
  account.ExhaustedUntil =
      now + std::clamp(timeToNext(account), LeastRetry, MostRetry);
  return false;
}

void QuotaLedger::sendAsk(TimePoint now, const std::string &ip,
                          const OrganisationId &organisation, Account &account,
                          int operations, bool isToOtherHall) {
  const QuotaAsk ask{++LastNumber, organisation, operations, isToOtherHall};
  if (Io.askHome(ip, ask)) {
    account.Ask = {ip, ask.Number, now, isToOtherHall};
    Unconnected.erase(ip);
    return;
  }
  account.NextAskAt = now + Options.AskPause;
  const auto since = Unconnected.try_emplace(ip, now).first->second;
  if (now - since > Options.SilenceLimit)
    noteSilent(now, ip);
}

void QuotaLedger::noteSilent(TimePoint now, const std::string &ip) {
  BadHomes[ip] = now + Options.BadHomePause;
  Unconnected.erase(ip);
}

Duration QuotaLedger::timeToNext(const Account &account) {
  const double tokens = account.Part ? account.Part->tokens() : 0;
  const double seconds =
      std::max(0.0, 1 - tokens) / account.HallLimit.TokensPerSecond;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(seconds, 1.0)));
}

int QuotaLedger::giveTo(TimePoint now, const QuotaAsk &ask, Account &account) {
  // NOTE: whatever a VM of another version asks, it can't add to the part.
  const int most = std::max(1, ask.Operations);
  if (!ask.IsFromOtherHall)
    return takeLocal(now, ask.Organisation, account, most);
  if (!isHome(now, ask.Organisation))
    return 0;
  // NOTE: what other halls have lent goes to nobody else.
  const double reserve = account.HallLimit.TokensPerSecond * ReserveSeconds;
  return partOf(now, account).take(most, reserve);
}

void QuotaLedger::asked(TimePoint now, const std::string &ip,
                        const QuotaAsk &ask) {
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
    else if (ask.IsFromOtherHall || account.ExhaustedUntil > now ||
             !askForMore(now, ask.Organisation, account, ask.Operations))
      grant.Result = GrantResult::Exhausted;
    grant.RetryAfter = std::clamp(timeToNext(account), LeastRetry, MostRetry);
  }
  Io.answerAsker(ip, grant);
}

void QuotaLedger::noteExhausted(TimePoint now, const std::string &ip,
                                Account &account, const OpenAsk &ask,
                                Duration retryAfter) {
  if (!ask.IsToOtherHall) {
    account.ExhaustedUntil = now + retryAfter;
    return;
  }
  if (const auto hall = HallOf.find(ip); hall != HallOf.end())
    account.EmptyHalls[hall->second] = now + Options.HallAskInterval;
}

void QuotaLedger::answered(TimePoint now, const std::string &ip,
                           const QuotaGrant &grant) {
  const auto found = Accounts.find(grant.Organisation);
  if (found == Accounts.end())
    return;
  auto &account = found->second;
  if (!account.Ask || account.Ask->Number != grant.Number)
    return;
  const OpenAsk ask = *std::exchange(account.Ask, std::nullopt);
  switch (grant.Result) {
  case GrantResult::Lent:
    // NOTE: counted from the question, so that an answer that waited while this
    // VM stood still is worth nothing.
    account.Leases.push_back(
        {std::max(0, grant.Operations), ask.AskedAt + Options.LeaseTime});
    break;
  case GrantResult::Unknown:
    account.NextAskAt = now + Options.AskPause;
    return;
  case GrantResult::Exhausted:
    noteExhausted(now, ip, account, ask, grant.RetryAfter);
    break;
  case GrantResult::Stopping:
    BadHomes[ip] = now + Options.BadHomePause;
    break;
  }
  Io.quotaChanged(grant.Organisation);
}

void QuotaLedger::homeLost(TimePoint now, const std::string &ip) {
  std::vector<OrganisationId> waiting;
  for (auto &[id, account] : Accounts) {
    if (!account.Ask || account.Ask->Ip != ip)
      continue;
    account.Ask.reset();
    waiting.push_back(id);
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
    if (account.Ask && now - account.Ask->AskedAt > Options.SilenceLimit)
      silent.insert(account.Ask->Ip);
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
