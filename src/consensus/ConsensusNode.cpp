// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "consensus/ConsensusNode.h"

#include <algorithm>
#include <utility>

namespace stepledge::consensus {

namespace {

/// A member's own candidacy, or its vote for another member; both are on disk
/// before they leave.
bool isVote(const wire::Message &message) {
  if (message.has_vote_request())
    return !message.vote_request().is_trial();
  return message.has_vote_reply() && message.vote_reply().granted() &&
         !message.vote_reply().is_trial();
}

} // namespace

ConsensusNode::ConsensusNode(wire::Member self, ConsensusOptions options,
                             DurableState durable, std::uint64_t seed,
                             TimePoint now)
    : Self(std::move(self)), Options(options), Random(seed), Term(durable.Term),
      VotedFor(durable.VotedFor), Base(std::move(durable.Snapshot)),
      StartedAt(now), StartTimeout(Options.FirstElectionTimeout) {
  for (auto &it : durable.Entries)
    Log.push_back(std::move(it));
  Commit = Base.index();
  DurableIndex = lastIndex();
  if (Base.index() > 0)
    Pending.Restored = Base;
  recomputeVoters();
  resetPreVoteTimer(now);
}

bool ConsensusNode::isVoter(MemberNumber number) const {
  return contains(Voters.voters(), number) ||
         contains(Voters.next_voters(), number);
}

std::uint64_t ConsensusNode::lastIndex() const {
  return Log.empty() ? Base.index() : Log.back().index();
}

std::uint64_t ConsensusNode::lastTerm() const {
  return Log.empty() ? Base.term() : Log.back().term();
}

std::uint64_t ConsensusNode::termAt(std::uint64_t index) const {
  if (index == Base.index())
    return Base.term();
  if (index < Base.index() || index > lastIndex())
    return 0;
  return entryAt(index).term();
}

const wire::Entry &ConsensusNode::entryAt(std::uint64_t index) const {
  return Log[index - Base.index() - 1];
}

bool ConsensusNode::canServe() const {
  return isLeader() && termAt(Commit) == Term;
}

bool ConsensusNode::isFresh(TimePoint now) const {
  if (isLeader())
    return canServe();
  return Leader && now - LeaderContact < Options.AliveLimit &&
         LeaderCommit > 0 && termAt(LeaderCommit) == Term &&
         Commit >= LeaderCommit;
}

bool ConsensusNode::needsToJoin(TimePoint now) const {
  if (LeaveRequestAt)
    return false;
  const TimePoint since = std::max(LeaderContact, StartedAt);
  return !isVoter() || (!isLeader() && now - since > Options.RejoinAfter);
}

bool ConsensusNode::canEnd() const {
  return IsLeaveRefused || (!isVoter() && Commit >= VotersIndex);
}

GroupHealth ConsensusNode::health(TimePoint now) const {
  GroupHealth health;
  health.Leads = isLeader();
  health.Term = Term;
  health.Commit = Commit;
  health.LastIndex = lastIndex();
  for (const auto &it : voters())
    health.Voters.push_back(voterHealth(now, it));
  if (isLeader())
    for (const auto &[number, it] : Others)
      if (!isVoter(number))
        health.Spares.push_back(
            {number, it.Member.ip(), now - it.LastReplyAt, it.Match});
  const auto canVote = [&](MemberNumber number) {
    return std::none_of(
        health.Voters.begin(), health.Voters.end(),
        [&](const auto &it) { return it.Number == number && it.IsWiped; });
  };
  // NOTE: a member that hasn't joined yet knows no voter.
  health.HasMajority = health.Voters.empty() || hasMajority(Voters, canVote);
  if (!isLeader())
    health.WithoutLeader = now - std::max(LeaderContact, StartedAt);
  return health;
}

VoterHealth ConsensusNode::voterHealth(TimePoint now,
                                       const wire::Member &voter) const {
  VoterHealth health;
  health.Number = voter.number();
  health.Ip = voter.ip();
  health.IsOld = contains(Voters.voters(), voter.number());
  health.IsNext = contains(Voters.next_voters(), voter.number());
  if (voter.number() == Self.number())
    return health;
  const auto other = Others.find(voter.number());
  const bool isFollower = isLeader() && other != Others.end();
  const auto heard = HeardAt.find(voter.number());
  // NOTE: a voter that only asks for votes doesn't follow.
  const TimePoint since = isFollower               ? other->second.LastReplyAt
                          : heard == HeardAt.end() ? StartedAt
                                                   : heard->second;
  // NOTE: to a follower the other followers have nothing to tell.
  health.SilentFor = Leader ? Duration{} : now - since;
  health.IsSilent = health.SilentFor > Options.AliveLimit;
  health.Match = isFollower ? other->second.Match : 0;
  health.IsWiped = isWiped(voter, since);
  return health;
}

bool ConsensusNode::isWritingVote() const {
  return std::any_of(MessagesAwaitingSync.begin(), MessagesAwaitingSync.end(),
                     [](const auto &it) { return isVote(it.second.Message); });
}

std::optional<wire::Member> ConsensusNode::leader() const {
  return isLeader() ? Self : Leader;
}

std::set<std::string> ConsensusNode::peerIps() const {
  std::set<std::string> ips;
  for (const auto &it : voters())
    ips.insert(it.ip());
  if (isLeader())
    for (const auto &[number, it] : Others)
      ips.insert(it.Member.ip());
  ips.erase(Self.ip());
  return ips;
}

std::string ConsensusNode::ipOf(MemberNumber number) const {
  for (const auto &it : voters())
    if (it.number() == number)
      return it.ip();
  const auto it = Others.find(number);
  return it == Others.end() ? std::string() : it->second.Member.ip();
}

void ConsensusNode::resetElectionTimer(TimePoint now) {
  const Duration least = isStarting() ? StartTimeout : Options.ElectionTimeout;
  std::uniform_int_distribution<std::int64_t> extra(0, least.count());
  ElectionAt = now + least + Duration(extra(Random));
}

void ConsensusNode::resetPreVoteTimer(TimePoint now) {
  // NOTE: after a start no leader is known, and a pre-vote doesn't disturb one,
  // so pre-votes come early until the first message of a leader.
  if (LeaderContact > TimePoint{})
    return resetElectionTimer(now);
  std::uniform_int_distribution<std::int64_t> pause(
      Options.MinStartupPreVotePause.count(),
      Options.MaxStartupPreVotePause.count());
  ElectionAt = now + Duration(pause(Random));
}

void ConsensusNode::tick(TimePoint now) {
  if (LeaveRequestAt && now >= *LeaveRequestAt)
    requestLeave(now);
  if (isLeader()) {
    checkQuorum(now);
    if (!isLeader() || now < HeartbeatAt)
      return;
    HeartbeatAt = now + Options.HeartbeatInterval;
    replicateAll(now, true);
    removeOldSpares(now);
    maintainVoters(now);
    return;
  }
  // NOTE: on a slow disk the next candidacy would always overtake the vote of
  // this one.
  if (now >= ElectionAt && isVoter() && !isWritingVote())
    startPreVote(now);
}

void ConsensusNode::receive(TimePoint now, const wire::Message &message) {
  if (message.has_join_request()) {
    const auto &joining = message.join_request().member();
    LastJoins[joining.ip()] = {joining.number(), now};
    if (isLeader())
      onJoinRequest(now, message.join_request().member());
    else if (Leader && Leader->number() != message.from())
      send(Leader->ip(), Leader->number(), message);
    return;
  }
  if (message.to() != Self.number())
    return;
  if (isVoter(message.from()))
    HeardAt[message.from()] = now;
  if (message.has_leave_request())
    return onLeaveRequest(now, message.from());
  if (message.has_leave_refusal()) {
    IsLeaveRefused = true;
    return;
  }
  // NOTE: a pre-vote's term is one that no member has entered, but a reply that
  // refuses a pre-vote carries the term of the member that refuses, which may
  // be newer.
  const bool isPreVote =
      (message.has_vote_request() && message.vote_request().is_trial()) ||
      (message.has_vote_reply() && message.vote_reply().is_trial() &&
       message.vote_reply().granted());
  const bool hasLeader =
      (isLeader() || Leader) && now - LeaderContact < Options.ElectionTimeout;
  // NOTE: a member with a recent message of its leader helps no other member to
  // depose it.
  if (message.has_vote_request() && hasLeader)
    return;
  // NOTE: the member that got its vote may become leader in a moment.
  if (message.has_vote_request() && isPreVote &&
      (now < VoteProtectedUntil || isWritingVote()))
    return;
  const bool hasNewerTerm = message.term() > Term && !isPreVote;
  if (hasNewerTerm)
    becomeFollower(now, message.term());
  if (message.has_vote_request())
    onVoteRequest(now, message);
  else if (message.has_vote_reply())
    onVoteReply(now, message);
  else if (message.has_append_request())
    onAppendRequest(now, message);
  else if (message.has_append_reply())
    onAppendReply(now, message);
  else if (message.has_snapshot_request())
    onSnapshotRequest(now, message);
  // NOTE: the pre-vote was refused only for its old term, which is up to date
  // now.
  if (hasNewerTerm && message.has_vote_reply() && canStartPreVote(now))
    startPreVote(now);
}

void ConsensusNode::becomeFollower(TimePoint now, std::uint64_t term) {
  const bool wasLeader = isLeader();
  Role = MemberRole::Follower;
  Leader.reset();
  if (term > Term) {
    Term = term;
    VotedFor = 0;
    saveVote();
  }
  if (wasLeader)
    failReads();
  resetElectionTimer(now);
}

void ConsensusNode::becomeLeader(TimePoint now) {
  Role = MemberRole::Leader;
  // NOTE: a late vote doesn't restore a lost leadership.
  CandidateTerm = 0;
  Leader.reset();
  // NOTE: the last leader's silence is what made this member one.
  const TimePoint lastLeaderAt = std::exchange(LeaderContact, now);
  HeartbeatAt = now;
  Others.clear();
  for (const auto &it : voters()) {
    if (it.number() == Self.number())
      continue;
    auto &progress = Others[it.number()];
    progress.Member = it;
    progress.Next = lastIndex() + 1;
    progress.LastReplyAt = now;
    if (it.number() != LastLeader.Number)
      continue;
    progress.LastReplyAt = lastLeaderAt;
    progress.ReadsJointChanges = LastLeader.ReadsJointChanges;
  }
  LastLeader = {};
  wire::Entry first;
  append(std::move(first));
  replicateAll(now, true);
}

std::optional<std::uint64_t> ConsensusNode::propose(TimePoint now,
                                                    std::string command) {
  if (!isLeader())
    return std::nullopt;
  wire::Entry entry;
  entry.set_command(std::move(command));
  append(std::move(entry));
  replicateAll(now, false);
  return lastIndex();
}

bool ConsensusNode::requestRead(TimePoint now, std::uint64_t token) {
  if (!canServe())
    return false;
  ++Round;
  Reads.push_back({token, Round, Commit});
  replicateAll(now, true);
  confirmReads();
  return true;
}

void ConsensusNode::append(wire::Entry entry) {
  entry.set_term(Term);
  entry.set_index(lastIndex() + 1);
  if (entry.has_membership()) {
    Voters = entry.membership();
    VotersIndex = entry.index();
  }
  wire::Record it;
  *it.mutable_entry() = entry;
  BytesSinceSnapshot += entry.command().size();
  Log.push_back(std::move(entry));
  record(std::move(it));
}

void ConsensusNode::truncateFrom(std::uint64_t index) {
  while (lastIndex() >= index && !Log.empty())
    Log.pop_back();
  DurableIndex = std::min(DurableIndex, lastIndex());
  recomputeVoters();
}

void ConsensusNode::recomputeVoters() {
  for (auto it = Log.rbegin(); it != Log.rend(); ++it) {
    if (!it->has_membership())
      continue;
    Voters = it->membership();
    VotersIndex = it->index();
    return;
  }
  Voters = Base.membership();
  VotersIndex = Base.index();
}

void ConsensusNode::saveVote() {
  wire::Record it;
  it.set_term(Term);
  it.set_has_vote(true);
  it.set_voted_for(VotedFor);
  record(std::move(it));
}

void ConsensusNode::record(wire::Record record) {
  Pending.Records.push_back(std::move(record));
}

void ConsensusNode::send(const std::string &ip, MemberNumber to,
                         wire::Message message) {
  if (!message.has_join_request())
    message.set_from(Self.number());
  message.set_to(to);
  Pending.Messages.push_back({ip, std::move(message)});
}

void ConsensusNode::sendDurably(const std::string &ip, MemberNumber to,
                                wire::Message message) {
  const bool hasRecords = !Pending.Records.empty() || Pending.MustRewrite;
  const std::uint64_t needed = hasRecords ? LastTicket + 1 : LastTicket;
  if (needed <= PersistedTicket)
    return send(ip, to, std::move(message));
  message.set_from(Self.number());
  message.set_to(to);
  MessagesAwaitingSync.emplace_back(needed,
                                    OutgoingMessage{ip, std::move(message)});
}

Effects ConsensusNode::takeEffects() {
  Effects effects = std::move(Pending);
  Pending = Effects();
  if (!effects.Records.empty() || effects.MustRewrite) {
    effects.Ticket = ++LastTicket;
    PersistPoints.push_back({LastTicket, lastIndex(), lastTerm()});
  }
  return effects;
}

void ConsensusNode::persisted(TimePoint now, std::uint64_t ticket) {
  PersistedTicket = std::max(PersistedTicket, ticket);
  while (!PersistPoints.empty() && PersistPoints.front().Ticket <= ticket) {
    const auto point = PersistPoints.front();
    PersistPoints.pop_front();
    if (termAt(point.Index) == point.Term && point.Index >= Base.index())
      DurableIndex = std::max(DurableIndex, point.Index);
  }
  while (!MessagesAwaitingSync.empty() &&
         MessagesAwaitingSync.front().first <= ticket) {
    auto heldMessage = std::move(MessagesAwaitingSync.front().second);
    MessagesAwaitingSync.pop_front();
    // NOTE: only now can the vote elect somebody.
    if (isVote(heldMessage.Message) && now >= ElectionAt)
      resetElectionTimer(now);
    // NOTE: a vote of an earlier term is no longer valid.
    if (heldMessage.Message.term() >= Term)
      Pending.Messages.push_back(std::move(heldMessage));
  }
  if (isLeader())
    return advanceCommit(now);
  if (Leader) {
    wire::Message reply;
    reply.set_term(Term);
    reply.mutable_append_reply()->set_accepted(true);
    reply.mutable_append_reply()->set_reads_joint_changes(true);
    reply.mutable_append_reply()->set_index(
        std::min(DurableIndex, MatchedIndex));
    reply.mutable_append_reply()->set_received(MatchedIndex);
    send(Leader->ip(), Leader->number(), std::move(reply));
  }
}

std::vector<wire::Record> ConsensusNode::allRecords() const {
  std::vector<wire::Record> records;
  wire::Record identity;
  identity.set_identity(Self.number());
  records.push_back(std::move(identity));
  wire::Record base;
  *base.mutable_snapshot() = Base;
  records.push_back(std::move(base));
  wire::Record vote;
  vote.set_term(Term);
  vote.set_has_vote(true);
  vote.set_voted_for(VotedFor);
  records.push_back(std::move(vote));
  for (const auto &it : Log) {
    wire::Record entry;
    *entry.mutable_entry() = it;
    records.push_back(std::move(entry));
  }
  return records;
}

bool ConsensusNode::needsSnapshot() const {
  const std::uint64_t applied = Commit - Base.index();
  return applied > Options.SnapshotEntries + Options.EntriesKept ||
         (BytesSinceSnapshot > Options.SnapshotBytes && applied > 1);
}

void ConsensusNode::takeSnapshot(std::uint64_t index, std::string state) {
  if (index <= Base.index() || index > Commit)
    return;
  // NOTE: the state covers all entries up to its index, so none of them is
  // kept; a member that lacks some of them receives the state.
  const std::uint64_t term = termAt(index);
  wire::Membership voters = Base.membership();
  while (!Log.empty() && Log.front().index() <= index) {
    if (Log.front().has_membership())
      voters = Log.front().membership();
    Log.pop_front();
  }
  Base.set_index(index);
  Base.set_term(term);
  *Base.mutable_membership() = std::move(voters);
  Base.set_state(std::move(state));
  BytesSinceSnapshot = 0;
  Pending.MustRewrite = true;
}

} // namespace stepledge::consensus
