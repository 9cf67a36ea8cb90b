// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file One member of the control group: election, replication, snapshots and
/// membership changes, as a state machine without clock, disk or sockets.
///
/// The log is replicated as in Raft, with pre-votes, a leader that steps down
/// without a majority, and joint changes of voters. Messages that need durable
/// records are sent after persisted().

#ifndef STEPLEDGE_CONSENSUS_CONSENSUSNODE_H
#define STEPLEDGE_CONSENSUS_CONSENSUSNODE_H

#include "consensus/VoterSets.h"
#include "consensus/generated/Consensus.pb.h"
#include "consensus/types/ConsensusOptions.h"
#include "consensus/types/GroupHealth.h"

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

struct VoterCandidates;
enum class VoterLoss;

/// State that a member loads from its disk.
struct DurableState {
  std::uint64_t Term = 0;
  MemberNumber VotedFor = 0;
  wire::Snapshot Snapshot;
  std::vector<wire::Entry> Entries;
};

/// A message and the address of its receiver, which other members may not have.
struct OutgoingMessage {
  std::string Ip;
  wire::Message Message;
};

/// Actions that the caller has to carry out after each call, in this order.
struct Effects {
  /// Records to write and sync; then persisted(Ticket) is to be called.
  std::vector<wire::Record> Records;
  std::uint64_t Ticket = 0;
  /// The log file is to be rewritten with allRecords(), since a snapshot
  /// replaces its content.
  bool MustRewrite = false;
  std::vector<OutgoingMessage> Messages;
  /// Replaces the applied state, before Committed is applied.
  std::optional<wire::Snapshot> Restored;
  std::vector<wire::Entry> Committed;
  /// Reads that may now be answered from the applied state.
  std::vector<std::uint64_t> ConfirmedReads;
  /// Reads that failed because the leader lost its leadership.
  std::vector<std::uint64_t> FailedReads;
};

class ConsensusNode {
public:
  ConsensusNode(wire::Member self, ConsensusOptions options,
                DurableState durable, std::uint64_t seed, TimePoint now);

  void tick(TimePoint now);
  void receive(TimePoint now, const wire::Message &message);
  /// Messages to and from \p ip arrive from now on. A leader sends to the
  /// member there at once; a starting member asks it for its vote again or
  /// starts a pre-vote.
  void connectionMade(TimePoint now, const std::string &ip);
  /// Messages to \p ip may be lost; a leader sends its unanswered batch or
  /// snapshot again.
  void connectionLost(TimePoint now, const std::string &ip);
  /// All records up to \p ticket are on disk.
  void persisted(TimePoint now, std::uint64_t ticket);
  /// Returns the entry's index; nothing if this member doesn't lead.
  std::optional<std::uint64_t> propose(TimePoint now, std::string command);
  /// Effects returns \p token in ConfirmedReads or FailedReads. False if this
  /// member can't serve reads.
  bool requestRead(TimePoint now, std::uint64_t token);
  /// Replaces the log up to \p index by the applied state, which is sent to
  /// members that are far behind.
  void takeSnapshot(std::uint64_t index, std::string state);
  bool needsSnapshot() const;
  Effects takeEffects();
  /// Returns all records of a new log file.
  std::vector<wire::Record> allRecords() const;

  bool isLeader() const { return Role == MemberRole::Leader; }
  /// True if this member leads and has committed an entry of its own term.
  bool canServe() const;
  /// True if the applied state has all entries that a majority had a moment
  /// ago.
  bool isFresh(TimePoint now) const;
  bool isVoter() const { return isVoter(Self.number()); }
  /// This process is about to end: it asks to be replaced as a voter while it
  /// still runs.
  void leave(TimePoint now);
  /// True if leave() has nothing left to do: this member is no voter any more,
  /// or there is no spare for it.
  bool canEnd() const;
  /// True if this member is no voter, or its log may be too old to show it; it
  /// then asks the other members to join.
  bool needsToJoin(TimePoint now) const;
  std::optional<wire::Member> leader() const;
  /// Time of the last message from the leader, or on the leader itself, when it
  /// last had replies from a majority.
  TimePoint leaderContact() const { return LeaderContact; }
  TimePoint startedAt() const { return StartedAt; }
  const wire::Membership &membership() const { return Voters; }
  /// All voters, during a change those of both sets.
  std::vector<wire::Member> voters() const { return allVoters(Voters); }
  /// The addresses of all other members that this one sends to: those of the
  /// voters, and on a leader those of the spares too.
  std::set<std::string> peerIps() const;
  std::uint64_t term() const { return Term; }
  std::uint64_t commitIndex() const { return Commit; }
  const wire::Member &self() const { return Self; }
  /// What keeps the group from committing, as far as this member can tell.
  GroupHealth health(TimePoint now) const;

private:
  enum class MemberRole { Follower, PreCandidate, Candidate, Leader };

