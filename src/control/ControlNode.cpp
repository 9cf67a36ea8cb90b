// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "control/ControlNode.h"

#include "control/internal/FailoverCoordinator.h"
#include "peer/InstanceCodec.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace stepledge::control {

using membership::InstanceState;

ControlNode::ControlNode(ControlOptions options, consensus::ConsensusNode &node,
                         ILogWriter &writer, peer::IPeerSender &peers,
                         IPromoter &promoter, IInstanceProbe &probe,
                         IControlLog &log)
    : Options(std::move(options)), Node(node), Writer(writer), Peers(peers),
      Probe(probe), Log(log), Failover(std::make_unique<FailoverCoordinator>(
                                  *this, promoter, probe, log)),
      LastCallNumber(Options.FirstCallNumber) {
  updatePeers();
}

ControlNode::~ControlNode() = default;

void ControlNode::putConfiguration(TimePoint now, std::uint64_t version,
                                   std::string document, OnDone onDone) {
  wire::Command command;
  command.mutable_put_configuration()->set_version(version);
  command.mutable_put_configuration()->set_document(std::move(document));
  startCall(now, std::move(command), false,
            [this, version, until = now + Options.CallTimeout,
             onDone = std::move(onDone)](bool isCommitted) {
              if (!isCommitted || IsEnding)
                return onDone(isCommitted);
              const auto end = std::min(Now + SpreadWait::Limit, until);
              Spread.add({earliestAcknowledgement(), end}, version,
                         [onDone] { onDone(true); });
            });
}

TimePoint ControlNode::earliestAcknowledgement() const {
  const bool isKnown =
      MemberSince && Now - *MemberSince >= Options.NewMemberGracePeriod;
  return isKnown ? Now : Now + SpreadWait::Limit;
}

void ControlNode::setSeeds(TimePoint now, std::set<std::string> ips) {
  Now = now;
  Options.SeedIps = std::move(ips);
  updatePeers();
}

void ControlNode::reviewMembers() {
  std::set<std::string> members;
  for (const auto &it : Node.voters())
    members.insert(it.ip());
  if (members == NoticedMembers)
    return;
  // NOTE: entry VMs that don't know a new member can't turn to it, and it
  // doesn't wait for them before it acknowledges a change.
  NoticedMembers = std::move(members);
  IsNoticeDue = true;
}

void ControlNode::acknowledgeSpread(
    const std::vector<SpreadWait::Change> &changes) {
  for (const auto &it : changes) {
    if (it.Behind > 0)
      Log.log(absl::StrCat("event=acknowledged_early version=", it.Version,
                           " behind=", it.Behind));
    Log.log(absl::StrCat("event=acknowledged version=", it.Version,
                         " entries=", Entries.halls().size(),
                         " fresh=", IsFresh, " term=", Node.term()));
    it.Done();
  }
}

void ControlNode::confirmNewest(TimePoint now, OnDone onDone) {
  startCall(now, {}, true, std::move(onDone));
}

void ControlNode::leave(TimePoint now) {
  Now = now;
  Node.leave(now);
  runEffects(now);
}

void ControlNode::tick(TimePoint now) {
  Now = now;
  Node.tick(now);
  runEffects(now);
  std::vector<std::uint64_t> late;
  for (auto &[number, it] : Calls) {
    if (now >= it.Deadline)
      late.push_back(number);
    else if (isRetryDue(now, it))
      tryCall(now, number, it);
  }
  for (const auto it : late)
    finishCall(it, false);
  sendUnsentInstances();
  if (Node.needsToJoin(now) && now >= JoinAt) {
    JoinAt = now + Options.JoinInterval;
    peer::wire::Message message;
    consensus::wire::Message join;
    join.set_from(Node.self().number());
    *join.mutable_join_request()->mutable_member() = Node.self();
    message.set_consensus(join.SerializeAsString());
    sendToControls(message);
    // NOTE: the seeds may be gone, while members of the group keep a connection
    // to this address.
    for (const auto &it : IncomingControls)
      if (!KnownControls.contains(it))
        Peers.send(it, message);
  }
  updateFreshness(now);
  reviewMembers();
  if (IsNoticeDue || now >= NoticeAt) {
    if (std::exchange(IsNoticeDue, false))
      FullNoticeAt = now;
    NoticeAt = now + Options.NoticeInterval;
    logNotice();
    auto message = notice(FullNoticeAt <= now);
    Entries.listChanges(*message.mutable_notice());
    sendToEntries(message);
    if (FullNoticeAt <= now)
      FullNoticeAt = now + Options.FullNoticeInterval;
    dropSilentInstances(now);
    updatePeers();
  }
  if (std::exchange(WasLeader, Node.isLeader()) != Node.isLeader()) {
    Log.log(absl::StrCat("event=leadership leads=", Node.isLeader(), " term=",
                         Node.term(), " commit=", Node.commitIndex()));
    Detector.clear();
    PingMissedSince.clear();
    UnansweredPingSentAt.clear();
    Failover->reset(now);
  }
  if (Node.canServe()) {
    pingInstances(now);
    Failover->tick(now);
  }
  runEffects(now);
}

