// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "entry/tests/ControlWorld.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace stepledge::entry::tests {

namespace {

constexpr Duration Step = milliseconds(25);
constexpr Duration NoticeInterval = milliseconds(250);
constexpr Duration FullNoticeInterval = milliseconds(2000);
/// As peer::LinkWatch does.
constexpr Duration SilenceLimit = milliseconds(2000);
/// How often addresses are asked for.
constexpr Duration AskInterval = milliseconds(500);
/// From the start to the first configuration.
constexpr Duration StartTime = milliseconds(1000);
/// Longer than a fetch waits for a VM, and than a silent connection lasts.
constexpr Duration WaitTime = milliseconds(2500);

} // namespace

ControlWorld::ControlWorld(AddressSource source)
    : Source(source), Core({}, Io, Io, Io, Quota) {
  for (int i = 0; i < 3; ++i)
    addMember();
  Version = 1;
  updateAll();
  OlderMembers = Members;
  Seeds = Members;
  EntryOptions options;
  options.Ip = "10.5.0.1";
  options.Hall = "a";
  options.SeedIps = Members;
  Node = std::make_unique<EntryNode>(options, Core, *this, Io);
  run(StartTime);
}

std::string ControlWorld::addMember() {
  auto ip = absl::StrCat("10.0.0.", ++LastMember);
  Members.insert(ip);
  Order.push_back(ip);
  Vms[ip];
  return ip;
}

control::Configuration
ControlWorld::configuration(std::uint64_t version) const {
  control::Configuration made;
  made.Version = version;
  made.Services["db"] = {"db", 23, 0};
  for (std::uint64_t i = 0; i < 4; ++i) {
    control::Route route;
    route.Database = DatabaseId(absl::StrCat("d", version + i));
    route.Service = "db";
    made.Routes[route.Database] = route;
  }
  return made;
}

void ControlWorld::update(ControlVm &vm) {
  vm.Named = Members;
  if (vm.Sender.newest().Version == Version)
    return;
  vm.Sender.take(configuration(Version));
  vm.FullNoticeAt = Now;
  vm.NoticeAt = Now;
}

void ControlWorld::updateAll() {
  for (const auto &ip : Members)
    if (auto &vm = Vms[ip]; vm.IsUp && vm.IsFresh)
      update(vm);
}

void ControlWorld::apply(ControlEvent event) {
  auto &first = Vms[Order.front()];
  switch (event) {
  case ControlEvent::Change:
    ++Version;
    updateAll();
    break;
  case ControlEvent::Replace:
    OlderMembers = Members;
    first.IsUp = false;
    Replaced.push_back(Order.front());
    Members.erase(Order.front());
    Order.erase(Order.begin());
    addMember();
    updateAll();
    break;
  case ControlEvent::OldMemberReturns:
    if (!Replaced.empty())
      bringUp(Replaced.back(), false);
    break;
  case ControlEvent::CutOrHeal:
    IsCut = !IsCut;
    if (IsCut)
      for (auto &[ip, it] : Links)
        it.SilentSince = it.SilentSince.value_or(Now);
    break;
  case ControlEvent::Reset:
    for (const auto &[ip, it] : std::exchange(Links, {})) {
      Vms[ip].LosesRequests = false;
      Node->peerLost(ip, peer::LinkEnd::Reset);
    }
    break;
  case ControlEvent::LoseRequests:
    first.LosesRequests = true;
    break;
  case ControlEvent::IgnoreRequests:
    first.IgnoresRequests = true;
    break;
  case ControlEvent::PowerLoss:
    for (const auto &ip : Members)
      Vms[ip].IsUp = false;
    bringUp(Order.front(), false);
    first.Named = OlderMembers;
    break;
  case ControlEvent::PowerBack:
    for (const auto &ip : Members)
      bringUp(ip, true);
    updateAll();
    break;
  case ControlEvent::NewSeeds:
    Seeds = Members;
    Node->setSeeds(Seeds);
    break;
  case ControlEvent::Wait:
    run(WaitTime);
    break;
  }
  run(Step);
}

void ControlWorld::bringUp(const std::string &ip, bool isFresh) {
  auto &vm = Vms[ip];
  // NOTE: its connections of before are reset at the next packet.
  if (!vm.IsUp && Links.erase(ip) > 0)
    Node->peerLost(ip, peer::LinkEnd::Reset);
  if (!vm.IsUp)
    vm.LosesRequests = vm.IgnoresRequests = false;
  vm.IsUp = true;
  vm.IsFresh = isFresh;
}

