// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "entry/EntryNode.h"

#include "base/LogField.h"
#include "peer/InstanceCodec.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include <algorithm>
#include <utility>

namespace stepledge::entry {

EntryNode::EntryNode(EntryOptions options, proxy::Proxy &proxy,
                     peer::IPeerSender &peers, proxy::IProxyLog &log)
    : Options(std::move(options)), Proxy(proxy), Peers(peers), Log(log),
      Fetch(peers), Contact(Options.IsolationLimit),
      Addresses(Options.SeedIps) {
  reviewAddresses();
}

void EntryNode::setSeeds(std::set<std::string> ips) {
  Addresses.setSeeds(std::move(ips));
  reviewAddresses();
}

bool EntryNode::needsControlAddresses(TimePoint now) const {
  return ControlLostAt && now - *ControlLostAt >= Options.AddressSearchDelay;
}

void EntryNode::addControlAddresses(const std::set<std::string> &ips) {
  Addresses.add(ips);
  reviewAddresses();
}

std::set<std::string> EntryNode::controlMembers() const {
  return ControlLostAt ? std::set<std::string>() : Addresses.members();
}

std::set<std::string> EntryNode::otherEntryIps() const {
  std::set<std::string> ips;
  for (const auto &it : Entries.all())
    ips.insert(it.Ip);
  ips.erase(Options.Ip);
  return ips;
}

void EntryNode::reviewAddresses() {
  auto ips = Addresses.wanted(ControlLostAt.has_value(), Connected);
  if (ips == KeptIps)
    return;
  KeptIps = std::move(ips);
  Peers.keepConnected(KeptIps);
}

void EntryNode::tick(TimePoint now) {
  // NOTE: not since the last event: a word of a control VM that waited while
  // this VM stood still may be handled before the first tick.
  if (TickedAt != TimePoint{} && now - TickedAt > Options.StandstillLimit) {
    Log.decision(absl::StrCat("event=stood_still for_ms=",
                              toMilliseconds(now - TickedAt)));
    Proxy.clearProofs();
  }
  TickedAt = now;
  Now = now;
  if (StartedAt == TimePoint{})
    StartedAt = now;
  Proxy.tick(now);
  reviewSources();
  auto sights = Proxy.primaryObservations(now);
  checkIsolation(sights);
  // NOTE: control would otherwise take this VM for one that watches no primary.
  for (auto &it : Proxy.unledServices(now))
    sights.push_back(std::move(it));
  const bool isAlarmed =
      std::any_of(sights.begin(), sights.end(),
                  [](const auto &it) { return it.SilentFor > Duration{}; });
  const Duration interval =
      isAlarmed ? Options.AlarmInterval : Options.SightInterval;
  if (now - SightsAt >= interval) {
    SightsAt = now;
    tellSights(sights);
  }
}

void EntryNode::checkIsolation(
    const std::vector<proxy::PrimaryObservation> &sights) {
  int silent = 0;
  for (const auto &it : sights)
    silent += it.SilentFor > Duration{};
  const bool isMostSilent = 2 * silent > static_cast<int>(sights.size());
  updateSource();
  const bool isIsolated = Source.IsControlLost && isMostSilent;
  if (std::exchange(IsIsolated, isIsolated) == isIsolated)
    return;
  Proxy.setIsolated(isIsolated);
  Log.decision(absl::StrCat("event=isolation isolated=", isIsolated,
                            " silent_primaries=", silent));
}

void EntryNode::tellSights(const std::vector<proxy::PrimaryObservation> &all) {
  peer::wire::Message message;
  message.mutable_sights();
  for (const auto &it : all) {
    auto &sight = *message.mutable_sights()->add_sights();
    sight.set_service(it.Service);
    sight.set_instance(it.Primary.str());
    sight.set_born_ms(it.StartTimeMs);
    sight.set_silent_ms(
        static_cast<std::uint64_t>(toMilliseconds(it.SilentFor)));
  }
  if (Now - AllSightsAt >= Options.AllSightsInterval) {
    AllSightsAt = Now;
    ToldSights.clear();
  }
  const std::string sights = message.sights().SerializeAsString();
  peer::wire::Message unchanged;
  unchanged.mutable_sights()->set_is_unchanged(true);
  for (const auto &it : Connected) {
    auto &told = ToldSights[it];
    const bool isKnown = !sights.empty() && told == sights;
    Peers.send(it, isKnown ? unchanged : message);
    told = sights;
  }
}

void EntryNode::reviewSources() {
  const auto change = Sources.review(Now);
  const auto tell = [this](const std::string &ip, bool isWanted) {
    peer::wire::Message message;
    message.mutable_instances_wanted()->set_is_wanted(isWanted);
    Peers.send(ip, message);
  };
  for (const auto &it : change.Wanted)
    tell(it, true);
  for (const auto &it : change.Unwanted)
    tell(it, false);
}

void EntryNode::peerConnected(const std::string &ip,
                              const peer::wire::Hello &hello) {
  (void)hello;
  Connected.insert(ip);
  ToldSights.erase(ip);
  Sources.connected(Now, ip);
  reviewSources();
  tellHeld(ip);
  Log.decision(absl::StrCat("event=control_connected ip=", ip));
}

void EntryNode::tellHeld(const std::string &ip) {
  if (Proxy.configurationVersion() == 0)
    return;
  peer::wire::Message message;
  message.mutable_configuration_held()->set_version(
      Proxy.configurationVersion());
  Peers.send(ip, message);
}

void EntryNode::peerLost(const std::string &ip, peer::LinkEnd end) {
  Connected.erase(ip);
  ToldSights.erase(ip);
  Contact.lost(ip);
  Announced.lost(ip);
  Sources.lost(ip);
  Entries.lost(ip);
  Fetch.connectionLost(ip);
  if (ip == AnnouncerIp)
    AnnouncerIp.clear();
  Log.decision(absl::StrCat("event=control_lost ip=", ip, " reason=",
                            std::string(nameIn(peer::LinkEndNames, end))));
}

void EntryNode::peerSaid(const std::string &ip,
                         const peer::wire::Message &message) {
  if (message.has_notice())
    onNotice(ip, message.notice());
  else if (message.has_configuration_part())
    onPart(ip, message.configuration_part());
  else if (message.has_instances())
    for (const auto &it : message.instances().instances())
      onInstance(ip, it);
}

void EntryNode::onInstance(const std::string &ip,
                           const peer::wire::Instance &instance) {
  if (const auto record = peer::decode(instance))
    return Proxy.applyInstance(Now, *record);
  if (const auto leftOut = UnreadableLines.take(Now))
    Log.decision(
        absl::StrCat("event=instance_unreadable ip=", ip,
                     " instance=", logField(instance.id().substr(0, 64)),
                     " state=", instance.state(), " left_out=", *leftOut));
}

void EntryNode::onNotice(const std::string &ip,
                         const peer::wire::Notice &notice) {
  // NOTE: the control VM of a hall that is cut off goes on speaking.
  Contact.heard(Now, ip, notice.is_fresh());
  noteVersion(ip, notice);
  if (notice.is_fresh())
    Sources.heardFresh(Now, ip);
  if (Entries.take(ip, notice))
    shareEntries();
  for (const auto &it : notice.promotions())
    Proxy.applyPromotion(Now, it.service(),
                         {InstanceId(it.instance()), it.born_ms(), it.fence()});
  noteMembers(notice);
  // NOTE: while the control group has no leader, an older state is better than
  // none, but only once there was time for a newer one. While control VMs come
  // back one after the other, the next one may make a majority.
  if (NoticedIps.insert(ip).second)
    NoticedAt = Now;
  const bool mayTake =
      notice.is_fresh() || Now - NoticedAt > Options.FreshLimit;
  if (mayTake &&
      notice.configuration_version() > Proxy.configurationVersion()) {
    AnnouncerIp = ip;
    AnnouncedVersion = notice.configuration_version();
    fetch();
  }
}

void EntryNode::noteMembers(const peer::wire::Notice &notice) {
  if (notice.control_ips_size() == 0)
    return;
  const std::set<std::string> ips(notice.control_ips().begin(),
                                  notice.control_ips().end());
  if (notice.is_fresh()) {
    Contact.setMembers(ips);
    Addresses.setMembers(ips);
  } else {
    Addresses.add(ips);
  }
  reviewAddresses();
}

void EntryNode::noteVersion(const std::string &ip,
                            const peer::wire::Notice &notice) {
  const ControlVersion announced{notice.configuration_version(),
                                 notice.is_fresh()};
  if (Announced.heard(ip, announced))
    Log.decision(absl::StrCat(
        "event=control_version ip=", ip, " version=", announced.Version,
        " fresh=", announced.IsFresh, " held=", Proxy.configurationVersion()));
  updateSource();
}

void EntryNode::updateSource() {
  Source.NewestAnnounced = Announced.newest();
  Source.IsControlLost = Contact.isLost(Now);
  Proxy.setSource(Source);
  noteContact();
  const auto held = Proxy.configurationVersion();
  const bool mayBeOutdated = held > 0 && Source.mayBeOutdated(held);
  if (const auto line = Outdated.line(Now, mayBeOutdated))
    Log.decision(
        absl::StrCat(*line, " config=", held, " ", Source.describe(Now),
                     " for_ms=", toMilliseconds(Outdated.lastedFor(Now)),
                     " connected=", absl::StrJoin(Connected, ","),
                     " kept=", absl::StrJoin(KeptIps, ","),
                     " fresh_ips=", absl::StrJoin(Announced.freshIps(), ","),
                     " ", Fetch.describe(Now)));
}

void EntryNode::noteContact() {
  if (Source.IsControlLost == ControlLostAt.has_value())
    return;
  ControlLostAt = Source.IsControlLost ? std::optional(Now) : std::nullopt;
  reviewAddresses();
}

void EntryNode::shareEntries() {
  auto all = Entries.all();
  all.insert({Options.Ip, HallId(Options.Hall)});
  Proxy.setEntries({all.begin(), all.end()});
}

void EntryNode::fetch() {
  const auto held = Proxy.configurationVersion();
  if (AnnouncerIp.empty() || AnnouncedVersion <= held)
    return;
  if (Fetch.start(Now, AnnouncerIp, NeedsWhole ? 0 : held))
    Log.decision(absl::StrCat("event=configuration_asked ip=", AnnouncerIp,
                              " held=", held, " announced=", AnnouncedVersion,
                              " whole=", NeedsWhole));
}

void EntryNode::onPart(const std::string &ip,
                       const peer::wire::ConfigurationPart &part) {
  switch (Fetch.take(Now, ip, part)) {
  case distribution::PartResult::Unexpected:
  case distribution::PartResult::Taken:
    return;
  case distribution::PartResult::Nothing:
    Log.decision(absl::StrCat("event=configuration_not_sent ip=", ip,
                              " held=", Proxy.configurationVersion()));
    return;
  case distribution::PartResult::Unreadable:
    Log.decision(absl::StrCat("event=configuration_unreadable ip=", ip,
                              " bytes=", part.total()));
    NeedsWhole = true;
    return Fetch.reject(Now);
  case distribution::PartResult::Complete:
    break;
  }
  NeedsWhole = !takeChange(ip);
  if (NeedsWhole)
    return Fetch.reject(Now);
  Fetch.accept();
  // NOTE: a newer one may have been announced meanwhile.
  fetch();
}

bool EntryNode::takeChange(const std::string &ip) {
  const auto &change = Fetch.delta();
  if (change.To <= Proxy.configurationVersion())
    return true;
  auto configuration = Proxy.configuration();
  if (!distribution::applyDelta(configuration, change)) {
    Log.decision(absl::StrCat("event=configuration_mismatch from=", change.From,
                              " version=", change.To,
                              " held=", Proxy.configurationVersion()));
    return false;
  }
  Log.decision(absl::StrCat("event=configuration version=", change.To,
                            " digest=", absl::Hex(change.Digest),
                            " from=", change.From,
                            " routes=", configuration.Routes.size(), " ip=", ip,
                            " fresh=", Announced.isFresh(ip)));
  if (Proxy.configurationVersion() == 0)
    Log.decision(absl::StrCat("event=first_configuration after_ms=",
                              toMilliseconds(Now - StartedAt), " ip=", ip));
  Source.Ip = ip;
  Source.WasFresh = Announced.isFresh(ip);
  Source.TakenAt = Now;
  updateSource();
  Proxy.applyConfiguration(Now, std::move(configuration));
  for (const auto &it : Connected)
    tellHeld(it);
  return true;
}

} // namespace stepledge::entry
