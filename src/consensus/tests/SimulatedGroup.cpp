// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "consensus/tests/SimulatedGroup.h"

#include <algorithm>
#include <utility>

namespace stepledge::consensus::tests {

namespace {

/// Largest message that bypasses a link with a bypass for small ones.
constexpr std::size_t MaxBypassBytes = 16 << 10;

std::uint64_t firstNumber(std::size_t member) { return 1000 + member; }

wire::Member memberOf(std::uint64_t number, const std::string &ip) {
  wire::Member member;
  member.set_number(number);
  member.set_ip(ip);
  member.set_hall("hall-" + ip);
  return member;
}

DurableState stateOf(const std::vector<wire::Record> &records,
                     std::uint64_t &number) {
  DurableState state;
  for (const auto &it : records) {
    if (it.identity() != 0)
      number = it.identity();
    if (it.has_vote()) {
      state.Term = it.term();
      state.VotedFor = it.voted_for();
    }
    if (it.has_snapshot())
      state.Snapshot = it.snapshot();
    if (!it.has_entry())
      continue;
    while (!state.Entries.empty() &&
           state.Entries.back().index() >= it.entry().index())
      state.Entries.pop_back();
    state.Entries.push_back(it.entry());
  }
  std::erase_if(state.Entries, [&](const auto &it) {
    return it.index() <= state.Snapshot.index();
  });
  return state;
}

void removeNextVoters(wire::Message &message) {
  if (message.has_snapshot_request())
    message.mutable_snapshot_request()
        ->mutable_snapshot()
        ->mutable_membership()
        ->clear_next_voters();
  if (!message.has_append_request())
    return;
  for (auto &it : *message.mutable_append_request()->mutable_entries())
    if (it.has_membership())
      it.mutable_membership()->clear_next_voters();
}

} // namespace

SimulatedGroup::SimulatedGroup(std::size_t size, std::size_t bootstrapped,
                               int target, std::uint64_t seed,
                               SimulatedTiming timing)
    : Members(size), Incarnations(size), DiskFreeAt(size), Random(seed),
      Timing(timing), TickPhases(size) {
  Options.TargetVoters = target;
  Options.SnapshotEntries = 12;
  Options.EntriesKept = 0;
  for (std::size_t i = 0; i < size; ++i)
    Members[i].Ip = "10.0.0." + std::to_string(i + 1);
  wire::Snapshot first;
  for (std::size_t i = 0; i < bootstrapped; ++i)
    *first.mutable_membership()->add_voters() =
        memberOf(firstNumber(i), Members[i].Ip);
  for (std::size_t i = 0; i < bootstrapped; ++i) {
    wire::Record identity;
    identity.set_identity(firstNumber(i));
    wire::Record base;
    *base.mutable_snapshot() = first;
    Members[i].Disk = {{identity, base}, false};
  }
  if (Timing.TickInterval > Timing.Step)
    for (auto &it : TickPhases)
      it = draw({}, Timing.TickInterval);
  for (std::size_t i = 0; i < size; ++i)
    start(i);
}

Duration SimulatedGroup::draw(Duration least, Duration most) {
  std::uniform_int_distribution<std::int64_t> range(least.count(),
                                                    most.count());
  return Duration(range(Random));
}

void SimulatedGroup::start(std::size_t member) {
  auto &it = Members[member];
  if (it.Node)
    return;
  std::uint64_t number = Random() | 1U;
  DurableState state = stateOf(it.Disk.Synced, number);
  if (it.Disk.IsEmpty) {
    wire::Record identity;
    identity.set_identity(number);
    it.Disk = {{identity}, false};
  }
  ++Incarnations[member];
  it.Applied.clear();
  it.AppliedIndex = 0;
  it.Node = std::make_unique<ConsensusNode>(memberOf(number, it.Ip), Options,
                                            std::move(state), Random(), Now);
  runEffects(member);
  connect(member);
}

void SimulatedGroup::connect(std::size_t member) {
  if (!Timing.HasConnections)
    return;
  for (std::size_t i = 0; i < Members.size(); ++i) {
    const bool canConnect = i != member && Members[i].Node &&
                            !BlockedLinks.contains({i, member}) &&
                            !BlockedLinks.contains({member, i});
    if (!canConnect || Connections.contains({member, i}))
      continue;
    // A round trip opens the connection, and one more message identifies the
    // side that opened it.
    const Duration there = draw(Timing.MinDelay, Timing.MaxDelay);
    const Duration back = draw(Timing.MinDelay, Timing.MaxDelay);
    Event own;
    own.At = Now + there + back;
    own.Member = member;
    own.Incarnation = Incarnations[member];
    own.From = i;
    own.IsConnection = true;
    Event other = own;
    other.At += there;
    other.Member = i;
    other.Incarnation = Incarnations[i];
    other.From = member;
    post(std::move(own));
    post(std::move(other));
  }
}

void SimulatedGroup::heal() {
  BlockedLinks.clear();
  for (std::size_t i = 0; i < Members.size(); ++i)
    if (Members[i].Node)
      connect(i);
}

void SimulatedGroup::kill(std::size_t member) {
  // NOTE: unsynced records are lost with the events of this incarnation.
  Members[member].Node.reset();
  ++Incarnations[member];
  std::erase_if(Connections, [&](const auto &it) {
    return it.first == member || it.second == member;
  });
}

void SimulatedGroup::wipe(std::size_t member) {
  kill(member);
  Members[member].Disk = SimulatedDisk();
}

void SimulatedGroup::leave(std::size_t member) {
  Members[member].Node->leave(Now);
  runEffects(member);
}

void SimulatedGroup::stallDisk(std::size_t member, Duration time) {
  Members[member].DiskStalledUntil = Now + time;
}

void SimulatedGroup::run(Duration time) {
  const TimePoint end = Now + time;
  while (Now < end) {
    Now += Timing.Step;
    std::vector<Event> due;
    std::erase_if(Events, [&](Event &it) {
      if (it.At > Now)
        return false;
      due.push_back(std::move(it));
      return true;
    });
    std::sort(due.begin(), due.end(), [](const auto &a, const auto &b) {
      return std::pair(a.At, a.Order) < std::pair(b.At, b.Order);
    });
    for (auto &it : due)
      deliver(std::move(it));
    for (std::size_t i = 0; i < Members.size(); ++i) {
      auto &it = Members[i];
      if (!it.Node)
        continue;
      if ((Now.time_since_epoch() + TickPhases[i]) % Timing.TickInterval <
          Timing.Step)
        it.Node->tick(Now);
      if (it.Node->needsToJoin(Now) && Now >= it.JoinAt) {
        it.JoinAt = Now + milliseconds(500);
        for (std::size_t to = 0; to < Members.size(); ++to) {
          wire::Message join;
          join.set_from(it.Node->self().number());
          *join.mutable_join_request()->mutable_member() = it.Node->self();
          if (to != i && !BlockedLinks.contains({i, to}) && isConnected(i, to))
            post({Now + milliseconds(2),
                  0,
                  to,
                  Incarnations[to],
                  join,
                  0,
                  {},
                  false,
                  i});
        }
      }
      runEffects(i);
    }
    checkLeaders();
  }
}

void SimulatedGroup::checkLeaders() {
  for (const auto &it : Members) {
    if (!it.Node || !it.Node->isLeader())
      continue;
    const auto number = it.Node->self().number();
    if (LeaderOfTerm.try_emplace(it.Node->term(), number).first->second !=
        number)
      Violation = "two leaders in term " + std::to_string(it.Node->term());
  }
}

void SimulatedGroup::checkVote(std::size_t member,
                               const wire::Message &message) {
  const bool isVote = message.has_vote_reply() &&
                      message.vote_reply().granted() &&
                      !message.vote_reply().is_trial();
  if (!isVote)
    return;
  const auto &records = Members[member].Disk.Synced;
  const bool isSynced =
      std::any_of(records.begin(), records.end(), [&](const auto &it) {
        return it.has_vote() && it.term() == message.term() &&
               it.voted_for() == message.to();
      });
  if (!isSynced)
    Violation = "a vote was sent before it was on disk";
}

std::size_t SimulatedGroup::freshCount() const {
  return static_cast<std::size_t>(
      std::count_if(Members.begin(), Members.end(), [&](const auto &it) {
        return it.Node && it.Node->isFresh(Now);
      }));
}

void SimulatedGroup::post(Event event) {
  event.Order = ++Order;
  Events.push_back(std::move(event));
}

void SimulatedGroup::deliver(Event event) {
  auto &it = Members[event.Member];
  if (!it.Node || event.Incarnation != Incarnations[event.Member])
    return;
  if (event.IsConnection) {
    Connections.insert({event.Member, event.From});
    it.Node->connectionMade(Now, Members[event.From].Ip);
  } else if (event.Message) {
    if (OlderPrograms.contains(event.Member))
      removeNextVoters(*event.Message);
    it.Node->receive(Now, *event.Message);
  } else {
    if (event.IsRewrite)
      it.Disk.Synced.clear();
    std::move(event.Records.begin(), event.Records.end(),
              std::back_inserter(it.Disk.Synced));
    it.Node->persisted(Now, event.Ticket);
  }
  runEffects(event.Member);
}

std::optional<std::size_t>
SimulatedGroup::memberAt(const std::string &ip) const {
  for (std::size_t i = 0; i < Members.size(); ++i)
    if (Members[i].Ip == ip)
      return i;
  return std::nullopt;
}

void SimulatedGroup::runEffects(std::size_t member) {
  auto &it = Members[member];
  while (true) {
    auto effects = it.Node->takeEffects();
    if (effects.Ticket != 0) {
      auto records = effects.MustRewrite ? it.Node->allRecords()
                                         : std::move(effects.Records);
      // The disk handles one write after the other.
      auto &freeAt = DiskFreeAt[member];
      freeAt = std::max({freeAt, Now, it.DiskStalledUntil}) +
               draw(Timing.MinSync, Timing.MaxSync);
      post({freeAt, 0, member, Incarnations[member], std::nullopt,
            effects.Ticket, std::move(records), effects.MustRewrite, member});
    }
    for (auto &out : effects.Messages) {
      const auto to = memberAt(out.Ip);
      if (OlderPrograms.contains(member) && out.Message.has_append_reply())
        out.Message.mutable_append_reply()->clear_reads_joint_changes();
      checkVote(member, out.Message);
      it.VotesAsked += out.Message.has_vote_request();
      std::bernoulli_distribution isLost(Loss);
      if (to)
        SentBytes[{member, *to}] += out.Message.ByteSizeLong();
      if (!to || BlockedLinks.contains({member, *to}) || isLost(Random) ||
          !isConnected(member, *to) || DroppingLinks.contains({member, *to}))
        continue;
      post({arrivalOf({member, *to}, out.Message.ByteSizeLong()),
            0,
            *to,
            Incarnations[*to],
            std::move(out.Message),
            0,
            {},
            false,
            member});
    }
    if (effects.Restored) {
      it.AppliedIndex = effects.Restored->index();
      const auto &state = effects.Restored->state();
      if (!state.starts_with(std::to_string(it.AppliedIndex) + ' '))
        Violation = "a snapshot's state does not match its index";
    }
    for (const auto &entry : effects.Committed)
      apply(member, entry);
    for (const auto token : effects.ConfirmedReads)
      if (it.AppliedIndex < Reads[token].MinIndex)
        Violation = "a read misses an entry that was committed before the read";
    if (it.Node->needsSnapshot() && it.AppliedIndex > 0)
      it.Node->takeSnapshot(it.AppliedIndex, stateAt(it.AppliedIndex));
    else if (effects.Ticket == 0 && effects.Messages.empty())
      return;
  }
}

std::string SimulatedGroup::stateAt(std::uint64_t index) const {
  return std::to_string(index) + ' ' + std::string(StateBytes, '.');
}

void SimulatedGroup::limitBandwidth(std::size_t from, std::size_t to,
                                    double bytesPerSecond,
                                    bool hasSmallBypass) {
  Links[{from, to}] = {bytesPerSecond, hasSmallBypass, Now};
}

void SimulatedGroup::breakConnection(std::size_t one, std::size_t other) {
  std::erase_if(Events, [&](const Event &it) {
    const std::pair pair(it.From, it.Member);
    return it.Message &&
           (pair == std::pair(one, other) || pair == std::pair(other, one));
  });
  for (const auto &[from, to] :
       {std::pair(one, other), std::pair(other, one)}) {
    if (const auto it = Links.find({from, to}); it != Links.end())
      it->second.FreeAt = Now;
    if (!Members[from].Node)
      continue;
    Members[from].Node->connectionLost(Now, Members[to].Ip);
    runEffects(from);
  }
}

std::size_t SimulatedGroup::sentBytes(std::size_t from, std::size_t to) const {
  const auto it = SentBytes.find({from, to});
  return it == SentBytes.end() ? 0 : it->second;
}

TimePoint
SimulatedGroup::arrivalOf(const std::pair<std::size_t, std::size_t> &pair,
                          std::size_t bytes) {
  const Duration delay = draw(Timing.MinDelay, Timing.MaxDelay);
  const auto it = Links.find(pair);
  if (it == Links.end() ||
      (it->second.HasSmallBypass && bytes <= MaxBypassBytes))
    return Now + delay;
  constexpr double MillisecondsInSecond = 1000.0;
  const double time = static_cast<double>(bytes) * MillisecondsInSecond /
                      it->second.BytesPerSecond;
  auto &freeAt = it->second.FreeAt;
  freeAt =
      std::max(freeAt, Now) + milliseconds(static_cast<std::int64_t>(time));
  return freeAt + milliseconds(1);
}

void SimulatedGroup::apply(std::size_t member, const wire::Entry &entry) {
  auto &it = Members[member];
  if (entry.index() != it.AppliedIndex + 1)
    Violation = "entries were applied out of order";
  it.AppliedIndex = entry.index();
  const auto [known, isNew] =
      Committed.try_emplace(entry.index(), entry.command());
  if (!isNew && known->second != entry.command())
    Violation = "two members applied different entries at index " +
                std::to_string(entry.index());
}

std::optional<std::size_t> SimulatedGroup::leader() const {
  for (std::size_t i = 0; i < Members.size(); ++i)
    if (Members[i].Node && Members[i].Node->canServe())
      return i;
  return std::nullopt;
}

void SimulatedGroup::propose(std::size_t bytes) {
  for (std::size_t i = 0; i < Members.size(); ++i) {
    if (!Members[i].Node || !Members[i].Node->canServe())
      continue;
    Members[i].Node->propose(Now, "c" + std::to_string(++LastCommand) +
                                      std::string(bytes, '.'));
    runEffects(i);
  }
}

void SimulatedGroup::read() {
  const std::uint64_t newest =
      Committed.empty() ? 0 : Committed.rbegin()->first;
  for (std::size_t i = 0; i < Members.size(); ++i) {
    if (!Members[i].Node)
      continue;
    Reads[++LastRead] = {i, newest};
    Members[i].Node->requestRead(Now, LastRead);
    runEffects(i);
  }
}

} // namespace stepledge::consensus::tests
