// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A control VM: the replicated state, the instances' heartbeats, the
/// notices to entry VMs, and the replacement of primaries.

#ifndef STEPLEDGE_CONTROL_CONTROLNODE_H
#define STEPLEDGE_CONTROL_CONTROLNODE_H

#include "base/LineBudget.h"
#include "consensus/ConsensusNode.h"
#include "control/ClusterState.h"
#include "control/EntryRoster.h"
#include "control/IPromoter.h"
#include "control/PrimaryFailureDetector.h"
#include "control/internal/SpreadWait.h"
#include "control/internal/UncommittedCalls.h"
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

/// Makes the records of the log durable, and reports it by
/// ControlNode::persisted().
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
  virtual void log(const std::string &line) = 0;
};

struct ControlOptions {
  std::string NodeName;
  std::string Ip;
  std::string Hall;
  /// The addresses of control VMs to contact before the membership is known.
  std::set<std::string> SeedIps;
  /// A call fails after this time, before its caller retries at another VM.
  Duration CallTimeout = milliseconds(850);
  /// The retry interval of a call while no leader is known.
  Duration CallRetryInterval = milliseconds(60);
  /// The retry interval while the leader doesn't answer, in addition to the
  /// time that the call's bytes take at the rate below, which is half of that
  /// of the narrowest links between VMs. Without that addition a document of
  /// 260 KB was sent three times while its commit took 0.7 s.
  Duration UnansweredCallRetryInterval = milliseconds(300);
  std::uint64_t MinBytesPerSecond = 125'000;
  /// The interval of notices to entry VMs.
  Duration NoticeInterval = milliseconds(250);
  /// The interval of full notices, which repeat what was already sent when it
  /// changed.
  Duration FullNoticeInterval = milliseconds(2000);
  /// An instance without a heartbeat for this time, which is many heartbeat
  /// intervals, is dropped.
  Duration InstanceTimeout = milliseconds(20000);
  /// How often an unchanged instance is reported to the other control VMs.
  Duration AliveReportInterval = milliseconds(4000);
  /// How often the leader pings the primaries.
  Duration PingInterval = milliseconds(250);
  /// How often the leader pings the replicas, only to keep the connections
  /// open.
  Duration ReplicaPingInterval = milliseconds(2000);
  /// The maximum rate of pings to instances that seem healthy: 50 primaries are
  /// pinged four times a second each. With more of them each is pinged less
  /// often, and the silent ones are found by reports of other VMs and then
  /// pinged at once.
  double MaxPingsPerSecond = 200;
  /// With more instances, no connections to replicas are kept open: the leader
  /// would need one to each of thousands, and a new leader would have to open
  /// them all.
  std::size_t MaxInstancesForReplicaPings = 300;
  /// Decodes the operators' document; its service settings are needed here.
  std::function<absl::StatusOr<Configuration>(const std::string &)> Decode;
  /// A random number drawn at each start: the log has calls of an earlier
  /// incarnation of this process, which must not be mistaken for those of this
  /// one.
  std::uint64_t FirstCallNumber = 0;
  /// How often a process that is not a voter asks to become one.
  Duration JoinInterval = milliseconds(500);
  /// For this long after this VM has become a member, entry VMs may not be
  /// connected to it yet: they hear of it by the other members' next notice,
  /// and a connection takes up to 100 ms.
  Duration NewMemberGracePeriod = milliseconds(500);
};

class FailoverCoordinator;

class ControlNode : public peer::IPeerListener {
public:
  /// Whether the call was committed, or the read confirmed; false means that
  /// the outcome is unknown.
  using OnDone = std::function<void(bool)>;

  ControlNode(ControlOptions options, consensus::ConsensusNode &node,
              ILogWriter &writer, peer::IPeerSender &peers, IPromoter &promoter,
              IInstanceProbe &probe, IControlLog &log);
  ~ControlNode() override;

