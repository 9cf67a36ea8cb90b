// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The part of ControlNode that forwards calls to the leader and handles
/// the replies.

#include "control/ControlNode.h"

#include <utility>
#include <vector>

namespace stepledge::control {

std::uint64_t ControlNode::startCall(TimePoint now, wire::Command command,
                                     bool isRead, OnDone onDone) {
  const std::uint64_t number = ++LastCallNumber;
  if (IsEnding) {
    onDone(false);
    return number;
  }
  auto &call = Calls[number];
  call.Command = std::move(command);
  call.Command.set_proposer(Node.self().number());
  call.Command.set_number(number);
  call.IsRead = isRead;
  call.Deadline = now + Options.CallTimeout;
  call.Done = std::move(onDone);
  tryCall(now, number, call);
  runEffects(now);
  return number;
}

void ControlNode::endCalls() {
  IsEnding = true;
  std::vector<std::uint64_t> pending;
  for (const auto &[number, it] : Calls)
    pending.push_back(number);
  for (const auto it : pending)
    finishCall(it, false);
  acknowledgeSpread(Spread.takeAll());
}

void ControlNode::tryCall(TimePoint now, std::uint64_t number,
                          PendingCall &call) {
  call.RetryAt = now + Options.CallRetryInterval;
  call.SentToIp.clear();
  if (Node.canServe()) {
    if (call.IsRead)
      Node.requestRead(now, number);
    else
      propose(now, call.Command);
    // NOTE: a proposal is not retried while this member leads.
    call.RetryAt = call.Deadline;
    return;
  }
  const auto leader = Node.leader();
  if (!leader || Node.isLeader())
    return;
  peer::wire::Message message;
  auto &out = *message.mutable_call();
  out.set_number(number);
  out.set_is_read(call.IsRead);
  if (!call.IsRead) {
    dropAppliedConfiguration(call.Command);
    out.set_command(call.Command.SerializeAsString());
  }
  if (!Peers.send(leader->ip(), message))
    return;
  constexpr std::uint64_t MillisecondsInSecond = 1000;
  const std::uint64_t bytesMs =
      out.command().size() * MillisecondsInSecond / Options.MinBytesPerSecond;
  call.RetryAt = now + Options.UnansweredCallRetryInterval +
                 milliseconds(static_cast<std::int64_t>(bytesMs));
  call.SentToIp = leader->ip();
  call.SentInTerm = Node.term();
}

bool ControlNode::isRetryDue(TimePoint now, const PendingCall &call) const {
  if (call.RequiredIndex)
    return false;
  // NOTE: entries that a former leader appended may be gone from the log.
  const bool hasLeaderChanged =
      !call.SentToIp.empty() && call.SentInTerm != Node.term() && Node.leader();
  return now >= call.RetryAt || hasLeaderChanged;
}

void ControlNode::propose(TimePoint now, wire::Command command) {
  // NOTE: other VMs retry a call every 300 ms until it is answered. With a
  // document of 260 KB and disks that stalled for 0.7 s, three copies were
  // synced and sent to all followers.
  if (!Uncommitted.add(Node.term(), command.proposer(), command.number()))
    return;
  dropAppliedConfiguration(command);
  Node.propose(now, command.SerializeAsString());
}

void ControlNode::dropAppliedConfiguration(wire::Command &command) const {
  // NOTE: an applied document is committed, so every leader's log has it below
  // the entry that this becomes, where it would take no effect. The entry
  // itself is needed: its commit shows that the leader still leads. Operators
  // send a document to each VM until one acknowledges it; three such repeats of
  // 260 KB each were in the log in full.
  const bool isApplied =
      command.has_put_configuration() &&
      command.put_configuration().version() <= State.configurationVersion();
  if (isApplied)
    command.clear_body();
}

void ControlNode::finishCall(std::uint64_t number, bool done) {
  const auto it = Calls.find(number);
  if (it == Calls.end())
    return;
  auto onDone = std::move(it->second.Done);
  Calls.erase(it);
  onDone(done);
}

void ControlNode::finishReads() {
  std::vector<std::uint64_t> reached;
  for (const auto &[number, it] : Calls)
    if (it.RequiredIndex && State.appliedIndex() >= *it.RequiredIndex)
      reached.push_back(number);
  for (const auto it : reached)
    finishCall(it, true);
}

void ControlNode::onCall(const std::string &ip, const peer::wire::Call &call) {
  if (!Node.canServe())
    return reply({ip, call.number()}, false, 0);
  if (call.is_read()) {
    // NOTE: the numbers of remote reads must not collide with those of own
    // calls.
    const std::uint64_t number = ++LastCallNumber;
    RemoteReads[number] = {ip, call.number()};
    Node.requestRead(Now, number);
    return;
  }
  wire::Command command;
  if (!command.ParseFromString(call.command()))
    return reply({ip, call.number()}, false, 0);
  propose(Now, std::move(command));
}

void ControlNode::reply(const RemoteCall &call, bool done,
                        std::uint64_t index) {
  peer::wire::Message message;
  auto &out = *message.mutable_reply();
  out.set_number(call.Number);
  out.set_done(done);
  out.set_index(index);
  Peers.send(call.Ip, message);
}

void ControlNode::onReply(const peer::wire::CallReply &reply) {
  const auto it = Calls.find(reply.number());
  if (it == Calls.end())
    return;
  if (!reply.done()) {
    it->second.RetryAt = Now + Options.CallRetryInterval;
    return;
  }
  if (!it->second.IsRead)
    return finishCall(reply.number(), true);
  it->second.RequiredIndex = reply.index();
  finishReads();
}

} // namespace stepledge::control
