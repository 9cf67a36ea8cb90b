// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The part of QuotaLedger that borrows operations from homes.

#include "quota/QuotaLedger.h"

#include <algorithm>
#include <utility>

namespace stepledge::quota {

namespace {

/// A home asks another hall at once for its own part's rate over this many
/// seconds, since the round trip is longer and its whole hall waits.
constexpr double OtherHallAskSeconds = 0.25;

} // namespace

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
    const int byRate = static_cast<int>(account.Part.limit().TokensPerSecond *
                                        OtherHallAskSeconds);
    state.LastHall = hall;
    sendAsk(now, *home, state,
            {0, organisation, std::max(operations, byRate), true, priority});
    return true;
  }
  state.ExhaustedUntil = now + account.Part.timeToNext(now, priority);
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
    // NOTE: counted from the ask, so that a grant that waited while this VM was
    // paused is void.
    account.Leases.add({std::max(0, grant.Operations),
                        ask.AskedAt + Options.LeaseTime, asked->first,
                        ask.AskedAt + Options.ForecastTime});
    account.Use.Borrowed += grant.Operations;
    break;
  case GrantResult::NoQuota:
    // NOTE: one in the list has only to apply the newest configuration.
    if (Homes.hasDeparted(ip))
      account.HomesWithoutIt.insert(ip);
    [[fallthrough]];
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

void QuotaLedger::noteUnavailable(TimePoint now, const std::string &ip) {
  UnavailableHomes[ip] = now + Options.UnavailableHomePause;
  Unconnected.erase(ip);
  Homes.unavailable(ip);
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

} // namespace stepledge::quota
