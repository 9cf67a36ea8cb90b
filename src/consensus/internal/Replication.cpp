// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The part of ConsensusNode that replicates the log, commits entries and
/// maintains the voters.

#include "consensus/ConsensusNode.h"
#include "consensus/internal/VoterPlan.h"

#include <algorithm>
#include <utility>

namespace stepledge::consensus {

void ConsensusNode::onAppendRequest(TimePoint now,
                                    const wire::Message &message) {
  if (message.term() < Term) {
    wire::Message reply;
    reply.set_term(Term);
    reply.mutable_append_reply()->set_accepted(false);
    const std::string ip = ipOf(message.from());
    if (!ip.empty())
      send(ip, message.from(), std::move(reply));
    return;
  }
  followLeader(now, message);
  const auto &request = message.append_request();
  LastLeader = {message.from(), request.reads_joint_changes()};
  wire::Message reply;
  reply.set_term(Term);
  auto &result = *reply.mutable_append_reply();
  result.set_reads_joint_changes(true);
  result.set_round(request.round());
  const std::uint64_t previous = request.previous_index();
  const bool isBehindBase = previous < Base.index();
  if (!isBehindBase &&
      (previous > lastIndex() || termAt(previous) != request.previous_term())) {
    result.set_accepted(false);
    result.set_index(std::min(lastIndex(), previous - 1));
    return send(Leader->ip(), Leader->number(), std::move(reply));
  }
  std::uint64_t matched = previous;
  for (const auto &it : request.entries()) {
    matched = it.index();
    if (it.index() <= Base.index() ||
        (it.index() <= lastIndex() && termAt(it.index()) == it.term()))
      continue;
    truncateFrom(it.index());
    Log.push_back(it);
    if (it.has_membership()) {
      Voters = it.membership();
      VotersIndex = it.index();
    }
    BytesSinceSnapshot += it.command().size();
    wire::Record entry;
    *entry.mutable_entry() = it;
    record(std::move(entry));
  }
  MatchedIndex = std::max(matched, std::min(MatchedIndex, lastIndex()));
  // NOTE: a heartbeat may overtake a batch, which then has an older commit
  // index.
  LeaderCommit = std::max(LeaderCommit, request.commit());
  setCommit(std::min(request.commit(), MatchedIndex));
  result.set_accepted(true);
  // NOTE: persisted() reports the entries that are not on disk yet.
  result.set_index(std::min(DurableIndex, MatchedIndex));
  result.set_received(MatchedIndex);
  send(Leader->ip(), Leader->number(), std::move(reply));
}

void ConsensusNode::followLeader(TimePoint now, const wire::Message &message) {
  if (!Leader || Leader->number() != message.from()) {
    MatchedIndex = Commit;
    LeaderCommit = 0;
    wire::Member it;
    it.set_number(message.from());
    it.set_ip(message.sender_ip());
    Leader = std::move(it);
  }
  Role = MemberRole::Follower;
  // NOTE: a late vote of this term no longer counts.
  CandidateTerm = 0;
  LeaderContact = now;
  resetElectionTimer(now);
}

void ConsensusNode::onSnapshotRequest(TimePoint now,
                                      const wire::Message &message) {
  if (message.term() < Term)
    return;
  followLeader(now, message);
  const auto &request = message.snapshot_request();
  if (request.snapshot().index() > Commit) {
    // NOTE: this compares the log before it gets the new base; with the new
    // base, the term would be compared with itself, and entries of a lost
    // leadership would stay and count in votes.
    const bool keepsTail =
        lastIndex() > request.snapshot().index() &&
        termAt(request.snapshot().index()) == request.snapshot().term();
    Base = request.snapshot();
    if (!keepsTail)
      Log.clear();
    while (!Log.empty() && Log.front().index() <= Base.index())
      Log.pop_front();
    Commit = Base.index();
    DurableIndex = 0;
    MatchedIndex = Base.index();
    BytesSinceSnapshot = 0;
    recomputeVoters();
    Pending.Restored = Base;
    Pending.Committed.clear();
    Pending.Records.clear();
    Pending.MustRewrite = true;
  }
  wire::Message reply;
  reply.set_term(Term);
  reply.mutable_append_reply()->set_accepted(true);
  reply.mutable_append_reply()->set_reads_joint_changes(true);
  reply.mutable_append_reply()->set_round(request.round());
  reply.mutable_append_reply()->set_index(std::min(Commit, MatchedIndex));
  reply.mutable_append_reply()->set_received(MatchedIndex);
  sendDurably(Leader->ip(), Leader->number(), std::move(reply));
}

void ConsensusNode::onAppendReply(TimePoint now, const wire::Message &message) {
  const auto it = Others.find(message.from());
  if (!isLeader() || message.term() != Term || it == Others.end())
    return;
  auto &progress = it->second;
  const auto &reply = message.append_reply();
  progress.LastReplyAt = now;
  progress.ReadsJointChanges = reply.reads_joint_changes();
  progress.Round = std::max(progress.Round, reply.round());
  if (reply.accepted()) {
    progress.Match = std::max(progress.Match, reply.index());
    progress.Next = std::max(progress.Next, progress.Match + 1);
    // NOTE: a reply to a heartbeat that overtook a batch, or was sent before
    // it, doesn't acknowledge the batch. When it ended the wait, the next
    // heartbeat found a gap and caused copies: three entries of 205 KB each
    // took 3,896 KB.
    if (reply.received() + 1 >= progress.Next)
      clearInFlight(progress);
  } else if (!progress.HasBatchInFlight ||
             reply.index() + 1 < progress.InFlightFrom) {
    progress.Next = std::max<std::uint64_t>(
        progress.Match + 1, std::min(progress.Next - 1, reply.index() + 1));
    clearInFlight(progress);
  }
  // NOTE: otherwise the entries that this refusal asks for are already sent.
  advanceCommit(now);
  // NOTE: a leader that was replaced as a voter has just stepped down.
  if (!isLeader())
    return;
  confirmReads();
  if (progress.Next <= lastIndex())
    replicate(now, progress, false);
}

void ConsensusNode::onJoinRequest(TimePoint now, const wire::Member &member) {
  auto [it, isNew] = Others.try_emplace(member.number());
  auto &progress = it->second;
  progress.JoinedAt = now;
  if (!isNew)
    return;
  progress.Member = member;
  progress.LastReplyAt = now;
  progress.Next = lastIndex() + 1;
  replicate(now, progress, true);
}

void ConsensusNode::replicateAll(TimePoint now, bool mustSend) {
  for (auto &[number, it] : Others)
    replicate(now, it, mustSend);
}

void ConsensusNode::replicate(TimePoint now, Progress &progress,
                              bool mustSend) {
  if (progress.HasBatchInFlight && now >= progress.ResendAt)
    abandonInFlight(progress);
  if (progress.Next <= Base.index() && !progress.HasBatchInFlight)
    return sendSnapshot(now, progress);
  if (progress.HasBatchInFlight && !mustSend)
    return;
  // NOTE: while a batch is unanswered, heartbeats repeat no entries; they match
  // at an index that the receiver is known to have, or else at the first one in
  // this log. A member that received no heartbeat during its snapshot asked for
  // votes 48 times in 8 s.
  const std::uint64_t next = progress.HasBatchInFlight
                                 ? std::max(progress.Match, Base.index()) + 1
                                 : progress.Next;
  wire::Message message;
  message.set_term(Term);
  message.set_sender_ip(Self.ip());
  auto &request = *message.mutable_append_request();
  request.set_previous_index(next - 1);
  request.set_previous_term(termAt(next - 1));
  request.set_commit(Commit);
  request.set_round(Round);
  request.set_reads_joint_changes(true);
  std::uint64_t bytes = 0;
  for (std::uint64_t index = next;
       !progress.HasBatchInFlight && index <= lastIndex(); ++index) {
    const auto &entry = entryAt(index);
    const std::uint64_t all = bytes + entry.command().size();
    if (all > Options.BatchBytes && index > next)
      break;
    bytes = all;
    *request.add_entries() = entry;
    progress.Next = index + 1;
  }
  if (request.entries_size() > 0)
    markInFlight(now, progress, next, bytes);
  send(progress.Member.ip(), progress.Member.number(), std::move(message));
}

void ConsensusNode::sendSnapshot(TimePoint now, Progress &progress) {
  wire::Message message;
  message.set_term(Term);
  message.set_sender_ip(Self.ip());
  *message.mutable_snapshot_request()->mutable_snapshot() = Base;
  message.mutable_snapshot_request()->set_round(Round);
  progress.Next = Base.index() + 1;
  markInFlight(now, progress, 1, Base.state().size());
  send(progress.Member.ip(), progress.Member.number(), std::move(message));
}

void ConsensusNode::markInFlight(TimePoint now, Progress &progress,
                                 std::uint64_t from, std::uint64_t bytes) {
  constexpr std::uint64_t MillisecondsInSecond = 1000;
  const std::uint64_t bytesMs =
      bytes * MillisecondsInSecond / Options.MinBytesPerSecond;
  progress.HasBatchInFlight = true;
  progress.InFlightFrom = from;
  progress.ResendInterval =
      std::clamp(progress.ResendInterval * 2, Options.FirstResendInterval,
                 Options.MaxResendInterval);
  progress.ResendAt = now + progress.ResendInterval +
                      milliseconds(static_cast<std::int64_t>(bytesMs));
}

void ConsensusNode::clearInFlight(Progress &progress) {
  progress.HasBatchInFlight = false;
  progress.ResendInterval = {};
}

void ConsensusNode::abandonInFlight(Progress &progress) {
  progress.HasBatchInFlight = false;
  progress.Next = std::max(progress.Match + 1, progress.InFlightFrom);
}

void ConsensusNode::connectionLost(TimePoint now, const std::string &ip) {
  if (!isLeader())
    return;
  for (auto &[number, it] : Others) {
    if (!it.HasBatchInFlight || it.Member.ip() != ip)
      continue;
    abandonInFlight(it);
    it.ResendInterval = {};
    replicate(now, it, true);
  }
}

void ConsensusNode::advanceCommit(TimePoint now) {
  const std::uint64_t index =
      reachedByMajority(Voters, [&](MemberNumber number) {
        const auto other = Others.find(number);
        if (number == Self.number())
          return DurableIndex;
        return other == Others.end() ? 0 : other->second.Match;
      });
  // NOTE: entries of earlier terms commit only together with one of this term.
  if (index <= Commit || termAt(index) != Term)
    return;
  const bool isFirst = !canServe();
  const bool hasNewVoters = Commit < VotersIndex && index >= VotersIndex;
  setCommit(index);
  // NOTE: followers serve, and a replaced voter ends, once they have the new
  // commit index, so it is sent now and not with the next heartbeat.
  if (isFirst || hasNewVoters)
    replicateAll(now, true);
  finishVoterChange(now);
}

void ConsensusNode::setCommit(std::uint64_t index) {
  while (Commit < index) {
    ++Commit;
    Pending.Committed.push_back(entryAt(Commit));
  }
}

void ConsensusNode::confirmReads() {
  std::erase_if(Reads, [&](const PendingRead &read) {
    const bool isConfirmed = hasMajority(Voters, [&](MemberNumber number) {
      const auto other = Others.find(number);
      return number == Self.number() ||
             (other != Others.end() && other->second.Round >= read.Round);
    });
    if (!isConfirmed)
      return false;
    Pending.ConfirmedReads.push_back(read.Token);
    return true;
  });
}

void ConsensusNode::failReads() {
  for (const auto &it : Reads)
    Pending.FailedReads.push_back(it.Token);
  Reads.clear();
}

void ConsensusNode::checkQuorum(TimePoint now) {
  const bool hasQuorum = hasMajority(Voters, [&](MemberNumber number) {
    const auto other = Others.find(number);
    return number == Self.number() ||
           (other != Others.end() &&
            now - other->second.LastReplyAt < Options.AliveLimit);
  });
  if (hasQuorum) {
    LeaderContact = now;
    return;
  }
  becomeFollower(now, Term);
}

void ConsensusNode::maintainVoters(TimePoint now) {
  if (!canServe() || isChangingVoters())
    return;
  const auto candidates = voterCandidates(now);
  auto next = planVoters(candidates, Options.TargetVoters);
  if (!next || !canChangeJointly(candidates))
    return;
  wire::Membership joint = Voters;
  *joint.mutable_next_voters() = *std::move(next);
  proposeVoters(std::move(joint));
  replicateAll(now, false);
}

void ConsensusNode::removeOldSpares(TimePoint now) {
  std::erase_if(Others, [&](const auto &it) {
    return !isVoter(it.first) &&
           now - it.second.JoinedAt > Options.SpareLifetime;
  });
}

void ConsensusNode::finishVoterChange(TimePoint now) {
  if (VotersIndex > Commit)
    return;
  if (isJoint(Voters)) {
    // NOTE: replaced voters get the rest of the change as spares do.
    for (const auto &it : Voters.voters())
      if (const auto other = Others.find(it.number()); other != Others.end())
        other->second.JoinedAt = now;
    wire::Membership next;
    *next.mutable_voters() = Voters.next_voters();
    proposeVoters(std::move(next));
    return replicateAll(now, false);
  }
  if (!isVoter())
    becomeFollower(now, Term);
}

void ConsensusNode::proposeVoters(wire::Membership voters) {
  wire::Entry entry;
  *entry.mutable_membership() = std::move(voters);
  append(std::move(entry));
}

VoterCandidates ConsensusNode::voterCandidates(TimePoint now) const {
  VoterCandidates candidates;
  for (const auto &it : Voters.voters())
    candidates.Voters.push_back({it, lossOf(now, it.number())});
  for (const auto &[number, it] : Others)
    if (!isVoter(number) && it.ReadsJointChanges && it.Match >= Commit &&
        !isWiped(it.Member, it.LastReplyAt) && !isLeaving(now, it) &&
        now - it.LastReplyAt < Options.AliveLimit)
      candidates.Spares.push_back(it.Member);
  return candidates;
}

bool ConsensusNode::canChangeJointly(const VoterCandidates &candidates) const {
  return std::all_of(
      candidates.Voters.begin(), candidates.Voters.end(), [&](const auto &it) {
        const auto other = Others.find(it.Member.number());
        const bool isLost =
            it.Loss == VoterLoss::Wiped || it.Loss == VoterLoss::Silent;
        return isLost || it.Member.number() == Self.number() ||
               (other != Others.end() && other->second.ReadsJointChanges);
      });
}

VoterLoss ConsensusNode::lossOf(TimePoint now, MemberNumber voter) const {
  if (voter == Self.number())
    return LeaveRequestAt ? VoterLoss::Leaving : VoterLoss::None;
  const auto it = Others.find(voter);
  if (it == Others.end())
    return VoterLoss::None;
  const auto &progress = it->second;
  if (isWiped(progress.Member, progress.LastReplyAt))
    return VoterLoss::Wiped;
  if (isLeaving(now, progress))
    return VoterLoss::Leaving;
  const Duration silentFor = now - progress.LastReplyAt;
  if (silentFor > Options.ReplaceAfter)
    return VoterLoss::Silent;
  return silentFor > Options.SuspectAfter ? VoterLoss::Suspected
                                          : VoterLoss::None;
}

bool ConsensusNode::isWiped(const wire::Member &member,
                            TimePoint heardAt) const {
  const auto join = LastJoins.find(member.ip());
  return join != LastJoins.end() && join->second.Number != member.number() &&
         join->second.At > heardAt;
}

bool ConsensusNode::isLeaving(TimePoint now, const Progress &progress) const {
  return progress.LeftAt && now - *progress.LeftAt < Options.LeaveLifetime;
}

void ConsensusNode::leave(TimePoint now) {
  if (!LeaveRequestAt)
    requestLeave(now);
}

void ConsensusNode::requestLeave(TimePoint now) {
  LeaveRequestAt = now + Options.HeartbeatInterval;
  if (isLeader()) {
    maintainVoters(now);
    IsLeaveRefused = canServe() && !isChangingVoters();
    return;
  }
  if (!Leader)
    return;
  wire::Message message;
  message.set_term(Term);
  message.mutable_leave_request();
  send(Leader->ip(), Leader->number(), std::move(message));
}

void ConsensusNode::onLeaveRequest(TimePoint now, MemberNumber number) {
  const auto it = Others.find(number);
  if (!isLeader() || it == Others.end())
    return;
  auto &progress = it->second;
  progress.LeftAt = now;
  maintainVoters(now);
  if (!canServe() || isChangingVoters())
    return;
  wire::Message refusal;
  refusal.set_term(Term);
  refusal.mutable_leave_refusal();
  send(progress.Member.ip(), number, std::move(refusal));
}

} // namespace stepledge::consensus
