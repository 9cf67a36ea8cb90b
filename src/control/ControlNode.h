// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A control VM: the replicated state, the instances' heartbeats, what
/// entry VMs are told, and the replacement of primaries.

#ifndef STEPLEDGE_CONTROL_CONTROLNODE_H
#define STEPLEDGE_CONTROL_CONTROLNODE_H

#include "base/LineBudget.h"
#include "consensus/ConsensusNode.h"
#include "control/ClusterState.h"
#include "control/EntryRoster.h"
#include "control/IPromoter.h"
#include "control/PrimaryWatch.h"
#include "control/internal/CallsInLog.h"
#include "control/types/Configuration.h"
#include "distribution/ConfigurationSender.h"
#include "membership/InstanceDirectory.h"
#include "peer/IPeerListener.h"
#include "peer/IPeerSender.h"

#include "absl/status/statusor.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace stepledge::control {

/// Where the records of the log are made durable; it answers by persisted().
class ILogWriter {
public:
  virtual ~ILogWriter() = default;
  virtual void append(std::uint64_t ticket,
                      std::vector<consensus::wire::Record> records) = 0;
  virtual void rewrite(std::uint64_t ticket,
                       std::vector<consensus::wire::Record> records) = 0;
};

class IControlLog {
public:
  virtual ~IControlLog() = default;
  virtual void decision(const std::string &line) = 0;
};

struct ControlOptions {
  std::string NodeName;
  std::string Ip;
  std::string Hall;
  /// Where the control VMs may be found at first.
  std::set<std::string> SeedIps;
  /// A call gives up after this time, before its caller turns elsewhere.
  Duration CallLimit = milliseconds(850);
  /// How often a call is tried again while no leader is known.
  Duration CallRetry = milliseconds(60);
  /// And while the leader doesn't answer, besides what the call's bytes take at
  /// the rate below: half of that of the narrowest links between VMs. Without
  /// that a document of 260 KB was sent three times while its commit took 0.7
  /// s.
  Duration UnansweredCallRetry = milliseconds(300);
  std::uint64_t LeastBytesPerSecond = 125'000;
  /// Heartbeats to entry VMs.
  Duration NoticeInterval = milliseconds(250);
  /// The longer form of these, which repeats what was told at its change.
  Duration FullNoticeInterval = milliseconds(2000);
  /// An instance silent for this long is dropped: many heartbeats.
  Duration InstanceSilence = milliseconds(20000);
  /// How often other control VMs hear of an unchanged instance.
  Duration AliveInterval = milliseconds(4000);
  /// How often the leader asks the primaries whether they answer.
  Duration PingInterval = milliseconds(250);
  /// And the replicas, whose connections are only kept warm.
  Duration IdlePingInterval = milliseconds(2000);
  /// The most questions a second to instances that seem well: 50 primaries are
  /// asked four times a second each. With more of them each is asked less
  /// often, and VMs' reports find the silent ones, which are asked at once.
  double PingsPerSecond = 200;
  /// With more instances no connections to replicas are kept: a leader would
  /// need one to each of thousands, and a new leader opens them all.
  std::size_t MostKeptWarm = 300;
  /// Reads the operators' document; its service settings are needed here.
  std::function<absl::StatusOr<Configuration>(const std::string &)> Decode;
  /// Drawn anew at each start: the calls of an earlier life of this process
  /// stand in the log, and must not be taken for those of this one.
  std::uint64_t FirstCall = 0;
  /// How often a process that is no voter asks to be one.
  Duration JoinInterval = milliseconds(500);
};

class Replacement;

class ControlNode : public peer::IPeerListener {
public:
  /// Whether the call took effect; false means that nobody knows.
  using OnDone = std::function<void(bool)>;

  ControlNode(ControlOptions options, consensus::ConsensusNode &node,
              ILogWriter &writer, peer::IPeerSender &peers, IPromoter &promoter,
              IInstanceProbe &probe, IControlLog &log);
  ~ControlNode() override;

  /// Keeps \p document as the configuration, if its version is the highest.
  void putConfiguration(TimePoint now, std::uint64_t version,
                        std::string document, OnDone onDone);
  /// After true, document() is the newest acknowledged one or newer.
  void confirmNewest(TimePoint now, OnDone onDone);
  const std::string &document() const { return State.document(); }
  std::uint64_t configurationVersion() const {
    return State.configurationVersion();
  }
  /// False for an instance that isn't known yet, of a service that the
  /// configuration doesn't name; before the first configuration none does.
  bool servesInstance(const membership::InstanceRecord &record) const;
  void instanceSaid(TimePoint now, membership::InstanceRecord record,
                    OnDone onDone);
  /// The life that began at \p bornMs, or without it the one that is known, has
  /// left.
  void instanceLeft(TimePoint now, const InstanceId &id,
                    std::optional<std::uint64_t> bornMs, OnDone onDone);
  /// When the known life of the instance began, in Unix ms; 0 where it has told
  /// nothing.
  std::uint64_t bornOf(const InstanceId &id) const;

  void tick(TimePoint now);
  void persisted(TimePoint now, std::uint64_t ticket);
  /// The present time for what peers say; set before each event.
  void setTime(TimePoint now) { Now = now; }

  void peerConnected(const std::string &ip,
                     const peer::wire::Hello &hello) override;
  void peerLost(const std::string &ip, peer::LinkEnd end) override;
  void peerSaid(const std::string &ip,
                const peer::wire::Message &message) override;

private:
  friend class Replacement;