  /// Makes \p document the configuration if its version is the highest. The
  /// call succeeds once it is committed and the entry VMs that are connected to
  /// this VM work by it, as far as they do so soon.
  void putConfiguration(TimePoint now, std::uint64_t version,
                        std::string document, OnDone onDone);
  /// If the call succeeds, document() is the latest acknowledged document or a
  /// newer one.
  void confirmNewest(TimePoint now, OnDone onDone);
  const std::string &document() const { return State.document(); }
  std::uint64_t configurationVersion() const {
    return State.configurationVersion();
  }
  /// False for an instance that isn't known yet and whose service the
  /// configuration doesn't name; always true before the first configuration.
  bool acceptsInstance(const membership::InstanceRecord &record) const;
  /// Calls \p onDone at once, or, when the incarnation first reports that it
  /// leaves, once this is committed.
  void receiveHeartbeat(TimePoint now, membership::InstanceRecord record,
                        OnDone onDone);
  /// Records that the incarnation that started at \p startTimeMs, or without it
  /// the known one, has left.
  void deregisterInstance(TimePoint now, const InstanceId &id,
                          std::optional<std::uint64_t> startTimeMs,
                          OnDone onDone);
  /// The start time of the known incarnation of the instance in Unix ms; 0 if
  /// it hasn't reported one or the instance is unknown.
  std::uint64_t startTimeOf(const InstanceId &id) const;

  /// Answers the pending calls, whose outcomes aren't known, and from now on
  /// each new one at once: this VM ends before it could do more for them.
  void endCalls();
  /// Takes other addresses of control VMs to contact.
  void setSeeds(TimePoint now, std::set<std::string> ips);
  /// This VM is no voter, or hears no leader: it may need other seeds.
  bool needsSeeds() const { return Node.needsToJoin(Now); }
  /// Asks to be replaced as a voter, since the process is about to end.
  void leave(TimePoint now);
  bool isEnding() const { return IsEnding; }

  void tick(TimePoint now);
  void persisted(TimePoint now, std::uint64_t ticket);
  /// Sets the current time for messages of peers; to be called before each
  /// event.
  void setTime(TimePoint now) { Now = now; }

  void peerConnected(const std::string &ip,
                     const peer::wire::Hello &hello) override;
  void peerLost(const std::string &ip, peer::LinkEnd end) override;
  void peerSaid(const std::string &ip,
                const peer::wire::Message &message) override;

private:
  friend class FailoverCoordinator;

  struct PendingCall {
    wire::Command Command;
    bool IsRead = false;
    TimePoint Deadline{};
    TimePoint RetryAt{};
    /// The leader that the call was forwarded to, and its term; empty if to
    /// none.
    std::string SentToIp;
    std::uint64_t SentInTerm = 0;
    /// For a read: the log index that must be applied first.
    std::optional<std::uint64_t> RequiredIndex;
    OnDone Done;
  };
  /// A call that another control VM has forwarded to this leader.
  struct RemoteCall {
    std::string Ip;
    std::uint64_t Number = 0;
  };

  /// When a change that has just been committed may be acknowledged at the
  /// soonest: entry VMs that aren't connected to this VM yet are told of it by
  /// other members.
  TimePoint earliestAcknowledgement() const;
  /// Makes a full notice due if it would name other members than the last one.
  void reviewMembers();
  /// Answers the operators whose changes the entry VMs work by, or were waited
  /// for long enough.
  void acknowledgeSpread(const std::vector<SpreadWait::Change> &changes);
  std::uint64_t startCall(TimePoint now, wire::Command command, bool isRead,
                          OnDone onDone);
  void tryCall(TimePoint now, std::uint64_t number, PendingCall &call);
  /// Whether the call's retry time has come, or there is a leader of another
  /// term than the one that it was forwarded in.
  bool isRetryDue(TimePoint now, const PendingCall &call) const;
  /// Appends the call to this leader's log unless it is in there uncommitted.
  void propose(TimePoint now, wire::Command command);
  /// Removes the document from a command that wouldn't change the
  /// configuration.
  void dropAppliedConfiguration(wire::Command &command) const;
  void finishCall(std::uint64_t number, bool done);
  void finishReads();
  void onCall(const std::string &ip, const peer::wire::Call &call);
  void onReply(const peer::wire::CallReply &reply);
  void reply(const RemoteCall &call, bool done, std::uint64_t index);

