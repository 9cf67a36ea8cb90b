// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A control group in one process: members, disks that lose unsynced
/// records, and a network that delays and drops messages, all from one seed.

#ifndef STEPLEDGE_CONSENSUS_TESTS_SIMULATEDGROUP_H
#define STEPLEDGE_CONSENSUS_TESTS_SIMULATEDGROUP_H

#include "consensus/ConsensusNode.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace stepledge::consensus::tests {

/// The records that survive a power loss.
struct SimulatedDisk {
  std::vector<wire::Record> Synced;
  bool IsEmpty = true;
};

struct SimulatedMember {
  std::string Ip;
  SimulatedDisk Disk;
  std::unique_ptr<ConsensusNode> Node;
  /// Commands of the applied entries, in order.
  std::vector<std::string> Applied;
  std::uint64_t AppliedIndex = 0;
  TimePoint DiskStalledUntil{};
  TimePoint JoinAt{};
  std::size_t VotesAsked = 0;
};

/// A link of limited bandwidth from one member to another.
struct SimulatedLink {
  double BytesPerSecond = 0;
  bool HasSmallBypass = false;
  TimePoint FreeAt{};
};

/// Timing of the network, the disks and the members' timers.
struct SimulatedTiming {
  Duration Step = milliseconds(10);
  /// Interval of a member's timer ticks; each member has its own phase.
  Duration TickInterval = milliseconds(10);
  Duration MinDelay = milliseconds(1);
  Duration MaxDelay = milliseconds(20);
  Duration MinSync = milliseconds(2);
  Duration MaxSync = milliseconds(15);
  /// Messages need a connection, which running members open and are notified
  /// of; otherwise every message has a path.
  bool HasConnections = false;
};

struct ReadCheck {
  std::size_t Member = 0;
  std::uint64_t MinIndex = 0;
};

class SimulatedGroup {
public:
  SimulatedGroup(std::size_t size, std::size_t bootstrapped, int target,
                 std::uint64_t seed, SimulatedTiming timing = {});

  void run(Duration time);
  void kill(std::size_t member);
  void wipe(std::size_t member);
  void start(std::size_t member);
  /// The member asks to be replaced as a voter, and runs on.
  void leave(std::size_t member);
  /// True if a member that leaves has nothing left to wait for.
  bool canEnd(std::size_t member) const {
    return Members[member].Node->canEnd();
  }
  GroupHealth health(std::size_t member) const {
    return Members[member].Node->health(Now);
  }
  void stallDisk(std::size_t member, Duration time);
  void setStep(Duration step) { Timing.Step = step; }
  /// Messages from \p from to \p to are dropped.
  void blockLink(std::size_t from, std::size_t to) {
    BlockedLinks.insert({from, to});
  }
  void heal();
  /// Messages are dropped, but connections open.
  void dropMessages(std::size_t from, std::size_t to) {
    DroppingLinks.insert({from, to});
  }
  /// The member runs a program from before joint changes: it takes no notice of
  /// a set of voters that replaces another one.
  void setOlderProgram(std::size_t member) { OlderPrograms.insert(member); }
  void setLoss(double share) { Loss = share; }
  /// Messages from \p from to \p to share a link of \p bytesPerSecond, in
  /// order; small ones bypass it if \p hasSmallBypass.
  void limitBandwidth(std::size_t from, std::size_t to, double bytesPerSecond,
                      bool hasSmallBypass);
  /// Messages in flight between the two are lost, and both are notified.
  void breakConnection(std::size_t one, std::size_t other);
  /// Snapshots from now on have this many bytes more.
  void setStateBytes(std::size_t bytes) { StateBytes = bytes; }
  /// Bytes that \p from has sent to \p to, whether or not they arrived.
  std::size_t sentBytes(std::size_t from, std::size_t to) const;
  /// Number of vote requests that the member has sent.
  std::size_t votesAsked(std::size_t member) const {
    return Members[member].VotesAsked;
  }
  std::uint64_t appliedIndex(std::size_t member) const {
    return Members[member].AppliedIndex;
  }

  /// Proposes a new command at each leader, with \p bytes of padding.
  void propose(std::size_t bytes = 0);
  void read();
  std::optional<std::size_t> leader() const;
  TimePoint now() const { return Now; }
  /// Number of members that have the state of a majority.
  std::size_t freshCount() const;
  bool isRunning(std::size_t member) const {
    return Members[member].Node != nullptr;
  }
  std::size_t size() const { return Members.size(); }
  std::size_t committed() const { return Committed.size(); }
  const wire::Membership &voters(std::size_t member) const {
    return Members[member].Node->membership();
  }
  /// The last violation of an invariant, or empty.
  const std::string &violation() const { return Violation; }
  std::mt19937_64 &random() { return Random; }
  std::size_t pick(std::size_t n) { return Random() % n; }

private:
  struct Event {
    TimePoint At{};
    std::uint64_t Order = 0;
    /// Receiver of the message, or owner of the disk.
    std::size_t Member = 0;
    std::uint64_t Incarnation = 0;
    std::optional<wire::Message> Message;
    std::uint64_t Ticket = 0;
    std::vector<wire::Record> Records;
    bool IsRewrite = false;
    /// Sender of the message.
    std::size_t From = 0;
    /// The member is notified of its connection to From.
    bool IsConnection = false;
  };

  void deliver(Event event);
  /// Opens connections from \p member to all running members without one to it.
  void connect(std::size_t member);
  bool isConnected(std::size_t from, std::size_t to) const {
    return !Timing.HasConnections || Connections.contains({from, to});
  }
  /// Checks that each term has at most one leader.
  void checkLeaders();
  /// Checks that a sent vote is on the disk of \p member.
  void checkVote(std::size_t member, const wire::Message &message);
  void runEffects(std::size_t member);
  void apply(std::size_t member, const wire::Entry &entry);
  /// Arrival time of a message that is sent now.
  TimePoint arrivalOf(const std::pair<std::size_t, std::size_t> &pair,
                      std::size_t bytes);
  std::string stateAt(std::uint64_t index) const;
  void post(Event event);
  std::optional<std::size_t> memberAt(const std::string &ip) const;
  Duration draw(Duration least, Duration most);

  std::vector<SimulatedMember> Members;
  std::vector<std::uint64_t> Incarnations;
  std::vector<TimePoint> DiskFreeAt;
  ConsensusOptions Options;
  std::mt19937_64 Random;
  TimePoint Now = TimePoint(std::chrono::seconds(1));
  std::uint64_t Order = 0;
  std::vector<Event> Events;
  std::set<std::pair<std::size_t, std::size_t>> BlockedLinks;
  std::set<std::pair<std::size_t, std::size_t>> DroppingLinks;
  std::set<std::size_t> OlderPrograms;
  SimulatedTiming Timing;
  /// By sender and receiver.
  std::set<std::pair<std::size_t, std::size_t>> Connections;
  std::vector<Duration> TickPhases;
  std::map<std::uint64_t, MemberNumber> LeaderOfTerm;
  double Loss = 0.0;
  std::map<std::pair<std::size_t, std::size_t>, SimulatedLink> Links;
  std::map<std::pair<std::size_t, std::size_t>, std::size_t> SentBytes;
  std::size_t StateBytes = 0;
  /// By index, the command that a member applied first.
  std::map<std::uint64_t, std::string> Committed;
  std::map<std::uint64_t, ReadCheck> Reads;
  std::uint64_t LastRead = 0;
  std::uint64_t LastCommand = 0;
  std::string Violation;
};

} // namespace stepledge::consensus::tests

#endif // STEPLEDGE_CONSENSUS_TESTS_SIMULATEDGROUP_H