void ControlWorld::tellAddresses() {
  if (Now - ToldAt < AskInterval || !Node->needsControlAddresses(Now))
    return;
  ToldAt = Now;
  if (Source == AddressSource::Settings)
    return Node->setSeeds(Seeds);
  const bool isMajorityHeard =
      std::any_of(Members.begin(), Members.end(), [&](const auto &ip) {
        return Vms[ip].IsUp && Vms[ip].IsFresh;
      });
  if (isMajorityHeard)
    Node->addControlAddresses(Members);
}

void ControlWorld::recover() {
  IsCut = false;
  Seeds = Members;
  for (const auto &ip : Members)
    bringUp(ip, true);
  updateAll();
}

Duration ControlWorld::silentFor() const {
  Duration longest{};
  for (const auto &[ip, it] : Links)
    if (it.SilentSince)
      longest = std::max(longest, *it.SilentSince + SilenceLimit - Now);
  return longest;
}

bool ControlWorld::comesUpToDate(Duration limit) {
  const TimePoint end = Now + limit;
  while (heldVersion() < Version && Now < end)
    step();
  return heldVersion() == Version;
}

void ControlWorld::run(Duration time) {
  for (const TimePoint end = Now + time; Now < end;)
    step();
}

void ControlWorld::step() {
  Now += Step;
  Node->setTime(Now);
  closeSilentLinks();
  openLinks();
  sendNotices();
  answer();
  Node->tick(Now);
  tellAddresses();
}

void ControlWorld::closeSilentLinks() {
  std::vector<std::string> silent;
  for (auto &[ip, it] : Links) {
    if (!Vms[ip].IsUp && !it.SilentSince)
      it.SilentSince = Now;
    if (it.SilentSince && Now - *it.SilentSince >= SilenceLimit)
      silent.push_back(ip);
  }
  for (const auto &ip : silent) {
    Links.erase(ip);
    Node->peerLost(ip, peer::LinkEnd::Silent);
  }
}

void ControlWorld::openLinks() {
  if (IsCut)
    return;
  // NOTE: one at a time, and those that aren't members any more first: what
  // they say is heard before the others are connected.
  std::string opened;
  for (const auto &ip : Wanted) {
    const auto vm = Vms.find(ip);
    if (vm == Vms.end() || !vm->second.IsUp || Links.contains(ip))
      continue;
    if (opened.empty() || Members.contains(opened))
      opened = ip;
  }
  if (opened.empty())
    return;
  Links[opened];
  Node->peerConnected(opened, {});
  notice(opened, Vms[opened], true);
}

void ControlWorld::sendNotices() {
  for (auto &[ip, vm] : Vms) {
    if (!vm.IsUp || Now < vm.NoticeAt)
      continue;
    vm.NoticeAt = Now + NoticeInterval;
    const bool isFull = Now >= vm.FullNoticeAt;
    if (isFull)
      vm.FullNoticeAt = Now + FullNoticeInterval;
    notice(ip, vm, isFull);
  }
}

void ControlWorld::notice(const std::string &ip, ControlVm &vm, bool isFull) {
  peer::wire::Message message;
  auto &out = *message.mutable_notice();
  out.set_configuration_version(vm.Sender.newest().Version);
  out.set_is_fresh(vm.IsFresh);
  if (isFull)
    for (const auto &it : vm.Named)
      out.add_control_ips(it);
  ToEntry.emplace_back(ip, std::move(message));
}

bool ControlWorld::send(const std::string &ip,
                        const peer::wire::Message &message) {
  const auto link = Links.find(ip);
  if (link == Links.end())
    return false;
  auto &vm = Vms[ip];
  const bool isLost = !vm.IsUp || link->second.SilentSince || vm.LosesRequests;
  if (isLost || vm.IgnoresRequests || !message.has_configuration_request())
    return true;
  auto part = vm.Sender.answer("10.5.0.1", message.configuration_request());
  if (!part)
    return true;
  peer::wire::Message reply;
  *reply.mutable_configuration_part() = *std::move(part);
  ToEntry.emplace_back(ip, std::move(reply));
  return true;
}

void ControlWorld::answer() {
  for (const auto &[ip, message] : std::exchange(ToEntry, {})) {
    const auto link = Links.find(ip);
    if (link != Links.end() && !link->second.SilentSince)
      Node->peerSaid(ip, message);
  }
}

void ControlWorld::keepConnected(const std::set<std::string> &ips) {
  Wanted = ips;
  // NOTE: as PeerHub, which tells of no end that was wanted.
  std::erase_if(Links, [&](const auto &it) { return !ips.contains(it.first); });
}

} // namespace stepledge::entry::tests