void ControlNode::persisted(TimePoint now, std::uint64_t ticket) {
  Now = now;
  Node.persisted(now, ticket);
  runEffects(now);
}

void ControlNode::runEffects(TimePoint now) {
  // NOTE: a call that finishes here may start the next one.
  if (std::exchange(IsRunningEffects, true))
    return;
  while (true) {
    auto effects = Node.takeEffects();
    const bool isEmpty = effects.Ticket == 0 && effects.Messages.empty() &&
                         !effects.Restored && effects.Committed.empty() &&
                         effects.ConfirmedReads.empty() &&
                         effects.FailedReads.empty();
    if (isEmpty)
      break;
    if (effects.MustRewrite)
      Writer.rewrite(effects.Ticket, Node.allRecords());
    else if (effects.Ticket != 0)
      Writer.append(effects.Ticket, std::move(effects.Records));
    for (const auto &it : effects.Messages) {
      peer::wire::Message message;
      message.set_consensus(it.Message.SerializeAsString());
      if (!Peers.send(it.Ip, message))
        UnreachableControls.insert(it.Ip);
    }
    if (effects.Restored && !State.restore(effects.Restored->state()))
      Log.log("event=snapshot_unreadable");
    if (effects.Restored)
      IsNoticeDue = true;
    for (const auto &it : effects.Committed)
      apply(now, it);
    for (const auto it : effects.ConfirmedReads) {
      const auto remote = RemoteReads.find(it);
      if (remote == RemoteReads.end()) {
        finishCall(it, true);
        continue;
      }
      reply(remote->second, true, State.appliedIndex());
      RemoteReads.erase(remote);
    }
    for (const auto it : effects.FailedReads) {
      RemoteReads.erase(it);
      if (const auto own = Calls.find(it); own != Calls.end())
        own->second.RetryAt = now;
    }
    finishReads();
    if (effects.Restored || !effects.Committed.empty()) {
      addKeptInstances(now);
      updateConfiguration();
    }
    if (Node.needsSnapshot())
      Node.takeSnapshot(State.appliedIndex(), State.serialize());
  }
  IsRunningEffects = false;
  updateFreshness(now);
  // NOTE: after a start, entry VMs serve no client before they receive this
  // notice and the instances that the log kept.
  if (IsNoticeDue && IsFresh) {
    IsNoticeDue = false;
    logNotice();
    sendToEntries(notice(true));
    sendUnsentInstances();
  }
  acknowledgeSpread(Spread.takeEnded(now, Entries));
}

void ControlNode::updateFreshness(TimePoint now) {
  // NOTE: during the replay of the log the state is an old one.
  const bool isFresh = Node.isFresh(now);
  IsNoticeDue |= isFresh && !IsFresh;
  IsFresh = isFresh;
  if (!Node.isVoter())
    MemberSince.reset();
  else if (isFresh && !MemberSince)
    MemberSince = now;
  if (!isFresh || std::exchange(HasBeenFresh, true))
    return;
  Log.log(absl::StrCat(
      "event=first_fresh after_ms=", toMilliseconds(now - Node.startedAt()),
      " leads=", Node.isLeader(), " term=", Node.term(),
      " version=", State.configurationVersion()));
}

void ControlNode::updateConfiguration() {
  const auto version = State.configurationVersion();
  if (!Options.Decode || version == Configurations.newest().Version)
    return;
  auto decoded = Options.Decode(State.document());
  if (!decoded.ok()) {
    Log.log(absl::StrCat("event=configuration_unreadable version=", version));
    return;
  }
  decoded->Version = version;
  Configurations.take(*std::move(decoded));
}

