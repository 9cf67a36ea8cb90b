// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file One entry VM and the control VMs that it may be connected to, each of
/// which is there or not, fresh or not, and answers or not.

#ifndef STEPLEDGE_ENTRY_TESTS_CONTROLWORLD_H
#define STEPLEDGE_ENTRY_TESTS_CONTROLWORLD_H

#include "distribution/ConfigurationSender.h"
#include "entry/EntryNode.h"
#include "proxy/tests/FakeIo.h"
#include "quota/tests/FakeQuota.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace stepledge::entry::tests {

/// An event at the control VMs, or to the entry VM's connections
/// to them.
enum class ControlEvent {
  /// A change of the configuration is committed.
  Change,
  /// The member that has been one for longest is gone for good; a VM at a new
  /// address takes its place.
  Replace,
  /// The VM that was replaced last is there again with the state of then.
  OldMemberReturns,
  /// The entry VM loses all connections, or can open them again.
  CutOrHeal,
  /// The entry VM's connections are reset.
  Reset,
  /// Requests of the entry VM to the first member get lost on their way.
  LoseRequests,
  /// The first member doesn't answer requests any more.
  IgnoreRequests,
  /// All control VMs lose power; the first is back alone, with an older state.
  PowerLoss,
  /// The others are back too.
  PowerBack,
  /// The settings name the present members.
  NewSeeds,
  /// Time passes.
  Wait,
};

/// What tells an entry VM of control VMs that it has never heard of.
enum class AddressSource {
  OtherEntryVms,
  Settings,
};

class ControlWorld : public peer::IPeerSender {
public:
  explicit ControlWorld(AddressSource source = AddressSource::OtherEntryVms);

  void apply(ControlEvent event);
  void run(Duration time);
  /// All members are up and fresh, and the entry VM can open connections to
  /// them; one that loses or ignores requests goes on.
  void recover();
  /// Runs until the entry VM works by the newest version, \p limit at most.
  bool comesUpToDate(Duration limit);
  /// Until the connections that have fallen silent are found out and closed.
  Duration silentFor() const;
  std::uint64_t heldVersion() const { return Core.configurationVersion(); }
  std::uint64_t newestVersion() const { return Version; }
  const std::set<std::string> &members() const { return Members; }
  /// What the entry VM was told to be connected to.
  const std::set<std::string> &wanted() const { return Wanted; }
  TimePoint now() const { return Now; }

  bool send(const std::string &ip, const peer::wire::Message &message) override;
  void keepConnected(const std::set<std::string> &ips) override;

private:
  struct ControlVm {
    bool IsUp = true;
    bool IsFresh = true;
    bool LosesRequests = false;
    bool IgnoresRequests = false;
    std::set<std::string> Named;
    distribution::ConfigurationSender Sender;
    TimePoint NoticeAt{};
    TimePoint FullNoticeAt{};
  };
  struct Link {
    /// Since when nothing comes over it.
    std::optional<TimePoint> SilentSince;
  };

  std::string addMember();
  void bringUp(const std::string &ip, bool isFresh);
  /// A member learns the present state.
  void update(ControlVm &vm);
  void updateAll();
  void step();
  void openLinks();
  void closeSilentLinks();
  void sendNotices();
  void notice(const std::string &ip, ControlVm &vm, bool isFull);
  void answer();
  /// The entry VM learns of addresses if it looks for them.
  void tellAddresses();
  control::Configuration configuration(std::uint64_t version) const;

  AddressSource Source;
  TimePoint Now = TimePoint(std::chrono::seconds(5));
  TimePoint ToldAt{};
  std::uint64_t Version = 0;
  int LastMember = 0;
  bool IsCut = false;
  std::map<std::string, ControlVm> Vms;
  std::set<std::string> Members;
  /// Those that the settings name.
  std::set<std::string> Seeds;
  /// Those before the last replacement.
  std::set<std::string> OlderMembers;
  /// In the order in which they became members.
  std::vector<std::string> Order;
  std::vector<std::string> Replaced;
  std::map<std::string, Link> Links;
  std::set<std::string> Wanted;
  std::vector<std::pair<std::string, peer::wire::Message>> ToEntry;
  proxy::tests::FakeIo Io;
  quota::tests::FakeQuota Quota;
  proxy::Proxy Core;
  std::unique_ptr<EntryNode> Node;
};

} // namespace stepledge::entry::tests

#endif // STEPLEDGE_ENTRY_TESTS_CONTROLWORLD_H
