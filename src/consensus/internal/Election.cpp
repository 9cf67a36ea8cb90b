// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The part of ConsensusNode that decides when it becomes a candidate and
/// which candidate gets its vote.

#include "consensus/ConsensusNode.h"

#include <algorithm>
#include <utility>

namespace stepledge::consensus {

bool ConsensusNode::mayStandNow(TimePoint now) const {
  return isStarting() && isVoter() && now >= HoldsBackUntil;
}

void ConsensusNode::connectionMade(TimePoint now, const std::string &ip) {
  if (isLeader()) {
    // NOTE: the other member may have just started and need a leader.
    for (auto &[number, it] : Others)
      if (it.Member.ip() == ip)
        replicate(now, it, true);
    return;
  }
  // NOTE: the old and the new number of a wiped disk may both be voters at this
  // address.
  std::vector<wire::Member> voters;
  for (const auto &it : Voters.voters())
    if (it.ip() == ip && it.number() != Self.number())
      voters.push_back(it);
  if (!isStarting() || !isVoter() || voters.empty())
    return;
  const bool isOrdered = now < OrderUntil;
  OrderUntil = now + orderTime();
  for (const auto &it : voters)
    PassedOver.erase(it.number());
  // NOTE: earlier requests didn't reach the voter. Votes of other members stay,
  // except pre-votes that competing candidates gave each other after the
  // ordered candidacy had ended.
  const bool isTrial = Role == MemberRole::TrialCandidate && isOrdered;
  if (isTrial || Role == MemberRole::Candidate)
    for (const auto &it : voters)
      askForVote(isTrial, it);
  else if (mayStandNow(now))
    startTrial(now);
}

void ConsensusNode::startTrial(TimePoint now) {
  orderAnew(now);
  Role = MemberRole::TrialCandidate;
  Leader.reset();
  resetTrialTimer(now);
  TrialVotes = {Self.number()};
  if (TrialVotes.size() >= majority())
    return startElection(now);
  askForVotes(true);
}

void ConsensusNode::startElection(TimePoint now) {
  Role = MemberRole::Candidate;
  ++Term;
  StoodIn = Term;
  VotedFor = Self.number();
  saveVote();
  resetElectionTimer(now);
  keepVote(now);
  StartTimeout = Options.ElectionTimeout;
  // NOTE: the own vote counts at once: vote requests leave only when it is on
  // disk.
  Votes = {Self.number()};
  if (Votes.size() >= majority())
    return becomeLeader(now);
  askForVotes(false);
}

void ConsensusNode::askForVotes(bool isTrial) {
  for (const auto &it : Voters.voters())
    if (it.number() != Self.number())
      askForVote(isTrial, it);
}

void ConsensusNode::askForVote(bool isTrial, const wire::Member &voter) {
  wire::Message message;
  message.set_term(isTrial ? Term + 1 : Term);
  auto &request = *message.mutable_vote_request();
  request.set_is_trial(isTrial);
  request.set_last_index(lastIndex());
  request.set_last_term(lastTerm());
  if (isTrial)
    send(voter.ip(), voter.number(), std::move(message));
  else
    sendDurably(voter.ip(), voter.number(), std::move(message));
}

void ConsensusNode::keepVote(TimePoint now) {
  if (!isStarting())
    return;
  VoteHoldsUntil = now + StartTimeout;
  HoldsBackUntil = std::max(HoldsBackUntil, VoteHoldsUntil);
}

const wire::Member *ConsensusNode::findRival(TimePoint now,
                                             const wire::Message &trial) const {
  if (!isStarting() || !isVoter() || now >= OrderUntil ||
      PassedOver.contains(trial.from()))
    return nullptr;
  for (const auto &it : Voters.voters())
    if (it.number() == trial.from())
      return &it;
  return nullptr;
}

bool ConsensusNode::precedes(const wire::Message &trial) const {
  const auto &request = trial.vote_request();
  const auto own = std::make_pair(lastTerm(), lastIndex());
  const auto other = std::make_pair(request.last_term(), request.last_index());
  return own == other ? Self.number() < trial.from() : own > other;
}

bool ConsensusNode::standInstead(TimePoint now, const wire::Message &trial) {
  const auto *rival = findRival(now, trial);
  if (!rival || !precedes(trial))
    return false;
  // NOTE: an earlier request may have been sent before the other member
  // accepted connections.
  if (Role == MemberRole::TrialCandidate)
    askForVote(true, *rival);
  else if (Role == MemberRole::Follower && now >= HoldsBackUntil)
    startTrial(now);
  return true;
}

void ConsensusNode::giveWay(TimePoint now, const wire::Message &trial) {
  const bool isInTrial =
      Role == MemberRole::Follower || Role == MemberRole::TrialCandidate;
  if (!isInTrial || !findRival(now, trial))
    return;
  Role = MemberRole::Follower;
  GaveWayTo = trial.from();
  HoldsBackUntil = now + orderTime();
  ElectionAt = HoldsBackUntil;
}

void ConsensusNode::orderAnew(TimePoint now) {
  if (!isStarting() || (Role != MemberRole::Candidate && !GaveWayTo))
    return;
  if (GaveWayTo)
    PassedOver.insert(*GaveWayTo);
  GaveWayTo.reset();
  OrderUntil = now + orderTime();
}

void ConsensusNode::onVoteRequest(TimePoint now, const wire::Message &message) {
  const auto &request = message.vote_request();
  const bool isUpToDate =
      std::make_pair(request.last_term(), request.last_index()) >=
      std::make_pair(lastTerm(), lastIndex());
  const bool mayVote = request.is_trial()
                           ? message.term() > Term
                           : message.term() == Term &&
                                 (VotedFor == 0 || VotedFor == message.from());
  const bool isPreceded = request.is_trial() && standInstead(now, message);
  const bool granted = isUpToDate && mayVote && isVoter() && !isPreceded;
  if (granted && request.is_trial())
    giveWay(now, message);
  if (granted && !request.is_trial()) {
    VotedFor = message.from();
    saveVote();
    resetElectionTimer(now);
    keepVote(now);
  }
  wire::Message reply;
  reply.set_term(request.is_trial() && granted ? message.term() : Term);
  reply.mutable_vote_reply()->set_is_trial(request.is_trial());
  reply.mutable_vote_reply()->set_granted(granted);
  const std::string ip = ipOf(message.from());
  if (!ip.empty())
    sendDurably(ip, message.from(), reply);
}

void ConsensusNode::onVoteReply(TimePoint now, const wire::Message &message) {
  const auto &reply = message.vote_reply();
  // NOTE: votes that arrive during the next pre-vote still belong to this term.
  const bool isWanted =
      reply.is_trial()
          ? Role == MemberRole::TrialCandidate && message.term() == Term + 1
          : (Role == MemberRole::Candidate ||
             Role == MemberRole::TrialCandidate) &&
                StoodIn == Term && message.term() == Term;
  if (!isWanted || !reply.granted())
    return;
  auto &votes = reply.is_trial() ? TrialVotes : Votes;
  if (isVoter(message.from()))
    votes.insert(message.from());
  if (votes.size() < majority())
    return;
  if (reply.is_trial())
    startElection(now);
  else
    becomeLeader(now);
}

} // namespace stepledge::consensus