void ControlNode::sendConfiguration(
    const std::string &ip, const peer::wire::ConfigurationRequest &request) {
  auto part = Configurations.answer(ip, request);
  if (!part) {
    // NOTE: without an answer the entry VM would wait for it.
    peer::wire::Message nothing;
    nothing.mutable_configuration_part()->set_fetch(request.fetch());
    Peers.send(ip, nothing);
    return;
  }
  if (part->offset() == 0)
    Log.log(absl::StrCat("event=configuration_sent ip=", ip,
                         " held=", request.held_version(),
                         " version=", Configurations.newest().Version,
                         " bytes=", part->total()));
  peer::wire::Message message;
  *message.mutable_configuration_part() = *std::move(part);
  Peers.send(ip, message);
}

int ControlNode::syncReplicasOf(const std::string &service) const {
  const auto &services = Configurations.newest().Services;
  const auto it = services.find(service);
  return it == services.end() ? 0 : it->second.SyncReplicas;
}

void ControlNode::apply(TimePoint now, const consensus::wire::Entry &entry) {
  wire::Command command;
  if (!entry.command().empty() && !command.ParseFromString(entry.command()))
    Log.log(absl::StrCat("event=entry_unreadable index=", entry.index()));
  const auto oldVersion = State.configurationVersion();
  State.apply(entry.index(), command);
  if (State.configurationVersion() != oldVersion) {
    IsNoticeDue = true;
    Log.log(absl::StrCat(
        "event=configuration version=", State.configurationVersion(),
        " index=", entry.index()));
  }
  if (command.has_record_promotion())
    IsNoticeDue = true;
  if (command.has_mark_instance()) {
    const InstanceId id(command.mark_instance().instance());
    const auto state =
        static_cast<InstanceState>(command.mark_instance().state());
    Log.log(absl::StrCat("event=instance_marked instance=", id.str(),
                         " state=", static_cast<int>(state)));
    if (Directory.raiseState(id, command.mark_instance().born_ms(), state))
      UnsentInstances.insert(id);
  }
  if (command.has_take_fence())
    Failover->fenceCommitted(now, command, entry.index());
  Uncommitted.remove(command.proposer(), command.number());
  if (command.proposer() == Node.self().number())
    return finishCall(command.number(), true);
  // The member that forwarded the call to this leader waits for its end.
  if (!Node.isLeader() || command.proposer() == 0)
    return;
  for (const auto &it : Node.voters())
    if (it.number() == command.proposer())
      return reply({it.ip(), command.number()}, true, entry.index());
  // NOTE: a process that isn't a voter yet applies the entry itself.
}

void ControlNode::sendToEntries(const peer::wire::Message &message) {
  for (const auto &[ip, hall] : Entries.halls())
    Peers.send(ip, message);
}

void ControlNode::sendUnsentInstances() {
  if (UnsentInstances.empty())
    return;
  peer::wire::Message message;
  for (const auto &id : std::exchange(UnsentInstances, {}))
    if (const auto *known = Directory.find(id))
      *message.mutable_instances()->add_instances() = peer::encode(*known);
  for (const auto &ip : Entries.instanceSubscribers())
    Peers.send(ip, message);
}

void ControlNode::sendToControls(const peer::wire::Message &message) {
  for (const auto &it : KnownControls)
    if (it != Options.Ip)
      Peers.send(it, message);
}

void ControlNode::logNotice() {
  const auto version = Configurations.newest().Version;
  const bool isSame = NoticedVersion == version && NoticedFresh == IsFresh;
  if (isSame)
    return;
  NoticedVersion = version;
  NoticedFresh = IsFresh;
  Log.log(absl::StrCat(
      "event=notice version=", version,
      " digest=", absl::Hex(distribution::digestOf(Configurations.newest())),
      " fresh=", IsFresh, " leads=", Node.isLeader(), " term=", Node.term(),
      " commit=", Node.commitIndex(), " entries=", Entries.halls().size()));
}

peer::wire::Message ControlNode::notice(bool isFull) const {
  peer::wire::Message message;
  auto &out = *message.mutable_notice();
  out.set_configuration_version(Configurations.newest().Version);
  out.set_is_fresh(IsFresh);
  if (!isFull)
    return message;
  for (const auto &it : Node.voters())
    out.add_control_ips(it.ip());
  for (const auto &[service, it] : State.promotions()) {
    auto &promotion = *out.add_promotions();
    promotion.set_service(service);
    promotion.set_instance(it.instance());
    promotion.set_fence(it.fence());
    promotion.set_born_ms(it.born_ms());
  }
  return message;
}

peer::wire::Message ControlNode::allInstances() const {
  peer::wire::Message message;
  Directory.forEach([&](const auto &it) {
    *message.mutable_instances()->add_instances() = peer::encode(it);
  });
  return message;
}