  /// Replication state of another member.
  struct Progress {
    wire::Member Member;
    std::uint64_t Match = 0;
    std::uint64_t Next = 1;
    std::uint64_t Round = 0;
    TimePoint LastReplyAt{};
    TimePoint JoinedAt{};
    /// It has said that its program reads joint changes; an older one would go
    /// on with the old voters alone.
    bool ReadsJointChanges = false;
    /// Time of its last request to be replaced.
    std::optional<TimePoint> LeftAt;
    /// A batch or snapshot is unanswered.
    bool HasBatchInFlight = false;
    /// First entry of the unanswered batch, which ends before Next; a snapshot
    /// starts at 1.
    std::uint64_t InFlightFrom = 0;
    /// Time at which the batch or snapshot is sent again if still unanswered.
    TimePoint ResendAt{};
    /// Time from the last send to ResendAt, without the transfer time of its
    /// bytes.
    Duration ResendInterval{};
  };

  struct PendingRead {
    std::uint64_t Token = 0;
    std::uint64_t Round = 0;
    std::uint64_t Index = 0;
  };

  bool isVoter(MemberNumber number) const;
  VoterHealth voterHealth(TimePoint now, const wire::Member &voter) const;
  std::uint64_t lastIndex() const;
  std::uint64_t lastTerm() const;
  std::uint64_t termAt(std::uint64_t index) const;
  const wire::Entry &entryAt(std::uint64_t index) const;

  void becomeFollower(TimePoint now, std::uint64_t term);
  void startPreVote(TimePoint now);
  void startElection(TimePoint now);
  bool isElected(const std::set<MemberNumber> &votes) const;
  void requestVotes(bool isPreVote);
  void requestVote(bool isPreVote, const wire::Member &voter);
  /// True until the first message of a leader since the start of this member,
  /// or until it becomes leader itself.
  bool isStarting() const { return LeaderContact == TimePoint{}; }
  bool canStartPreVote(TimePoint now) const;
  /// Whether a vote of this member waits for the disk.
  bool isWritingVote() const;
  /// How long members become candidates in order; longer after an election
  /// without a leader.
  Duration orderedCandidacyTime() const {
    return std::max(Options.OrderedCandidacyTime, StartTimeout);
  }
  /// After a vote was given, also to itself, a starting member starts no
  /// pre-vote and answers none for a while.
  void protectVote(TimePoint now);
  /// Returns the sender of \p preVote if it is a competing candidate while
  /// members become candidates in order, else nullptr.
  const wire::Member *findCompetitor(TimePoint now,
                                     const wire::Message &preVote) const;
  /// True if this member comes before the sender of \p preVote: it has a newer
  /// log, or the same log and a lower number.
  bool precedes(const wire::Message &preVote) const;
  /// Starts or repeats this member's own pre-vote instead of granting \p
  /// preVote, if this member comes before its sender. False if it doesn't.
  bool preemptPreVote(TimePoint now, const wire::Message &preVote);
  /// Cancels this member's pre-vote in favour of an earlier candidate, and
  /// starts none for orderedCandidacyTime().
  void deferTo(TimePoint now, const wire::Message &preVote);
  /// Starts the ordered candidacy again after an election without a leader, or
  /// without the member that had its turn and doesn't lead.
  void restartOrderedCandidacy(TimePoint now);
  void becomeLeader(TimePoint now);
  void resetElectionTimer(TimePoint now);
  /// Sets the time of the next pre-vote, unless a leader appears before.
  void resetPreVoteTimer(TimePoint now);

  void onVoteRequest(TimePoint now, const wire::Message &message);
  void onVoteReply(TimePoint now, const wire::Message &message);
  void onAppendRequest(TimePoint now, const wire::Message &message);
  void onAppendReply(TimePoint now, const wire::Message &message);
  void followLeader(TimePoint now, const wire::Message &message);
  void onSnapshotRequest(TimePoint now, const wire::Message &message);
  void onJoinRequest(TimePoint now, const wire::Member &member);
  void onLeaveRequest(TimePoint now, MemberNumber number);

  void append(wire::Entry entry);
  void truncateFrom(std::uint64_t index);
  void recomputeVoters();
  void saveVote();
  void record(wire::Record record);
  void send(const std::string &ip, MemberNumber to, wire::Message message);
  /// Sends \p message once all records so far are on disk.
  void sendDurably(const std::string &ip, MemberNumber to,
                   wire::Message message);

