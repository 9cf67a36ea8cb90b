// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The part of ConsensusNode that decides when it becomes a candidate and
/// which candidate gets its vote.

#include "consensus/ConsensusNode.h"

#include <algorithm>
#include <utility>

namespace stepledge::consensus {

bool ConsensusNode::canStartPreVote(TimePoint now) const {
  return isStarting() && isVoter() && now >= PreVotesPausedUntil;
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
  std::vector<wire::Member> reached;
  for (const auto &it : voters())
    if (it.ip() == ip && it.number() != Self.number())
      reached.push_back(it);
  if (!isStarting() || !isVoter() || reached.empty())
    return;
  const bool isOrdered = now < OrderedCandidacyUntil;
  OrderedCandidacyUntil = now + orderedCandidacyTime();
  for (const auto &it : reached)
    SkippedCandidates.erase(it.number());
  // NOTE: earlier requests didn't reach the voter. Votes of other members stay,
  // except pre-votes that competing candidates gave each other after the
  // ordered candidacy had ended.
  const bool isPreVote = Role == MemberRole::PreCandidate && isOrdered;
  if (isPreVote || Role == MemberRole::Candidate)
    for (const auto &it : reached)
      requestVote(isPreVote, it);
  else if (canStartPreVote(now))
    startPreVote(now);
}

void ConsensusNode::startPreVote(TimePoint now) {
  restartOrderedCandidacy(now);
  Role = MemberRole::PreCandidate;
  Leader.reset();
  resetPreVoteTimer(now);
  PreVotes = {Self.number()};
  if (isElected(PreVotes))
    return startElection(now);
  requestVotes(true);
}

void ConsensusNode::startElection(TimePoint now) {
  Role = MemberRole::Candidate;
  ++Term;
  CandidateTerm = Term;
  VotedFor = Self.number();
  saveVote();
  resetElectionTimer(now);
  protectVote(now);
  StartTimeout = Options.ElectionTimeout;
  // NOTE: the own vote counts at once: vote requests leave only when it is on
  // disk.
  Votes = {Self.number()};
  if (isElected(Votes))
    return becomeLeader(now);
  requestVotes(false);
}

bool ConsensusNode::isElected(const std::set<MemberNumber> &votes) const {
  return hasMajority(
      Voters, [&](MemberNumber number) { return votes.contains(number); });
}

void ConsensusNode::requestVotes(bool isPreVote) {
  for (const auto &it : voters())
    if (it.number() != Self.number())
      requestVote(isPreVote, it);
}

void ConsensusNode::requestVote(bool isPreVote, const wire::Member &voter) {
  wire::Message message;
  message.set_term(isPreVote ? Term + 1 : Term);
  auto &request = *message.mutable_vote_request();
  request.set_is_trial(isPreVote);
  request.set_last_index(lastIndex());
  request.set_last_term(lastTerm());
  if (isPreVote)
    send(voter.ip(), voter.number(), std::move(message));
  else
    sendDurably(voter.ip(), voter.number(), std::move(message));
}

void ConsensusNode::protectVote(TimePoint now) {
  if (!isStarting())
    return;
  VoteProtectedUntil = now + StartTimeout;
  PreVotesPausedUntil = std::max(PreVotesPausedUntil, VoteProtectedUntil);
}

const wire::Member *
ConsensusNode::findCompetitor(TimePoint now,
                              const wire::Message &preVote) const {
  if (!isStarting() || !isVoter() || now >= OrderedCandidacyUntil ||
      SkippedCandidates.contains(preVote.from()))
    return nullptr;
  for (const auto *list : {&Voters.voters(), &Voters.next_voters()})
    for (const auto &it : *list)
      if (it.number() == preVote.from())
        return &it;
  return nullptr;
}

bool ConsensusNode::precedes(const wire::Message &preVote) const {
  const auto &request = preVote.vote_request();
  const auto own = std::make_pair(lastTerm(), lastIndex());
  const auto other = std::make_pair(request.last_term(), request.last_index());
  return own == other ? Self.number() < preVote.from() : own > other;
}

bool ConsensusNode::preemptPreVote(TimePoint now,
                                   const wire::Message &preVote) {
  const auto *competitor = findCompetitor(now, preVote);
  if (!competitor || !precedes(preVote))
    return false;
  // NOTE: an earlier request may have been sent before the other member
  // accepted connections.
  if (Role == MemberRole::PreCandidate)
    requestVote(true, *competitor);
  else if (Role == MemberRole::Follower && now >= PreVotesPausedUntil)
    startPreVote(now);
  return true;
}

void ConsensusNode::deferTo(TimePoint now, const wire::Message &preVote) {
  const bool canDefer =
      Role == MemberRole::Follower || Role == MemberRole::PreCandidate;
  if (!canDefer || !findCompetitor(now, preVote))
    return;
  Role = MemberRole::Follower;
  DeferredTo = preVote.from();
  PreVotesPausedUntil = now + orderedCandidacyTime();
  ElectionAt = PreVotesPausedUntil;
}

void ConsensusNode::restartOrderedCandidacy(TimePoint now) {
  if (!isStarting() || (Role != MemberRole::Candidate && !DeferredTo))
    return;
  if (DeferredTo)
    SkippedCandidates.insert(*DeferredTo);
  DeferredTo.reset();
  OrderedCandidacyUntil = now + orderedCandidacyTime();
}

void ConsensusNode::onVoteRequest(TimePoint now, const wire::Message &message) {
  const auto &request = message.vote_request();
  const bool isUpToDate =
      std::make_pair(request.last_term(), request.last_index()) >=
      std::make_pair(lastTerm(), lastIndex());
  const bool canVote = request.is_trial()
                           ? message.term() > Term
                           : message.term() == Term &&
                                 (VotedFor == 0 || VotedFor == message.from());
  const bool isPreceded = request.is_trial() && preemptPreVote(now, message);
  const bool granted = isUpToDate && canVote && isVoter() && !isPreceded;
  if (granted && request.is_trial())
    deferTo(now, message);
  if (granted && !request.is_trial()) {
    VotedFor = message.from();
    saveVote();
    resetElectionTimer(now);
    protectVote(now);
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
  const bool isExpected =
      reply.is_trial()
          ? Role == MemberRole::PreCandidate && message.term() == Term + 1
          : (Role == MemberRole::Candidate ||
             Role == MemberRole::PreCandidate) &&
                CandidateTerm == Term && message.term() == Term;
  if (!isExpected || !reply.granted())
    return;
  auto &votes = reply.is_trial() ? PreVotes : Votes;
  if (isVoter(message.from()))
    votes.insert(message.from());
  if (!isElected(votes))
    return;
  if (reply.is_trial())
    startElection(now);
  else
    becomeLeader(now);
}

} // namespace stepledge::consensus