void ControlNode::updatePeers() {
  KnownControls.clear();
  for (const auto &it : Node.voters())
    KnownControls.insert(it.ip());
  // NOTE: a process that isn't a voter, or whose log is too old, may not have
  // the addresses of all control VMs.
  if (Node.needsToJoin(Now))
    KnownControls.insert(Options.SeedIps.begin(), Options.SeedIps.end());
  KnownControls.erase(Options.Ip);
  // NOTE: a spare has connections to its seeds only, and its request to join
  // may have come by one of them.
  auto kept = Node.peerIps();
  kept.insert(KnownControls.begin(), KnownControls.end());
  Peers.keepConnected(kept);
}

void ControlNode::peerConnected(const std::string &ip,
                                const peer::wire::Hello &hello) {
  const bool isEntry = !hello.ip().empty() && hello.kind() == peer::wire::ENTRY;
  if (isEntry)
    Entries.join(ip, hello.hall());
  else if (!hello.ip().empty())
    IncomingControls.insert(ip);
  // NOTE: only after a failed send: otherwise the other side's connection may
  // have existed all the time, and a copy of what is in flight there would be
  // sent for nothing.
  if (UnreachableControls.erase(ip) > 0) {
    Node.connectionLost(Now, ip);
    runEffects(Now);
  }
  if (!isEntry) {
    // NOTE: before the instances, which may be a long message: elections wait
    // for this.
    Node.connectionMade(Now, ip);
    runEffects(Now);
    Peers.send(ip, allInstances());
    return;
  }
  auto message = notice(true);
  Entries.listAll(*message.mutable_notice());
  Peers.send(ip, message);
}

void ControlNode::peerLost(const std::string &ip, peer::LinkEnd end) {
  Log.log(absl::StrCat("event=peer_lost ip=", ip, " reason=",
                       std::string(nameIn(peer::LinkEndNames, end))));
  Entries.leave(ip);
  IncomingControls.erase(ip);
  Configurations.forget(ip);
  LastObservations.erase(ip);
  // NOTE: without this, a follower still had no document of 260 KB 50 ms after
  // its connection was back; the resend timeout is 0.4 s, plus 2.1 s for its
  // bytes.
  Node.connectionLost(Now, ip);
  for (auto &[number, it] : Calls)
    if (it.SentToIp == ip)
      it.RetryAt = Now;
  runEffects(Now);
}

void ControlNode::peerSaid(const std::string &ip,
                           const peer::wire::Message &message) {
  if (message.has_consensus()) {
    consensus::wire::Message inner;
    if (inner.ParseFromString(message.consensus()))
      Node.receive(Now, inner);
  } else if (message.has_instances()) {
    for (const auto &it : message.instances().instances())
      updateFromWire(Now, it);
  } else if (message.has_configuration_request()) {
    sendConfiguration(ip, message.configuration_request());
  } else if (message.has_configuration_held()) {
    Entries.setHeld(ip, message.configuration_held().version());
  } else if (message.has_instances_wanted()) {
    Entries.setSubscribed(ip, message.instances_wanted().is_wanted());
    if (message.instances_wanted().is_wanted())
      Peers.send(ip, allInstances());
  } else if (message.has_sights()) {
    onObservations(ip, message.sights());
  } else if (message.has_call()) {
    onCall(ip, message.call());
  } else if (message.has_reply()) {
    onReply(message.reply());
  }
  runEffects(Now);
}

void ControlNode::replaceObservations(
    const std::string &ip, const peer::wire::PrimarySights &observations) {
  auto &last = LastObservations[ip];
  std::set<std::string> services;
  for (const auto &it : observations.sights())
    services.insert(it.service());
  for (const auto &it : last.sights())
    if (!services.contains(it.service()))
      Detector.removeObserver(ip, it.service());
  last = observations;
}

void ControlNode::onObservations(
    const std::string &ip, const peer::wire::PrimarySights &observations) {
  if (!observations.is_unchanged())
    replaceObservations(ip, observations);
  for (const auto &it : LastObservations[ip].sights()) {
    const auto *known = Directory.find(InstanceId(it.instance()));
    const bool isOtherIncarnation = known && known->StartTimeMs != it.born_ms();
    if (!isOtherIncarnation)
      Detector.report(Now, ip, it.service(), InstanceId(it.instance()),
                      milliseconds(static_cast<std::int64_t>(it.silent_ms())));
  }
}

} // namespace stepledge::control