  void updateConfiguration();
  void sendConfiguration(const std::string &ip,
                         const peer::wire::ConfigurationRequest &request);
  /// The number of replicas that must hold a commit of \p service before it is
  /// acknowledged.
  int syncReplicasOf(const std::string &service) const;
  void runEffects(TimePoint now);
  /// Updates whether a majority has confirmed the applied state; if it has just
  /// been confirmed, a notice is due.
  void updateFreshness(TimePoint now);
  void apply(TimePoint now, const consensus::wire::Entry &entry);
  void updateInstance(TimePoint now, const membership::InstanceRecord &record,
                      bool isFromPeer);
  /// Proposes a log entry that keeps the known record of the instance, or
  /// removes it.
  void keepInstance(TimePoint now, const InstanceId &id,
                    std::uint64_t startTimeMs);
  /// Drops the instances whose heartbeats have stopped, but not one that counts
  /// as the primary: without it, none would know that it is to be replaced.
  void dropSilentInstances(TimePoint now);
  void dropInstance(TimePoint now, const membership::InstanceRecord &record);
  /// The same as updateInstance() for a record from another VM or from the log.
  void updateFromWire(TimePoint now, const peer::wire::Instance &instance);
  /// Discards the state of an earlier incarnation of a restarted instance.
  void discardEarlierIncarnation(TimePoint now,
                                 const membership::InstanceRecord &record);
  /// Adds the instances that are only in the log, as after a restart.
  void addKeptInstances(TimePoint now);
  void sendToEntries(const peer::wire::Message &message);
  /// Sends the instances that have changed since the last tick to the
  /// subscribed entry VMs, all in one message. Sent one by one, 3,600 instances
  /// and 290 entry VMs cost a control VM a million messages in the ten seconds
  /// of a start, in a simulation.
  void sendUnsentInstances();
  void sendToControls(const peer::wire::Message &message);
  /// Logs what entry VMs are told next, if it differs from the last time.
  void logNotice();
  /// A full notice also lists the control VMs and the promotions.
  peer::wire::Message notice(bool isFull) const;
  peer::wire::Message allInstances() const;
  void updatePeers();
  void replaceObservations(const std::string &ip,
                           const peer::wire::PrimarySights &observations);
  void onObservations(const std::string &ip,
                      const peer::wire::PrimarySights &observations);
  void pingInstances(TimePoint now);
  /// The instances to ping now: all that are suspected, and of the others those
  /// whose last ping is the oldest.
  std::vector<InstanceId> findPingsDue(TimePoint now);
  /// Reports the results of the pings to the failure detector.
  void reportPings(TimePoint now);

  ControlOptions Options;
  consensus::ConsensusNode &Node;
  ILogWriter &Writer;
  peer::IPeerSender &Peers;
  IInstanceProbe &Probe;
  IControlLog &Log;
  ClusterState State;
  /// The newest configuration that could be decoded, for entry VMs.
  distribution::ConfigurationSender Configurations;
  membership::InstanceDirectory Directory;
  PrimaryFailureDetector Detector{FailureDetectorOptions{}};
  std::unique_ptr<FailoverCoordinator> Failover;

  EntryRoster Entries;
  /// The last observations of primaries that each entry VM reported.
  std::map<std::string, peer::wire::PrimarySights> LastObservations;
  std::set<std::string> KnownControls;
  /// Control VMs that have opened a connection to this one.
  std::set<std::string> IncomingControls;
  /// Control VMs that a message couldn't be sent to for lack of a connection.
  std::set<std::string> UnreachableControls;
  std::map<std::uint64_t, PendingCall> Calls;
  std::map<std::uint64_t, RemoteCall> RemoteReads;
  UncommittedCalls Uncommitted;
  SpreadWait Spread;
  std::uint64_t LastCallNumber = 0;
  LineBudget UnreadableLines;
  std::map<InstanceId, TimePoint> AliveReportedAt;
  /// Instances that have changed since they were last sent to entry VMs.
  std::set<InstanceId> UnsentInstances;
  std::map<InstanceId, TimePoint> UnansweredPingSentAt;
  std::map<InstanceId, TimePoint> PingMissedSince;
  std::map<InstanceId, TimePoint> LastPingAt;
  TimePoint NoticeAt{};
  TimePoint FullNoticeAt{};
  TimePoint JoinAt{};
  TimePoint PingAt{};
  TimePoint Now{};
  /// The members of the last full notice.
  std::set<std::string> NoticedMembers;
  /// Since when this VM is a voter with a fresh state.
  std::optional<TimePoint> MemberSince;
  std::uint64_t NoticedVersion = 0;
  bool NoticedFresh = false;
  bool IsNoticeDue = false;
  bool IsFresh = false;
  /// The state was fresh at least once since the start.
  bool HasBeenFresh = false;
  bool WasLeader = false;
  bool IsRunningEffects = false;
  bool IsEnding = false;
};

} // namespace stepledge::control

#endif // STEPLEDGE_CONTROL_CONTROLNODE_H
