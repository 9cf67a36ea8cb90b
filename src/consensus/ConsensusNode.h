// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file One member of the control group: election, replication, snapshots and
/// change of voters, as a state machine without clock, disk or sockets.
///
/// The log is replicated as in Raft, with trial votes, a leader that steps
/// down without a majority, and one voter changed at a time. What must be
/// durable before others hear of it waits for persisted().

#ifndef STEPLEDGE_CONSENSUS_CONSENSUSNODE_H
#define STEPLEDGE_CONSENSUS_CONSENSUSNODE_H

#include "consensus/generated/Consensus.pb.h"
#include "consensus/types/ConsensusOptions.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace stepledge::consensus {

using MemberNumber = std::uint64_t;

/// What a member finds on its disk.
struct DurableState {
  std::uint64_t Term = 0;
  MemberNumber VotedFor = 0;
  wire::Snapshot Snapshot;
  std::vector<wire::Entry> Entries;
};

/// A message and the address of its receiver, which may be unknown to others.
struct OutgoingMessage {
  std::string Ip;
  wire::Message Message;
};

/// What the shell has to do after each call, in this order.
struct Effects {
  /// To be written and synced; then persisted(Ticket) is called.
  std::vector<wire::Record> Records;
  std::uint64_t Ticket = 0;
  /// The whole log is to be written anew, since a snapshot replaces it.
  bool MustRewrite = false;
  std::vector<OutgoingMessage> Messages;
  /// The state is to be replaced by this, before Committed is applied.
  std::optional<wire::Snapshot> Restored;
  std::vector<wire::Entry> Committed;
  /// Reads that may now answer from the applied state.
  std::vector<std::uint64_t> ConfirmedReads;
  /// Reads whose leader lost its majority.
  std::vector<std::uint64_t> FailedReads;
};

class ConsensusNode {
public:
  ConsensusNode(wire::Member self, ConsensusOptions options,
                DurableState durable, std::uint64_t seed, TimePoint now);

  void tick(TimePoint now);
  void receive(TimePoint now, const wire::Message &message);
  /// From now on messages to and from \p ip arrive.
  void connectionMade(TimePoint now, const std::string &ip);
  /// Messages to \p ip may be lost; what it hasn't answered is sent again.
  void connectionLost(TimePoint now, const std::string &ip);
  /// All records up to \p ticket are on disk.
  void persisted(TimePoint now, std::uint64_t ticket);
  /// The entry's index, where this member leads.
  std::optional<std::uint64_t> propose(TimePoint now, std::string command);
  /// A confirmed read comes back in Effects with \p token.
  bool requestRead(TimePoint now, std::uint64_t token);
  /// The applied state, for members that are far behind.
  void takeSnapshot(std::uint64_t index, std::string state);
  bool wantsSnapshot() const;
  Effects takeEffects();
  /// All records that a new log file needs.
  std::vector<wire::Record> allRecords() const;

  bool isLeader() const { return Role == MemberRole::Leader; }
  /// It leads, and has committed an entry of its own term.
  bool canServe() const;
  /// The applied state holds all that a majority held a moment ago.
  bool isFresh(TimePoint now) const;
  bool isVoter() const { return isVoter(Self.number()); }
  /// It is no voter, or its log may be too old to tell: it is to ask the others
  /// for the log.
  bool needsToJoin(TimePoint now) const;
  std::optional<wire::Member> leader() const;
  /// The leader was heard, or heard a majority, at this time.
  TimePoint leaderContact() const { return LeaderContact; }
  TimePoint startedAt() const { return StartedAt; }
  const wire::Membership &membership() const { return Voters; }
  std::uint64_t term() const { return Term; }
  std::uint64_t commitIndex() const { return Commit; }
  const wire::Member &self() const { return Self; }

private:
  enum class MemberRole { Follower, TrialCandidate, Candidate, Leader };

  /// How far another member's log is known to go.
  struct Progress {
    wire::Member Member;
    std::uint64_t Match = 0;
    std::uint64_t Next = 1;
    std::uint64_t Round = 0;
    TimePoint HeardAt{};
    TimePoint JoinedAt{};
    /// A batch or snapshot is on its way.
    bool IsBusy = false;
    /// It holds the entries from this one to the one before Next; a snapshot
    /// holds all of them.
    std::uint64_t BusyFrom = 0;
    /// Then it is sent again, unless it was answered.
    TimePoint ResendAt{};
    /// From the last time it was sent, but for the time that its bytes take.
    Duration ResendPause{};
  };

  struct PendingRead {
    std::uint64_t Token = 0;
    std::uint64_t Round = 0;
    std::uint64_t Index = 0;
  };

  bool isVoter(MemberNumber number) const;
  std::uint64_t lastIndex() const;
  std::uint64_t lastTerm() const;
  std::uint64_t termAt(std::uint64_t index) const;
  const wire::Entry &entryAt(std::uint64_t index) const;
  std::size_t majority() const;

