// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "control/tests/JoiningControls.h"

#include "control/tests/DiskRecords.h"

#include <algorithm>

namespace stepledge::control::tests {

namespace {

constexpr Duration Step = milliseconds(10);
constexpr Duration AnswerTime = milliseconds(1000);
/// Numbers of wiped disks follow this one.
constexpr std::uint64_t FirstLaterNumber = 1000;

absl::StatusOr<Configuration> decodeNothing(const std::string &document) {
  (void)document;
  return Configuration();
}

} // namespace

JoiningControls::JoiningControls() {
  for (std::size_t i = 0; i < FirstVms; ++i)
    add({0, 1, 2});
}

std::size_t JoiningControls::add(const std::set<std::size_t> &seeds) {
  Vms.push_back(std::make_unique<Vm>());
  auto &vm = *Vms.back();
  vm.Group = this;
  vm.Index = Vms.size() - 1;
  vm.Number = 1 + vm.Index;
  vm.Seeds = seeds;
  start(vm);
  return vm.Index;
}

void JoiningControls::start(Vm &vm) {
  consensus::wire::Member self;
  self.set_number(vm.Number);
  self.set_ip(ipOf(vm.Index));
  self.set_hall("hall-" + std::to_string(vm.Index % FirstVms));
  consensus::DurableState state;
  for (std::size_t i = 0; i < FirstVms && vm.Number <= FirstVms; ++i) {
    auto &voter = *state.Snapshot.mutable_membership()->add_voters();
    voter.set_number(1 + i);
    voter.set_ip(ipOf(i));
    voter.set_hall("hall-" + std::to_string(i));
  }
  vm.Consensus = std::make_unique<consensus::ConsensusNode>(
      self, consensus::ConsensusOptions(), replayed(std::move(state), vm.Disk),
      ++Starts, Now);
  ControlOptions options;
  options.NodeName = "control-" + std::to_string(vm.Index);
  options.Ip = ipOf(vm.Index);
  for (const auto it : vm.Seeds)
    options.SeedIps.insert(ipOf(it));
  options.FirstCallNumber = Starts * 1000;
  options.Decode = decodeNothing;
  vm.Node = std::make_unique<ControlNode>(options, *vm.Consensus, vm, vm,
                                          Platform, Platform, vm);
}

void JoiningControls::stop(Vm &vm) {
  vm.Node.reset();
  vm.Consensus.reset();
  vm.Written.clear();
  vm.Kept.clear();
  std::erase_if(Packets, [&](const auto &it) {
    return it.From == vm.Index || it.To == vm.Index;
  });
  for (std::size_t i = 0; i < Vms.size(); ++i) {
    if (Links.erase(std::minmax(i, vm.Index)) == 0 || !Vms[i]->Node)
      continue;
    Vms[i]->Node->setTime(Now);
    Vms[i]->Node->peerLost(ipOf(vm.Index), peer::LinkEnd::Silent);
  }
}

void JoiningControls::remove(std::size_t vm) { stop(*Vms[vm]); }

void JoiningControls::restartAll(std::size_t wiped) {
  std::vector<std::size_t> running;
  for (const auto &it : Vms)
    if (it->Node)
      running.push_back(it->Index);
  for (const auto it : running)
    stop(*Vms[it]);
  Vms[wiped]->Disk.clear();
  Vms[wiped]->Number = FirstLaterNumber + wiped;
  for (const auto it : running)
    start(*Vms[it]);
}

std::size_t JoiningControls::indexOf(const std::string &ip) const {
  for (std::size_t i = 0; i < Vms.size(); ++i)
    if (ipOf(i) == ip)
      return i;
  return Vms.size();
}

bool JoiningControls::isLinked(std::size_t one, std::size_t other) const {
  return Links.contains(std::minmax(one, other));
}

void JoiningControls::connect() {
  for (const auto &from : Vms) {
    for (const auto &ip : std::set<std::string>(from->Kept)) {
      const auto to = indexOf(ip);
      if (to >= Vms.size() || to == from->Index || !Vms[to]->Node ||
          !from->Node || !Links.insert(std::minmax(from->Index, to)).second)
        continue;
      peer::wire::Hello hello;
      hello.set_kind(peer::wire::CONTROL);
      hello.set_ip(ipOf(from->Index));
      from->Node->setTime(Now);
      from->Node->peerConnected(ip, {});
      Vms[to]->Node->setTime(Now);
      Vms[to]->Node->peerConnected(ipOf(from->Index), hello);
    }
  }
  // NOTE: a connection that neither side wants any more is closed.
  std::erase_if(Links, [this](const auto &it) {
    return !Vms[it.first]->Kept.contains(ipOf(it.second)) &&
           !Vms[it.second]->Kept.contains(ipOf(it.first));
  });
}

void JoiningControls::deliver() {
  for (const auto &it : std::exchange(Packets, {})) {
    auto &to = *Vms[it.To];
    if (!to.Node)
      continue;
    to.Node->setTime(Now);
    to.Node->peerSaid(ipOf(it.From), it.Message);
  }
}

void JoiningControls::run(Duration time) {
  const TimePoint end = Now + time;
  while (Now < end) {
    Now += Step;
    connect();
    for (std::size_t i = 0; i < Vms.size(); ++i) {
      auto &vm = *Vms[i];
      if (!vm.Node)
        continue;
      for (const auto ticket : std::exchange(vm.Written, {}))
        vm.Node->persisted(Now, ticket);
      vm.Node->tick(Now);
    }
    deliver();
  }
}

void JoiningControls::connectEntry(const std::string &ip, std::size_t vm) {
  peer::wire::Hello hello;
  hello.set_kind(peer::wire::ENTRY);
  hello.set_ip(ip);
  node(vm).setTime(Now);
  node(vm).peerConnected(ip, hello);
}

bool JoiningControls::isVoter(std::size_t vm) const {
  return Vms[vm]->Consensus && Vms[vm]->Consensus->isVoter();
}

std::size_t JoiningControls::leader() const {
  for (const auto &it : Vms)
    if (it->Consensus && it->Consensus->canServe())
      return it->Index;
  return Vms.size();
}

bool JoiningControls::change(std::size_t vm, std::uint64_t version) {
  bool isDone = false;
  node(vm).putConfiguration(Now, version, "document",
                            [&](bool done) { isDone = done; });
  run(AnswerTime);
  return isDone;
}

void JoiningControls::Vm::append(std::uint64_t ticket,
                                 std::vector<consensus::wire::Record> records) {
  for (auto &it : records)
    Disk.push_back(std::move(it));
  Written.push_back(ticket);
}

void JoiningControls::Vm::rewrite(
    std::uint64_t ticket, std::vector<consensus::wire::Record> records) {
  Disk = std::move(records);
  Written.push_back(ticket);
}

bool JoiningControls::Vm::send(const std::string &ip,
                               const peer::wire::Message &message) {
  const auto &told = message.notice().control_ips();
  if (!told.empty())
    ToldMembers.emplace_back(told.begin(), told.end());
  const auto to = Group->indexOf(ip);
  if (to >= Group->Vms.size() || !Group->isLinked(Index, to))
    return false;
  Group->Packets.push_back({Index, to, message});
  return true;
}

} // namespace stepledge::control::tests