  void replicate(TimePoint now, Progress &progress, bool mustSend);
  void replicateAll(TimePoint now, bool mustSend);
  void sendSnapshot(TimePoint now, Progress &progress);
  /// Marks the entries from \p from on as sent and unanswered, with \p bytes.
  void markInFlight(TimePoint now, Progress &progress, std::uint64_t from,
                    std::uint64_t bytes);
  /// Ends the wait for a reply, after an acceptance or a refusal.
  static void clearInFlight(Progress &progress);
  /// Ends the wait for a reply and has the same entries sent again.
  static void abandonInFlight(Progress &progress);
  void advanceCommit(TimePoint now);
  void setCommit(std::uint64_t index);
  void confirmReads();
  void failReads();
  void checkQuorum(TimePoint now);
  /// Starts a change of voters if one is due.
  void maintainVoters(TimePoint now);
  void removeOldSpares(TimePoint now);
  /// Ends a joint change once its entry is committed; a leader that is no voter
  /// afterwards steps down.
  void finishVoterChange(TimePoint now);
  void proposeVoters(wire::Membership voters);
  bool isChangingVoters() const {
    return isJoint(Voters) || VotersIndex > Commit;
  }
  VoterCandidates voterCandidates(TimePoint now) const;
  /// Whether all voters that may take part read joint changes.
  bool canChangeJointly(const VoterCandidates &candidates) const;
  VoterLoss lossOf(TimePoint now, MemberNumber voter) const;
  /// True if a member with another number has asked to join from the same
  /// address since \p heardAt, when \p member was heard last: its disk is gone.
  bool isWiped(const wire::Member &member, TimePoint heardAt) const;
  bool isLeaving(TimePoint now, const Progress &progress) const;
  void requestLeave(TimePoint now);
  std::string ipOf(MemberNumber number) const;

  wire::Member Self;
  ConsensusOptions Options;
  std::mt19937_64 Random;

  std::uint64_t Term = 0;
  MemberNumber VotedFor = 0;
  wire::Snapshot Base;
  std::deque<wire::Entry> Log;
  wire::Membership Voters;
  /// Index of the newest entry that changed the voters.
  std::uint64_t VotersIndex = 0;

  MemberRole Role = MemberRole::Follower;
  std::optional<wire::Member> Leader;
  TimePoint LeaderContact{};
  /// The leader of the last request, and whether its program reads joint
  /// changes.
  struct KnownLeader {
    MemberNumber Number = 0;
    bool ReadsJointChanges = false;
  };
  KnownLeader LastLeader;
  TimePoint StartedAt{};
  /// Highest commit index in the messages of the leader.
  std::uint64_t LeaderCommit = 0;
  TimePoint ElectionAt{};
  TimePoint HeartbeatAt{};
  std::set<MemberNumber> PreVotes;
  std::set<MemberNumber> Votes;
  /// Last term in which this process was a candidate; 0 once late votes no
  /// longer count.
  std::uint64_t CandidateTerm = 0;
  /// End of the ordered candidacy.
  TimePoint OrderedCandidacyUntil{};
  /// No pre-vote is started before this time, because this member deferred to
  /// another one or has voted.
  TimePoint PreVotesPausedUntil{};
  std::optional<MemberNumber> DeferredTo;
  /// Members that had their turn as candidate since they connected, without
  /// leading.
  std::set<MemberNumber> SkippedCandidates;
  /// Pre-votes are ignored until this time, so that they don't void a vote that
  /// was given after the start.
  TimePoint VoteProtectedUntil{};
  /// Minimum time from an election to the next pre-vote, until the first
  /// message of a leader.
  Duration StartTimeout{};
  std::uint64_t Commit = 0;
  /// Number of the current round; starts above 0, which replies without a round
  /// have.
  std::uint64_t Round = 1;
  std::map<MemberNumber, Progress> Others;
  /// Set once this process is about to end; time of the next request.
  std::optional<TimePoint> LeaveRequestAt;
  bool IsLeaveRefused = false;
  struct JoinAt {
    MemberNumber Number = 0;
    TimePoint At{};
  };
  /// The last request to join from each address.
  std::map<std::string, JoinAt> LastJoins;
  /// Time of the last message from each voter.
  std::map<MemberNumber, TimePoint> HeardAt;
  std::vector<PendingRead> Reads;
  std::uint64_t BytesSinceSnapshot = 0;

  std::uint64_t LastTicket = 0;
  std::uint64_t PersistedTicket = 0;
  /// Last index on this member's disk.
  std::uint64_t DurableIndex = 0;
  struct PersistPoint {
    std::uint64_t Ticket = 0;
    std::uint64_t Index = 0;
    std::uint64_t Term = 0;
  };
  /// Last index that is known to match the current leader's log.
  std::uint64_t MatchedIndex = 0;
  std::deque<PersistPoint> PersistPoints;
  std::deque<std::pair<std::uint64_t, OutgoingMessage>> MessagesAwaitingSync;
  Effects Pending;
};

} // namespace stepledge::consensus

#endif // STEPLEDGE_CONSENSUS_CONSENSUSNODE_H
