// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "entry/QuotaService.h"

#include "base/LogField.h"

#include "absl/strings/str_cat.h"

namespace stepledge::entry {

namespace {

constexpr Duration UseLogInterval = milliseconds(1000);
/// The organisations that are logged in each interval.
constexpr std::size_t MaxUseLines = 3;

/// One that this version doesn't know says nothing of the quota.
quota::GrantResult resultOf(std::uint32_t result) {
  const auto last = static_cast<std::uint32_t>(quota::GrantResult::NoQuota);
  return result <= last ? static_cast<quota::GrantResult>(result)
                        : quota::GrantResult::Unknown;
}

} // namespace

void QuotaAskerEvents::setTime(TimePoint now) { Service.setTime(now); }

void QuotaAskerEvents::peerSaid(const std::string &ip,
                                const peer::wire::Message &message) {
  if (message.has_quota_ask())
    Service.takeAsk(ip, message.quota_ask());
  else if (message.has_quota_presence())
    Service.takePresence(ip, message.quota_presence());
}

void QuotaService::wire(proxy::Proxy &proxy, BorrowedConnections &connections) {
  Proxy = &proxy;
  Connections = &connections;
}

void QuotaService::tick(TimePoint now) {
  Now = now;
  Ledger.tick(now);
  keepHomes();
  if (now - UseLoggedAt >= UseLogInterval)
    logUse(now);
}

void QuotaService::logUse(TimePoint now) {
  UseLoggedAt = now;
  for (const auto &it : Ledger.takeUse(MaxUseLines))
    Log.decision(absl::StrCat(
        "event=quota_use organisation=", logField(it.Organisation.str()),
        " granted=", it.Granted, " refused=", it.Refused, " lent=", it.Lent,
        " borrowed=", it.Borrowed, " held=", it.Held, " home=", it.IsHome));
}

void QuotaService::keepHomes() {
  auto ips = Ledger.homesToConnect();
  if (ips.empty())
    FarHomes.clear();
  ips.insert(FarHomes.begin(), FarHomes.end());
  Connections->keepAlso(KeptFor::Quota, std::move(ips));
}

void QuotaService::peerConnected(const std::string &ip,
                                 const peer::wire::Hello &hello) {
  (void)hello;
  Ledger.homeConnected(ip);
}

void QuotaService::peerLost(const std::string &ip, peer::LinkEnd end) {
  (void)end;
  Ledger.homeLost(Now, ip);
}

void QuotaService::peerSaid(const std::string &ip,
                            const peer::wire::Message &message) {
  if (!message.has_quota_grant())
    return;
  const auto &in = message.quota_grant();
  Ledger.receiveGrant(Now, ip,
                      {in.number(), OrganisationId(in.organisation()),
                       resultOf(in.result()), in.operations(),
                       Duration(in.retry_after_us())});
}

void QuotaService::takeAsk(const std::string &ip,
                           const peer::wire::QuotaAsk &ask) {
  Ledger.receiveAsk(Now, ip,
                    {ask.number(), OrganisationId(ask.organisation()),
                     ask.operations(), ask.is_from_other_hall(),
                     ask.priority()});
}

void QuotaService::takePresence(const std::string &ip,
                                const peer::wire::QuotaPresence &presence) {
  Ledger.receivePresence(Now, ip, presence.is_leaving());
}

void QuotaService::tellPresence(const std::string &ip, bool isLeaving) {
  peer::wire::Message message;
  message.mutable_quota_presence()->set_is_leaving(isLeaving);
  Homes.send(ip, message);
}

bool QuotaService::askHome(const std::string &ip, const quota::QuotaAsk &ask) {
  peer::wire::Message message;
  auto &out = *message.mutable_quota_ask();
  out.set_number(ask.Number);
  out.set_organisation(ask.Organisation.str());
  out.set_operations(ask.Operations);
  out.set_is_from_other_hall(ask.IsFromOtherHall);
  out.set_priority(ask.Priority);
  if (ask.IsFromOtherHall && FarHomes.insert(ip).second)
    keepHomes();
  return Homes.send(ip, message);
}

void QuotaService::sendGrant(const std::string &ip,
                             const quota::QuotaGrant &grant) {
  peer::wire::Message message;
  auto &out = *message.mutable_quota_grant();
  out.set_number(grant.Number);
  out.set_organisation(grant.Organisation.str());
  out.set_result(static_cast<std::uint32_t>(grant.Result));
  out.set_operations(grant.Operations);
  out.set_retry_after_us(grant.RetryAfter.count());
  Askers.send(ip, message);
}

void QuotaService::quotaChanged(const OrganisationId &organisation) {
  Proxy->quotaChanged(Now, organisation);
}

} // namespace stepledge::entry
