// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Control VMs in one process, with connections that a test can
/// interrupt.

#ifndef STEPLEDGE_CONTROL_TESTS_FAKECONTROLS_H
#define STEPLEDGE_CONTROL_TESTS_FAKECONTROLS_H

#include "control/ControlNode.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace stepledge::control::tests {

/// Records orders and answers them at once.
class FakePlatform : public IPromoter, public IInstanceProbe {
public:
  void promote(const PromotionOrder &order,
               std::function<void(PromotionResult)> onDone) override {
    Orders.push_back(order);
    if (HoldsOrders)
      HeldOrders.push_back(std::move(onDone));
    else if (AnswersOrders)
      onDone(PromotionResult::Accepted);
    else
      onDone(PromotionResult::NoAnswer);
  }
  void askStatus(
      const membership::InstanceRecord &instance,
      std::function<void(std::optional<InstanceStatus>)> onDone) override {
    if (HoldsStatuses) {
      HeldStatuses.emplace_back(instance.Id, std::move(onDone));
      return;
    }
    const auto it = Statuses.find(instance.Id);
    onDone(it == Statuses.end() ? std::nullopt : std::optional(it->second));
  }
  void pause(const membership::InstanceRecord &instance, Term term,
             std::function<void(std::optional<PausedStatus>)> onDone) override {
    Paused[instance.Id] = term;
    askStatus(instance, [onDone = std::move(onDone)](const auto &status) {
      onDone(status ? std::optional(PausedStatus{*status}) : std::nullopt);
    });
  }
  void
  demote(const membership::InstanceRecord &instance, Term term,
         std::function<void(std::optional<InstanceStatus>)> onDone) override {
    Demoted[instance.Id] = term;
    if (const auto it = Statuses.find(instance.Id); it != Statuses.end())
      it->second.Role = membership::InstanceRole::Replica;
    askStatus(instance, std::move(onDone));
  }
  void resume(const membership::InstanceRecord &instance,
              std::function<void(bool)> onDone) override {
    Paused.erase(instance.Id);
    onDone(true);
  }
  void ping(const membership::InstanceRecord &instance,
            std::function<void(bool)> onDone) override {
    ++Pings[instance.Id];
    onDone(!Silent.contains(instance.Id));
  }
  void cancelRequests(const InstanceId &instance) override {
    Forgotten.insert(instance);
    for (auto &[id, onDone] : HeldStatuses)
      if (id == instance && onDone)
        std::exchange(onDone, nullptr)(std::nullopt);
  }
  void retainConnections(const std::set<InstanceId> &instances) override {
    (void)instances;
  }

  std::vector<PromotionOrder> Orders;
  std::map<InstanceId, InstanceStatus> Statuses;
  std::map<InstanceId, Term> Paused;
  std::map<InstanceId, Term> Demoted;
  std::set<InstanceId> Silent;
  std::map<InstanceId, int> Pings;
  std::set<InstanceId> Forgotten;
  bool AnswersOrders = true;
  /// Answers are held until the test sends them.
  bool HoldsOrders = false;
  bool HoldsStatuses = false;
  std::vector<std::function<void(PromotionResult)>> HeldOrders;
  std::vector<
      std::pair<InstanceId, std::function<void(std::optional<InstanceStatus>)>>>
      HeldStatuses;
};

/// Three control VMs whose disks and network either work without delay or not
/// at all.
class FakeControls {
public:
  using Decode =
      std::function<absl::StatusOr<Configuration>(const std::string &)>;

  /// \p decode decodes the operators' documents; without it all give the same
  /// configuration, but for those that begin with "sync".
  explicit FakeControls(Decode decode = {});
  /// The same with other instances than Platform.
  FakeControls(IPromoter &promoter, IInstanceProbe &probe);

  void run(Duration time);
  void kill(std::size_t vm);
  void start(std::size_t vm);
  /// The index of the VM that leads.
  std::size_t leader() const;
  ControlNode &node(std::size_t vm) { return *Vms[vm].Node; }
  TimePoint now() const { return Now; }
  /// The messages sent to the entry VM at \p ip.
  std::vector<peer::wire::Message> &sentTo(const std::string &ip) {
    return ToEntries[ip];
  }
  /// The bytes of the calls that the VM has forwarded to others.
  std::size_t callBytes(std::size_t vm) const { return Vms[vm].CallBytes; }
  void isolate(std::size_t vm) { Isolated.insert(vm); }
  void endIsolation(std::size_t vm) { Isolated.erase(vm); }
  /// Closes the VM's connections to the others and notifies both sides.
  void disconnect(std::size_t vm);
  void reconnect(std::size_t vm);
  /// Kills all VMs, starts them again and connects them to each other.
  void restartAll();
  /// No disk completes a sync for \p time.
  void stallDisks(Duration time) { DisksStalledUntil = Now + time; }
  /// The bytes of all entries appended to the VM's log.
  std::size_t entryBytes(std::size_t vm) const { return Vms[vm].EntryBytes; }

  /// Events on the connection of an entry VM at \p ip to \p vm.
  void connectPeer(const std::string &ip, std::size_t vm,
                   const peer::wire::Hello &hello);
  void sendFromPeer(const std::string &ip, std::size_t vm,
                    const peer::wire::Message &message);
  /// Starts or ends the subscription of the entry VM at \p ip to the instances
  /// at \p vm.
  void subscribeToInstances(const std::string &ip, std::size_t vm,
                            bool isWanted);
  void disconnectPeer(const std::string &ip, std::size_t vm);
  static std::string ipOf(std::size_t vm) {
    return "10.0.0." + std::to_string(vm + 1);
  }

  /// Receives each message to an entry VM; if it isn't set, sentTo() collects
  /// them.
  std::function<void(std::size_t vm, const std::string &ip,
                     const peer::wire::Message &message)>
      OnSentToEntry;

  FakePlatform Platform;

private:
  FakeControls(Decode decode, IPromoter *promoter, IInstanceProbe *probe);

  struct Vm : public ILogWriter, public peer::IPeerSender, public IControlLog {
    FakeControls *Group = nullptr;
    std::size_t Number = 0;
    std::vector<consensus::wire::Record> Disk;
    std::unique_ptr<consensus::ConsensusNode> Consensus;
    std::unique_ptr<ControlNode> Node;
    std::vector<std::uint64_t> WrittenTickets;
    std::uint64_t Incarnation = 0;
    std::size_t EntryBytes = 0;
    std::size_t CallBytes = 0;

    void append(std::uint64_t ticket,
                std::vector<consensus::wire::Record> records) override;
    void rewrite(std::uint64_t ticket,
                 std::vector<consensus::wire::Record> records) override;
    bool send(const std::string &ip,
              const peer::wire::Message &message) override;
    void keepConnected(const std::set<std::string> &ips) override { (void)ips; }
    void log(const std::string &line) override { Lines.push_back(line); }
    std::vector<std::string> Lines;
  };

  struct Packet {
    std::size_t From = 0;
    std::size_t To = 0;
    peer::wire::Message Message;
  };

  Decode DecodeDocument;
  IPromoter *Promoter = nullptr;
  IInstanceProbe *Probe = nullptr;
  std::vector<Vm> Vms;
  std::deque<Packet> Packets;
  std::set<std::size_t> Isolated;
  std::set<std::size_t> Disconnected;
  std::map<std::string, std::vector<peer::wire::Message>> ToEntries;
  TimePoint Now = TimePoint(std::chrono::seconds(1));
  TimePoint DisksStalledUntil{};
};

} // namespace stepledge::control::tests

#endif // STEPLEDGE_CONTROL_TESTS_FAKECONTROLS_H
