// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Control VMs in one process that reach only those to whom one of the
/// two keeps a connection.

#ifndef STEPLEDGE_CONTROL_TESTS_JOININGCONTROLS_H
#define STEPLEDGE_CONTROL_TESTS_JOININGCONTROLS_H

#include "control/tests/FakeControls.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace stepledge::control::tests {

class JoiningControls {
public:
  /// The VMs of the very first start.
  static constexpr std::size_t FirstVms = 3;

  JoiningControls();

  void run(Duration time);
  /// The VM goes without a word, and its disk with it.
  void remove(std::size_t vm);
  /// All go down at once, and come back with their disks, but for the one of
  /// \p wiped.
  void restartAll(std::size_t wiped);
  /// Starts an empty VM whose settings name \p seeds, and gives its index.
  std::size_t add(const std::set<std::size_t> &seeds);
  /// What its settings name from its next start on.
  void setSeeds(std::size_t vm, std::set<std::size_t> seeds) {
    Vms[vm]->Seeds = std::move(seeds);
  }
  bool isVoter(std::size_t vm) const;
  /// The index of the VM that leads, or the number of VMs.
  std::size_t leader() const;
  /// An entry VM connects to the VM.
  void connectEntry(const std::string &ip, std::size_t vm);
  /// The members that the VM has named to entry VMs since the last call, one
  /// after the other.
  std::vector<std::set<std::string>> toldMembers(std::size_t vm) {
    return std::exchange(Vms[vm]->ToldMembers, {});
  }
  TimePoint now() const { return Now; }
  /// A change of the configuration, whose acknowledgement is awaited for a
  /// second.
  bool change(std::size_t vm, std::uint64_t version);
  ControlNode &node(std::size_t vm) { return *Vms[vm]->Node; }
  /// Whether messages between the two arrive.
  bool isLinked(std::size_t one, std::size_t other) const;

  static std::string ipOf(std::size_t vm) {
    return "10.0.0." + std::to_string(vm + 1);
  }

private:
  struct Vm : public ILogWriter, public peer::IPeerSender, public IControlLog {
    JoiningControls *Group = nullptr;
    std::size_t Index = 0;
    consensus::MemberNumber Number = 0;
    std::set<std::size_t> Seeds;
    std::set<std::string> Kept;
    std::vector<std::set<std::string>> ToldMembers;
    std::vector<consensus::wire::Record> Disk;
    std::vector<std::uint64_t> Written;
    std::unique_ptr<consensus::ConsensusNode> Consensus;
    std::unique_ptr<ControlNode> Node;

    void append(std::uint64_t ticket,
                std::vector<consensus::wire::Record> records) override;
    void rewrite(std::uint64_t ticket,
                 std::vector<consensus::wire::Record> records) override;
    bool send(const std::string &ip,
              const peer::wire::Message &message) override;
    void keepConnected(const std::set<std::string> &ips) override {
      Kept = ips;
    }
    void log(const std::string &line) override { (void)line; }
  };
  struct Packet {
    std::size_t From = 0;
    std::size_t To = 0;
    peer::wire::Message Message;
  };

  void start(Vm &vm);
  void stop(Vm &vm);
  /// Makes the connections that one side wants now.
  void connect();
  void deliver();
  std::size_t indexOf(const std::string &ip) const;

  FakePlatform Platform;
  std::vector<std::unique_ptr<Vm>> Vms;
  std::vector<Packet> Packets;
  std::set<std::pair<std::size_t, std::size_t>> Links;
  std::uint64_t Starts = 0;
  TimePoint Now = TimePoint(std::chrono::seconds(1));
};

} // namespace stepledge::control::tests

#endif // STEPLEDGE_CONTROL_TESTS_JOININGCONTROLS_H