  struct PendingCall {
    wire::Command Command;
    bool IsRead = false;
    TimePoint Deadline{};
    TimePoint RetryAt{};
    /// The leader that it was passed on to, and its term; empty if to none.
    std::string SentToIp;
    std::uint64_t SentInTerm = 0;
    /// For a read: the state that must be reached.
    std::optional<std::uint64_t> Index;
    OnDone Done;
  };
  /// A call that another control VM has passed on to this leader.
  struct RemoteCall {
    std::string Ip;
    std::uint64_t Number = 0;
  };

  std::uint64_t startCall(TimePoint now, wire::Command command, bool isRead,
                          OnDone onDone);
  void tryCall(TimePoint now, std::uint64_t number, PendingCall &call);
  /// Its time has come, or another leads than the one that it was passed on to.
  bool isTryDue(TimePoint now, const PendingCall &call) const;
  /// Puts the call into this leader's log, unless it waits there already.
  void propose(TimePoint now, wire::Command command);
  /// Takes the document out of a configuration that changes nothing.
  void dropHeldConfiguration(wire::Command &command) const;
  void finishCall(std::uint64_t number, bool done);
  void finishReads();
  void onCall(const std::string &ip, const peer::wire::Call &call);
  void onReply(const peer::wire::CallReply &reply);
  void reply(const RemoteCall &call, bool done, std::uint64_t index);

  void takeConfiguration();
  void sendConfiguration(const std::string &ip,
                         const peer::wire::ConfigurationRequest &request);
  /// The replicas that must hold a commit of \p service before it is
  /// acknowledged.
  int syncReplicasOf(const std::string &service) const;
  void runEffects(TimePoint now);
  /// Notes whether the applied state is what a majority stands behind; if it
  /// has just become so, a notice is due.
  void reviewFreshness(TimePoint now);
  void apply(TimePoint now, const consensus::wire::Entry &entry);
  void learn(TimePoint now, const membership::InstanceRecord &record,
             bool isFromPeer);
  /// Has the log keep what is known of the instance, or forget it.
  void keepInstance(TimePoint now, const InstanceId &id, std::uint64_t bornMs);
  /// The instance has long been silent.
  void dropInstance(TimePoint now, const membership::InstanceRecord &record);
  /// The same as learn() for what another VM or the log says.
  void learnFromWire(TimePoint now, const peer::wire::Instance &instance);
  /// The instance has started again under its id.
  void forgetEarlierLife(TimePoint now,
                         const membership::InstanceRecord &record);
  /// Takes in the instances that only the log knows, as after a restart.
  void learnKept(TimePoint now);
  void tellEntries(const peer::wire::Message &message);
  /// Tells the entry VMs that listen of the instances that have changed since
  /// the last tick. Told one by one, 3,600 instances before 290 entry VMs were
  /// a million messages of a control VM in the ten seconds of a start
  /// (simulated day).
  void tellUntold();
  void tellControls(const peer::wire::Message &message);
  /// A full one also names the control VMs and the promotions.
  peer::wire::Message notice(bool isFull) const;
  peer::wire::Message allInstances() const;
  void updatePeers();
  void replaceSights(const std::string &ip,
                     const peer::wire::PrimarySights &sights);
  void onSights(const std::string &ip, const peer::wire::PrimarySights &sights);
  void pingInstances(TimePoint now);
  /// The instances to ask now: all that are suspect, and of the others those
  /// that have waited longest.
  std::vector<InstanceId> findPingsDue(TimePoint now);
  /// Tells the watch what the pings have shown.
  void reportPings(TimePoint now);

  ControlOptions Options;
  consensus::ConsensusNode &Node;
  ILogWriter &Writer;
  peer::IPeerSender &Peers;
  IInstanceProbe &Probe;
  IControlLog &Log;
  ClusterState State;
  /// The newest configuration that could be read, for entry VMs.
  distribution::ConfigurationSender Configurations;
  membership::InstanceDirectory Directory;
  PrimaryWatch Watch{WatchOptions{}};
  std::unique_ptr<Replacement> Replacer;

  EntryRoster Entries;
  /// What each entry VM last said of the primaries.
  std::map<std::string, peer::wire::PrimarySights> LastSights;
  std::set<std::string> KnownControls;
  /// Control VMs that a message for found no connection.
  std::set<std::string> Unreached;
  std::map<std::uint64_t, PendingCall> Calls;
  std::map<std::uint64_t, RemoteCall> RemoteReads;
  CallsInLog Proposed;
  std::uint64_t LastCall = 0;
  LineBudget UnreadableLines;
  std::map<InstanceId, TimePoint> ToldAlive;
  /// Instances that have changed since entry VMs were told last.
  std::set<InstanceId> Untold;
  std::map<InstanceId, TimePoint> PingSentAt;
  std::map<InstanceId, TimePoint> PingMissedSince;
  std::map<InstanceId, TimePoint> PingedAt;
  TimePoint NoticeAt{};
  TimePoint FullNoticeAt{};
  TimePoint JoinAt{};
  TimePoint PingAt{};
  TimePoint Now{};
  bool IsNoticeDue = false;
  bool IsFresh = false;
  /// It was fresh at least once since the start.
  bool HasBeenFresh = false;
  bool WasLeader = false;
  bool IsRunning = false;
};

} // namespace stepledge::control

#endif // STEPLEDGE_CONTROL_CONTROLNODE_H
