// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file An entry VM: keeps the proxy told of configuration, instances and
/// promotions, and tells the control VMs how it sees the primaries.

#ifndef STEPLEDGE_ENTRY_ENTRYNODE_H
#define STEPLEDGE_ENTRY_ENTRYNODE_H

#include "base/LineBudget.h"
#include "distribution/ConfigurationFetch.h"
#include "entry/ControlAddresses.h"
#include "entry/ControlContact.h"
#include "entry/ControlVersions.h"
#include "entry/EntryLists.h"
#include "entry/InstanceSources.h"
#include "entry/OutdatedReport.h"
#include "peer/IPeerListener.h"
#include "peer/IPeerSender.h"
#include "proxy/Proxy.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace stepledge::entry {

struct EntryOptions {
  std::string Hall;
  std::set<std::string> SeedIps;
  /// Without contact to a majority for this long beyond the isolation limit, or
  /// since the start, other addresses of control VMs are needed. Connections to
  /// known ones take up to 100 ms, and their first notice comes at once.
  Duration AddressSearchDelay = milliseconds(250);
  /// How often the control VMs hear of primaries that answer.
  Duration SightInterval = milliseconds(1000);
  /// And of one that doesn't.
  Duration AlarmInterval = milliseconds(200);
  /// In between they hear that nothing has changed, and all once in so long:
  /// naming the primaries each time took 2 of 10 MB that 70 VMs without load
  /// sent between halls in 52 s (simulated day).
  Duration AllSightsInterval = milliseconds(10000);
  /// The address by which other VMs know this one.
  std::string Ip;
  /// Without word from a control VM that hears a majority, and from most
  /// primaries for this long, a VM is cut off: three heartbeats.
  Duration IsolationLimit = milliseconds(750);
  /// How long an entry VM waits for a configuration that a majority stands
  /// behind, from when one more control VM was heard, before it takes what it
  /// can get.
  Duration FreshLimit = milliseconds(3000);
  /// A jump of the clock by more than this means that the VM stood still.
  Duration StandstillLimit = milliseconds(400);
};

class EntryNode : public peer::IPeerListener {
public:
  EntryNode(EntryOptions options, proxy::Proxy &proxy, peer::IPeerSender &peers,
            proxy::IProxyLog &log);

  void tick(TimePoint now);
  void setTime(TimePoint now) { Now = now; }
  void setSeeds(std::set<std::string> ips);
  /// Whether the control VMs whose addresses are known may not be enough.
  bool needsControlAddresses(TimePoint now) const;
  /// Adds what may be addresses of control VMs.
  void addControlAddresses(const std::set<std::string> &ips);
  /// The members of the control group; none while no majority of them is heard.
  std::set<std::string> controlMembers() const;
  /// The other entry VMs that control VMs have told of.
  std::set<std::string> otherEntryIps() const;
  bool isReady() const { return Proxy.canServe() && !IsIsolated; }

  void peerConnected(const std::string &ip,
                     const peer::wire::Hello &hello) override;
  void peerLost(const std::string &ip, peer::LinkEnd end) override;
  void peerSaid(const std::string &ip,
                const peer::wire::Message &message) override;

private:
  void onInstance(const std::string &ip, const peer::wire::Instance &instance);
  void onNotice(const std::string &ip, const peer::wire::Notice &notice);
  void onPart(const std::string &ip, const peer::wire::ConfigurationPart &part);
  /// Takes the change that was fetched from \p ip; false where it doesn't fit.
  bool takeChange(const std::string &ip);
  /// Tells the control VM at \p ip which version this VM works by.
  void tellHeld(const std::string &ip);
  /// Asks for the newest configuration that was announced, if it isn't held.
  void fetch();
  void tellSights(const std::vector<proxy::PrimaryObservation> &all);
  void checkIsolation(const std::vector<proxy::PrimaryObservation> &sights);
  void shareEntries();
  /// Tells the proxy, and if it lasts the log, how far the configuration that
  /// is held can be relied on.
  void updateSource();
  /// Notes whether a majority of the control VMs is heard.
  void noteContact();
  /// Notes what the control VM at \p ip announces.
  void noteVersion(const std::string &ip, const peer::wire::Notice &notice);
  void noteMembers(const peer::wire::Notice &notice);
  /// Tells the connections which control VMs are wanted, if that has changed.
  void reviewAddresses();
  /// Tells control VMs from which of them it wants to hear of the instances.
  void reviewSources();

  EntryOptions Options;
  proxy::Proxy &Proxy;
  peer::IPeerSender &Peers;
  proxy::IProxyLog &Log;
  TimePoint Now{};
  TimePoint TickedAt{};
  TimePoint StartedAt{};
  /// The control VMs that have sent a notice since the start, and when the last
  /// of them sent its first one.
  std::set<std::string> NoticedIps;
  TimePoint NoticedAt{};
  TimePoint SightsAt{};
  TimePoint AllSightsAt{};
  /// By control VM, the sights that it was told last.
  std::map<std::string, std::string> ToldSights;
  distribution::ConfigurationFetch Fetch;
  /// The control VM that last announced a version above the held one.
  std::string AnnouncerIp;
  std::uint64_t AnnouncedVersion = 0;
  /// The last change didn't fit: the next fetch is for the whole.
  bool NeedsWhole = false;
  ControlContact Contact;
  ControlAddresses Addresses;
  /// Since when no majority of the control VMs is heard.
  std::optional<TimePoint> ControlLostAt;
  ControlVersions Announced;
  /// Of the configuration held.
  proxy::ConfigurationSource Source;
  OutdatedReport Outdated;
  bool IsIsolated = false;
  std::set<std::string> Connected;
  /// The control VMs to be connected to.
  std::set<std::string> KeptIps;
  EntryLists Entries;
  InstanceSources Sources;
  LineBudget UnreadableLines;
};

} // namespace stepledge::entry

#endif // STEPLEDGE_ENTRY_ENTRYNODE_H
