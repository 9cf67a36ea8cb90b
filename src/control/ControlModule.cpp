// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "control/ControlModule.h"

#include "absl/strings/str_cat.h"

#include <xxhash.h>

#include <random>
#include <utility>

namespace stepledge::control {

namespace {

std::uint64_t randomNumber() {
  std::random_device random;
  return (std::uint64_t{random()} << 32U) | random();
}

/// The number of a member of the first control group; all members of that group
/// must compute the same one.
std::uint64_t initialMemberNumber(const std::string &ip) {
  return XXH64(ip.data(), ip.size(), 0) | 1U;
}

/// The initial state of the first group: its voters and an empty log.
consensus::DurableState initialState(const std::set<std::string> &ips) {
  consensus::DurableState state;
  for (const auto &it : ips) {
    auto &voter = *state.Snapshot.mutable_membership()->add_voters();
    voter.set_number(initialMemberNumber(it));
    voter.set_ip(it);
  }
  return state;
}

} // namespace

ControlModule::ControlModule(asio::io_context &context,
                             ControlModuleOptions options, IPromoter &promoter,
                             IInstanceProbe &probe, IControlLog &log,
                             ReadClock clock)
    : Context(context), Options(std::move(options)), Promoter(promoter),
      Probe(probe), Log(log), Clock(std::move(clock)),
      Store(Options.DataFolder),
      HealthReport([this](const auto &ip) { return Hub->linksTo(ip); }) {}

absl::Status ControlModule::start() {
  if (auto status = openLog(); !status.ok())
    return status;
  peer::wire::Hello hello;
  hello.set_ip(Options.Node.Ip);
  hello.set_hall(Options.Node.Hall);
  hello.set_kind(peer::wire::CONTROL);
  Hub =
      std::make_unique<peer::PeerHub>(Context, hello, Options.PeerPort, *this);
  Options.Node.FirstCallNumber = randomNumber();
  Node = std::make_unique<ControlNode>(Options.Node, *Consensus, *this, *Hub,
                                       Promoter, Probe, Log);
  const auto ec = Hub->listen(Options.ListenIp);
  return ec ? absl::UnavailableError(
                  absl::StrCat("cannot listen for other VMs: ", ec.message()))
            : absl::OkStatus();
}

absl::Status ControlModule::openLog() {
  auto loaded = Store.load();
  if (!loaded.ok())
    return loaded.status();
  const auto &seeds = Options.Node.SeedIps;
  const bool isNew = !*loaded;
  const bool isFirst =
      isNew && Options.IsFirstStart && seeds.contains(Options.Node.Ip);
  consensus::wire::Member self;
  self.set_ip(Options.Node.Ip);
  self.set_hall(Options.Node.Hall);
  consensus::DurableState state;
  if (!isNew) {
    self.set_number((*loaded)->Identity);
    state = std::move((*loaded)->State);
  } else if (isFirst) {
    self.set_number(initialMemberNumber(Options.Node.Ip));
    state = initialState(seeds);
  } else {
    // NOTE: a member with a wiped disk must never vote under its old number.
    self.set_number(randomNumber() | 2U);
  }
  consensus::ConsensusOptions options;
  options.TargetVoters = 2 * Options.TolerableLosses + 1;
  Consensus = std::make_unique<consensus::ConsensusNode>(
      self, options, std::move(state), randomNumber(), Clock());
  Log.log(absl::StrCat("event=log_opened member=", self.number(),
                       " new=", isNew, " first=", isFirst,
                       " commit=", Consensus->commitIndex()));
  startDisk();
  // NOTE: the initial records of a new log go to disk before any others.
  if (isNew)
    Disk->rewrite(0, Consensus->allRecords());
  return absl::OkStatus();
}

void ControlModule::startDisk() {
  Disk = std::make_unique<consensus::DiskWriter>(
      Store,
      [this](std::uint64_t ticket) {
        asio::post(Context, [this, ticket] {
          if (ticket != 0)
            Node->persisted(Clock(), ticket);
        });
      },
      [this](const absl::Status &status) {
        asio::post(Context, [this, text = std::string(status.message())] {
          Log.log(absl::StrCat("event=disk_failed reason=\"", text, "\""));
        });
      });
}

void ControlModule::tick() {
  const TimePoint now = Clock();
  Hub->tick(now);
  Node->tick(now);
  if (const auto line = HealthReport.line(now, Consensus->health(now)))
    Log.log(*line);
}

void ControlModule::append(std::uint64_t ticket,
                           std::vector<consensus::wire::Record> records) {
  Disk->append(ticket, std::move(records));
}

void ControlModule::rewrite(std::uint64_t ticket,
                            std::vector<consensus::wire::Record> records) {
  Disk->rewrite(ticket, std::move(records));
}

void ControlModule::peerConnected(const std::string &ip,
                                  const peer::wire::Hello &hello) {
  Node->setTime(Clock());
  Node->peerConnected(ip, hello);
}

void ControlModule::peerLost(const std::string &ip, peer::LinkEnd end) {
  Node->setTime(Clock());
  Node->peerLost(ip, end);
}

void ControlModule::peerSaid(const std::string &ip,
                             const peer::wire::Message &message) {
  Node->setTime(Clock());
  Node->peerSaid(ip, message);
}

} // namespace stepledge::control
