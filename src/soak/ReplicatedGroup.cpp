// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "soak/ReplicatedGroup.h"

#include <algorithm>

namespace stepledge::soak {

namespace {

/// Enough to find a cause; a broken run repeats itself.
constexpr std::size_t MostFaults = 20;
constexpr std::uint64_t MostRows = 3;

/// The arguments of an execution, behind its word and its prepared name.
std::string_view argumentsOf(std::string_view text) {
  for (int i = 0; i < 2; ++i) {
    const auto end = text.find(' ');
    text = end == text.npos ? "" : text.substr(end + 1);
  }
  return text;
}

} // namespace

ReplicatedGroup::ReplicatedGroup(std::size_t count, std::uint64_t seed)
    : Random(seed), Members(count) {}

void ReplicatedGroup::fault(const std::string &text) {
  ++Counts[text.substr(0, text.find(':'))];
  if (Faults.size() < MostFaults)
    Faults.push_back(text);
}

void ReplicatedGroup::report(const std::string &text) {
  const std::lock_guard lock(Mutex);
  fault(text);
}

std::map<std::string, int> ReplicatedGroup::faultCounts() {
  const std::lock_guard lock(Mutex);
  return Counts;
}

void ReplicatedGroup::drawRows(FieldHabits habits) {
  const std::lock_guard lock(Mutex);
  Rows = habits;
}

std::string ReplicatedGroup::nextRows() {
  std::string rows = "r" + std::to_string(Random());
  if (!Rows)
    return rows;
  rows += drawTail(Random, *Rows);
  fillLine(rows, std::string_view("ROW \r\n").size());
  for (auto n = Random() % MostRows; n > 0; --n)
    rows += RowEnd + ("q" + drawTail(Random, *Rows));
  return rows;
}

Place ReplicatedGroup::placeAt(std::size_t held) const {
  return held == 0 ? Place{1, 0} : History[held - 1].At;
}

Place ReplicatedGroup::kept(Place place) const {
  for (auto it = EndOf.lower_bound(place.first); it != EndOf.end(); ++it)
    place = std::min(place, it->second);
  return place;
}

void ReplicatedGroup::advance(SoakClock::time_point now) {
  const std::lock_guard lock(Mutex);
  for (std::size_t i = 0; i < Members.size(); ++i) {
    auto &it = Members[i];
    while (i != Lead && it.Held < History.size() &&
           History[it.Held].Time + it.Lag <= now)
      ++it.Held;
  }
}

Place ReplicatedGroup::positionOf(std::size_t instance) {
  const std::lock_guard lock(Mutex);
  return placeAt(Members[instance].Held);
}

std::uint64_t ReplicatedGroup::termOf() {
  const std::lock_guard lock(Mutex);
  return Term;
}

bool ReplicatedGroup::isLead(std::size_t instance) {
  const std::lock_guard lock(Mutex);
  return instance == Lead;
}

std::size_t ReplicatedGroup::lead() {
  const std::lock_guard lock(Mutex);
  return Lead;
}

void ReplicatedGroup::setLag(std::size_t instance,
                             std::chrono::milliseconds lag) {
  const std::lock_guard lock(Mutex);
  Members[instance].Lag = lag;
}

void ReplicatedGroup::promote(std::size_t instance) {
  const std::lock_guard lock(Mutex);
  if (instance == Lead)
    return;
  Lead = instance;
  History.resize(Members[instance].Held);
  EndOf[Term] = placeAt(History.size());
  ++Term;
  for (auto &it : Members)
    it.Held = std::min(it.Held, History.size());
}

RunResult ReplicatedGroup::refuse(ServerSession &session, RunCode code) {
  if (session.IsOpen && code != RunCode::Busy) {
    session.HasFailed = true;
    session.Writes.clear();
  }
  return {code, {}, {}};
}

RunResult ReplicatedGroup::begin(ServerSession &session, bool isReadOnly,
                                 Place minimum) {
  const std::lock_guard lock(Mutex);
  if (session.IsOpen) {
    fault("a transaction begins inside another one");
    return refuse(session, RunCode::Malformed);
  }
  if (!isReadOnly && session.Instance != Lead)
    return {RunCode::ReadOnly, {}, {}};
  if (placeAt(Members[session.Instance].Held) < minimum)
    return {RunCode::Lagging, {}, {}};
  session.IsOpen = true;
  session.HasFailed = false;
  session.IsReadOnly = isReadOnly;
  session.BegunInTerm = Term;
  session.Owner = 0;
  session.Writes.clear();
  return {};
}

RunResult ReplicatedGroup::rollback(ServerSession &session) {
  const std::lock_guard lock(Mutex);
  if (!session.IsOpen)
    return {RunCode::Malformed, {}, {}};
  session.IsOpen = false;
  session.HasFailed = false;
  session.Writes.clear();
  return {};
}

void ReplicatedGroup::keep(ServerSession &session,
                           std::vector<std::string> writes) {
  auto &member = Members[session.Instance];
  const Place last = placeAt(member.Held);
  const Place next{Term, last.second + 1};
  History.push_back({next, std::move(writes), SoakClock::now()});
  member.Held = History.size();
}

RunResult ReplicatedGroup::commit(ServerSession &session,
                                  const std::string &id) {
  const std::lock_guard lock(Mutex);
  const auto sent = Sent.find(id);
  if (sent == Sent.end() || sent->second.Text != "COMMIT")
    fault("a commit that no caller sent: " + id);
  if (!session.IsOpen) {
    fault("a commit outside a transaction: " + id);
    return refuse(session, RunCode::Malformed);
  }
  if (session.HasFailed)
    return refuse(session, RunCode::Malformed);
  const bool hasLostLead = !session.IsReadOnly && (session.Instance != Lead ||
                                                   session.BegunInTerm != Term);
  if (hasLostLead && !session.Writes.empty())
    return refuse(session, RunCode::ReadOnly);
  if (sent != Sent.end())
    checkSession(session, id, sent->second);
  if (!session.Writes.empty())
    keep(session, std::move(session.Writes));
  session.Writes.clear();
  session.IsOpen = false;
  RunResult result{RunCode::Done, "s" + std::to_string(Random()), {}};
  Signed[id][result.Signature] = {};
  return result;
}

void ReplicatedGroup::checkSession(const ServerSession &session,
                                   const std::string &id,
                                   const SentStatement &sent) {
  if (session.Values != sent.Values)
    fault("session values differ: " + id);
  if (session.IsOpen && session.Owner != 0 && session.Owner != sent.Caller)
    fault("a statement runs in another caller's transaction: " + id);
}

RunResult ReplicatedGroup::run(ServerSession &session, const std::string &id,
                               const std::string &text,
                               const std::string &preparedName, Place minimum) {
  const std::lock_guard lock(Mutex);
  const auto sent = Sent.find(id);
  if (sent == Sent.end()) {
    fault("a statement runs that no caller sent: " + id);
    return refuse(session, RunCode::Malformed);
  }
  const auto &statement = sent->second;
  if (session.HasFailed)
    return refuse(session, RunCode::Malformed);
  const auto prepared = session.Prepared.find(preparedName);
  if (!preparedName.empty() && prepared == session.Prepared.end())
    return refuse(session, RunCode::UnknownName);
  if (preparedName.empty() ? text != statement.Text
                           : prepared->second != statement.Shape)
    fault("a statement runs with another text or shape: " + id);
  if (!preparedName.empty() && argumentsOf(text) != argumentsOf(statement.Text))
    fault("an execution runs with other arguments: " + id);
  auto &member = Members[session.Instance];
  if (placeAt(member.Held) < minimum)
    return refuse(session, RunCode::Lagging);
  const bool hasLostLead =
      session.IsOpen && !session.IsReadOnly &&
      (session.Instance != Lead || session.BegunInTerm != Term);
  const bool isRefusedWrite =
      statement.IsWrite && (session.Instance != Lead || session.IsReadOnly);
  if (hasLostLead || isRefusedWrite)
    return refuse(session, RunCode::ReadOnly);
  checkSession(session, id, statement);
  if (session.IsOpen)
    session.Owner = statement.Caller;
  if (statement.IsWrite && session.IsOpen)
    session.Writes.push_back(id);
  else if (statement.IsWrite)
    keep(session, {id});
  else if (placeAt(member.Held) < kept(statement.Needed))
    fault("a stale read: " + id);
  RunResult result{RunCode::Done, "s" + std::to_string(Random()),
                   statement.IsWrite ? "" : nextRows()};
  Signed[id][result.Signature] = result.Row;
  return result;
}

void ReplicatedGroup::willSend(const std::string &id, SentStatement statement) {
  const std::lock_guard lock(Mutex);
  Sent[id] = std::move(statement);
}

Place ReplicatedGroup::needed(ReadRule rule, std::uint64_t caller,
                              std::chrono::milliseconds staleness) {
  const std::lock_guard lock(Mutex);
  const auto now = SoakClock::now();
  Place place{};
  for (auto it = Acks.rbegin(); it != Acks.rend(); ++it)
    if (rule == ReadRule::Current || it->Time + staleness < now)
      place = std::max(place, kept(it->At));
  if (rule == ReadRule::Own)
    place = std::max(place, kept(OwnAcks[caller]));
  return place;
}

void ReplicatedGroup::acknowledged(std::uint64_t caller,
                                   const std::vector<std::string> &ids) {
  const std::lock_guard lock(Mutex);
  for (auto it = History.rbegin(); it != History.rend(); ++it) {
    const bool isIt =
        std::any_of(ids.begin(), ids.end(), [&](const std::string &id) {
          return std::find(it->Writes.begin(), it->Writes.end(), id) !=
                 it->Writes.end();
        });
    if (!isIt)
      continue;
    Acks.push_back({SoakClock::now(), it->At});
    OwnAcks[caller] = std::max(OwnAcks[caller], it->At);
    return;
  }
  // NOTE: one that a promotion rolled back before its answer came is lost, as
  // asynchronous replication allows.
  if (EndOf.empty())
    fault("an acknowledged write is nowhere: " + ids.front());
}

void ReplicatedGroup::promised(const std::vector<std::string> &ids) {
  const std::lock_guard lock(Mutex);
  Promised.insert(ids.begin(), ids.end());
}

void ReplicatedGroup::answered(const std::string &id,
                               const std::string &signature,
                               const std::string &row) {
  const std::lock_guard lock(Mutex);
  const auto &runs = Signed[id];
  const auto it = runs.find(signature);
  if (it == runs.end())
    fault("a success without the instance's signature: " + id);
  else if (it->second != row)
    fault("a success with other rows: " + id);
}

std::vector<std::string> ReplicatedGroup::faults() {
  const std::lock_guard lock(Mutex);
  std::map<std::string, int> runs;
  for (const auto &commit : History)
    for (const auto &it : commit.Writes)
      ++runs[it];
  for (const auto &[id, n] : runs) {
    if (n > 1)
      fault("a write is kept twice: " + id);
    if (Promised.contains(id))
      fault("a refused write is kept: " + id);
  }
  return Faults;
}

} // namespace stepledge::soak
