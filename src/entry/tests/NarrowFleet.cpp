// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "entry/tests/NarrowFleet.h"

#include "control/tests/RouteListDocument.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace stepledge::entry::tests {

namespace {

/// 2 Mbit/s.
constexpr std::size_t LinkBytesPerSecond = 250'000;
constexpr Duration Step = milliseconds(10);
constexpr std::size_t ControlVms = 3;
/// As PeerHub does: without a whole message for so long, the connection is
/// opened anew.
constexpr Duration SilenceLimit = milliseconds(3000);
constexpr Duration RequestInterval = milliseconds(50);
constexpr std::size_t RequestBytes = 150;
/// The client's connection; those of control VMs have their VM's number.
constexpr int ClientConnection = 100;
const std::string EntryIp = "10.5.0.1";

EntryOptions entryOptions() {
  EntryOptions options;
  options.Ip = EntryIp;
  options.Hall = "a";
  return options;
}

membership::InstanceRecord primary() {
  membership::InstanceRecord record;
  record.Id = InstanceId("p");
  record.Service = "db";
  record.Address = "10.6.0.1:1";
  record.Role = membership::InstanceRole::Primary;
  record.Sequence = 1;
  return record;
}

} // namespace

NarrowFleet::EntryVm::EntryVm(NarrowFleet &fleet)
    : Fleet(fleet), Core({}, Io, Io, Io, Quota),
      Node(entryOptions(), Core, *this, Io) {}

bool NarrowFleet::EntryVm::send(const std::string &ip,
                                const peer::wire::Message &message) {
  for (std::size_t vm = 0; vm < ControlVms; ++vm)
    if (Fleet.HeardAt.contains(vm) &&
        ip == control::tests::FakeControls::ipOf(vm))
      Fleet.Controls.sendFromPeer(EntryIp, vm, message);
  return true;
}

NarrowFleet::NarrowFleet()
    : Controls(control::tests::decodeRouteList), Link(LinkBytesPerSecond) {
  Controls.OnSentToEntry = [this](std::size_t vm, const std::string &ip,
                                  const peer::wire::Message &message) {
    if (ip == EntryIp && HeardAt.contains(vm))
      toEntry(vm, message);
  };
  run(milliseconds(1500));
  Controls.node(Controls.leader()).receiveHeartbeat(now(), primary(), [](bool) {
  });
  run(milliseconds(300));
}

NarrowFleet::~NarrowFleet() = default;

void NarrowFleet::startEntry() {
  for (std::size_t vm = 0; vm < ControlVms; ++vm)
    if (HeardAt.contains(vm))
      lose(vm);
  ++Life;
  Entry = std::make_unique<EntryVm>(*this);
  Entry->Node.tick(now());
  for (std::size_t vm = 0; vm < ControlVms; ++vm)
    connect(vm);
}

void NarrowFleet::restartAll() {
  Controls.restartAll();
  startEntry();
}

void NarrowFleet::put(std::uint64_t version, const std::string &document) {
  std::optional<bool> done;
  Controls.node(0).putConfiguration(now(), version, document,
                                    [&done](bool ok) { done = ok; });
  while (!done)
    step();
}

void NarrowFleet::run(Duration time) {
  const TimePoint end = now() + time;
  while (now() < end)
    step();
}

Duration NarrowFleet::runUntilHeld(std::uint64_t version, Duration limit) {
  const TimePoint start = now();
  while (heldVersion() < version && now() - start < limit)
    step();
  return now() - start;
}

Duration NarrowFleet::runUntilReady(Duration limit) {
  const TimePoint start = now();
  while (!isReady() && now() - start < limit)
    step();
  return now() - start;
}

std::uint64_t NarrowFleet::heldVersion() const {
  return Entry ? Entry->Core.configurationVersion() : 0;
}

void NarrowFleet::resetFigures() {
  Lost = 0;
  NotReadyFor = {};
  SlowestRequest = {};
  Through = Link.bytesThrough();
}

void NarrowFleet::step() {
  Controls.run(Step);
  if (!Entry)
    return;
  Entry->Node.setTime(now());
  sendRequest();
  Link.run(Step);
  Entry->Node.tick(now());
  if (!isReady())
    NotReadyFor += Step;
  for (std::size_t vm = 0; vm < ControlVms; ++vm) {
    if (!HeardAt.contains(vm)) {
      connect(vm);
    } else if (now() - HeardAt[vm] > SilenceLimit) {
      ++Lost;
      lose(vm);
    }
  }
}

void NarrowFleet::sendRequest() {
  if (now() < RequestAt)
    return;
  RequestAt = now() + RequestInterval;
  Link.send(ClientConnection, RequestBytes, [this, sent = now()] {
    SlowestRequest = std::max(SlowestRequest, now() - sent);
  });
}

void NarrowFleet::connect(std::size_t vm) {
  HeardAt[vm] = now();
  peer::wire::Hello hello;
  hello.set_ip(EntryIp);
  hello.set_hall("a");
  hello.set_kind(peer::wire::ENTRY);
  Controls.connectPeer(EntryIp, vm, hello);
  Entry->Node.peerConnected(control::tests::FakeControls::ipOf(vm), {});
}

void NarrowFleet::lose(std::size_t vm) {
  HeardAt.erase(vm);
  Link.drop(static_cast<int>(vm));
  Controls.disconnectPeer(EntryIp, vm);
  Entry->Node.peerLost(control::tests::FakeControls::ipOf(vm),
                       peer::LinkEnd::Silent);
}

void NarrowFleet::toEntry(std::size_t vm, const peer::wire::Message &message) {
  Link.send(static_cast<int>(vm), message.ByteSizeLong(),
            [this, vm, message, life = Life] {
              if (life != Life || !HeardAt.contains(vm))
                return;
              HeardAt[vm] = now();
              Entry->Node.setTime(now());
              Entry->Node.peerSaid(control::tests::FakeControls::ipOf(vm),
                                   message);
            });
}

} // namespace stepledge::entry::tests