  void becomeFollower(TimePoint now, std::uint64_t term);
  void startTrial(TimePoint now);
  void startElection(TimePoint now);
  void askForVotes(bool isTrial);
  void askForVote(bool isTrial, const wire::Member &voter);
  /// It has heard of no leader since its start.
  bool isStarting() const { return LeaderContact == TimePoint{}; }
  bool mayStandNow(TimePoint now) const;
  /// For so long members go in order; longer once an election led nowhere.
  Duration orderTime() const {
    return std::max(Options.OrderTime, StartTimeout);
  }
  /// A vote was given, so nobody stands against it for a while.
  void keepVote(TimePoint now);
  /// The sender of \p trial, while members go in order.
  const wire::Member *findRival(TimePoint now,
                                const wire::Message &trial) const;
  /// This member goes before the sender of \p trial: by a newer log, then by a
  /// lower number.
  bool precedes(const wire::Message &trial) const;
  /// Stands for election in place of the sender of \p trial, where the order
  /// has this member go first.
  bool standInstead(TimePoint now, const wire::Message &trial);
  /// Drops the own trial for an earlier member, and holds back for OrderTime.
  void giveWay(TimePoint now, const wire::Message &trial);
  /// Members go in order again, without the one whose turn led nowhere, or
  /// after an election that did.
  void orderAnew(TimePoint now);
  void becomeLeader(TimePoint now);
  void resetElectionTimer(TimePoint now);
  /// Until the next trial vote, if nobody leads by then.
  void resetTrialTimer(TimePoint now);

  void onVoteRequest(TimePoint now, const wire::Message &message);
  void onVoteReply(TimePoint now, const wire::Message &message);
  void onAppendRequest(TimePoint now, const wire::Message &message);
  void onAppendReply(TimePoint now, const wire::Message &message);
  void followLeader(TimePoint now, const wire::Message &message);
  void onSnapshotRequest(TimePoint now, const wire::Message &message);
  void onJoinRequest(TimePoint now, const wire::Member &member);

  void append(wire::Entry entry);
  void truncateFrom(std::uint64_t index);
  void recomputeVoters();
  void saveVote();
  void record(wire::Record record);
  void send(const std::string &ip, MemberNumber to, wire::Message message);
  /// Sends once all that was recorded until now is on disk.
  void sendDurably(const std::string &ip, MemberNumber to,
                   wire::Message message);

  void replicate(TimePoint now, Progress &progress, bool mustSend);
  void replicateAll(TimePoint now, bool mustSend);
  void sendSnapshot(TimePoint now, Progress &progress);
  /// What begins at \p from is on its way, with \p bytes.
  void startWait(TimePoint now, Progress &progress, std::uint64_t from,
                 std::uint64_t bytes);
  /// What was on its way has come, or was refused.
  static void endWait(Progress &progress);
  /// What was on its way is to be sent again.
  static void giveUpWait(Progress &progress);
  void advanceCommit(TimePoint now);
  void setCommit(std::uint64_t index);
  void confirmReads();
  void failReads();
  void checkQuorum(TimePoint now);
  void maintainVoters(TimePoint now);
  void proposeVoters(wire::Membership voters);
  const Progress *bestSpare(TimePoint now) const;
  std::string ipOf(MemberNumber number) const;

  wire::Member Self;
  ConsensusOptions Options;
  std::mt19937_64 Random;

  std::uint64_t Term = 0;
  MemberNumber VotedFor = 0;
  wire::Snapshot Base;
  std::deque<wire::Entry> Log;
  wire::Membership Voters;
  /// The index of the newest entry that changed the voters.
  std::uint64_t VotersIndex = 0;

  MemberRole Role = MemberRole::Follower;
  std::optional<wire::Member> Leader;
  TimePoint LeaderContact{};
  TimePoint StartedAt{};
  /// The leader's commit index when it was last heard.
  std::uint64_t LeaderCommit = 0;
  TimePoint ElectionAt{};
  TimePoint HeartbeatAt{};
  std::set<MemberNumber> TrialVotes;
  std::set<MemberNumber> Votes;
  /// The last term in which this member stood for election in this life.
  std::uint64_t StoodIn = 0;
  /// Until then members that know of no leader go in order.
  TimePoint OrderUntil{};
  /// Until then this member starts no trial: it gave way, or has voted.
  TimePoint HoldsBackUntil{};
  std::optional<MemberNumber> GaveWayTo;
  /// They had their turn since they connected, and nobody leads.
  std::set<MemberNumber> PassedOver;
  /// Until then a vote that was given after the start is not made vain.
  TimePoint VoteHoldsUntil{};
  /// From an election to the next trial, until a leader is heard.
  Duration StartTimeout{};
  std::uint64_t Commit = 0;
  /// Starts above 0, which replies without a round carry.
  std::uint64_t Round = 1;
  std::map<MemberNumber, Progress> Others;
  std::vector<PendingRead> Reads;
  std::uint64_t BytesSinceSnapshot = 0;

  std::uint64_t LastTicket = 0;
  std::uint64_t PersistedTicket = 0;
  /// The last index that is on the own disk.
  std::uint64_t DurableIndex = 0;
  struct PersistPoint {
    std::uint64_t Ticket = 0;
    std::uint64_t Index = 0;
    std::uint64_t Term = 0;
  };
  /// The last index known to be as in the present leader's log.
  std::uint64_t MatchedIndex = 0;
  std::deque<PersistPoint> PersistPoints;
  std::deque<std::pair<std::uint64_t, OutgoingMessage>> HeldMessages;
  Effects Pending;
};

} // namespace stepledge::consensus

#endif // STEPLEDGE_CONSENSUS_CONSENSUSNODE_H
