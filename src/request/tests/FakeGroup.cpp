// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "request/tests/FakeGroup.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <algorithm>

namespace stepledge::request {

namespace {

using upstream::StepOutcome;
using upstream::StepResult;
using upstream::TransactionState;

constexpr std::int64_t MaxNetworkMicroseconds = 3000;
constexpr Duration CopyInterval{700};

StepResult ok() {
  StepResult out;
  out.Outcome = StepOutcome::Ok;
  return out;
}

StepResult failed(const std::string &state) {
  StepResult out;
  out.Outcome = StepOutcome::Failed;
  out.SqlState = state;
  return out;
}

StepResult oneRow(std::vector<std::string> columns, upstream::Row row) {
  auto out = ok();
  out.Columns = std::move(columns);
  out.Rows.push_back(std::move(row));
  return out;
}

const FakeEntry *findKey(const FakeInstance &it, const std::string &key) {
  for (const auto &entry : it.Log)
    if (entry.Key == key)
      return &entry;
  return nullptr;
}

} // namespace

FakeGroup::FakeGroup(std::uint64_t seed,
                     const settings::DialectSettings &dialect)
    : Dialect(dialect), Random(seed), Instances(3) {
  Instances[0].Role = "primary";
  Instances[0].ReplicatesFrom = -1;
  for (auto &it : Instances) {
    it.Log.push_back({1, "", 0, "", "", ""});
    it.Applied = 1;
  }
  after(CopyInterval, [this] { replicate(); });
}

void FakeGroup::after(Duration delay, std::function<void()> action) {
  Events.push({Now + delay, ++LastOrder, std::move(action)});
}

void FakeGroup::runUntil(TimePoint end) {
  while (!Events.empty() && Events.top().At <= end) {
    const auto next = Events.top();
    Events.pop();
    Now = std::max(Now, next.At);
    next.Action();
  }
  Now = std::max(Now, end);
}

bool FakeGroup::chance(int percent) {
  return static_cast<int>(Random() % 100) < percent;
}

Duration FakeGroup::upTo(std::int64_t microseconds) {
  return Duration(1 + static_cast<std::int64_t>(
                          Random() % static_cast<std::uint64_t>(microseconds)));
}

bool FakeGroup::waitsForKey(std::uint64_t connection, int instance,
                            const upstream::Batch &batch) const {
  for (const auto &step : batch.Steps) {
    if (step.Sql != Dialect.LedgerInsert)
      continue;
    for (const auto &[id, it] : Transactions)
      for (const auto &write : it.Writes)
        if (id != connection && it.Instance == instance && it.IsOpen &&
            write.Key == step.Parameters[0])
          return true;
  }
  return false;
}

void FakeGroup::run(std::uint64_t connection, int instance,
                    const upstream::Batch &batch, const Done &done,
                    const Lost &lost) {
  const bool isBatchLost = chance(FaultPercent);
  const bool isAnswerLost = chance(FaultPercent);
  const bool isDuplicated = chance(FaultPercent);
  after(upTo(MaxNetworkMicroseconds), [=, this] {
    if (Instances[Index(instance)].IsIsolated)
      return;
    if (isBatchLost) {
      dropConnection(connection);
      return lost();
    }
    // An insert of a key blocks while another open transaction holds it.
    if (waitsForKey(connection, instance, batch))
      return run(connection, instance, batch, done, lost);
    const auto result = execute(connection, instance, batch);
    after(upTo(MaxNetworkMicroseconds), [=, this] {
      if (Instances[Index(instance)].IsIsolated)
        return;
      if (isAnswerLost) {
        dropConnection(connection);
        return lost();
      }
      done(result);
      if (isDuplicated)
        done(result);
    });
  });
}

void FakeGroup::dropConnection(std::uint64_t connection) {
  Transactions.erase(connection);
}

upstream::BatchResult FakeGroup::execute(std::uint64_t connection, int instance,
                                         const upstream::Batch &batch) {
  auto &transaction = Transactions[connection];
  transaction.Instance = instance;
  auto &it = Instances[Index(instance)];
  upstream::BatchResult result{batch.Id, {}, {}};
  bool isSkipping = false;
  for (const auto &step : batch.Steps) {
    StepResult answer;
    if (!isSkipping)
      answer = executeStep(transaction, it, step);
    if (answer.Outcome == StepOutcome::Failed) {
      isSkipping = true;
      transaction.HasFailed = transaction.IsOpen;
    }
    if (step.SyncAfter)
      isSkipping = false;
    result.Steps.push_back(std::move(answer));
  }
  result.After = !transaction.IsOpen     ? TransactionState::Idle
                 : transaction.HasFailed ? TransactionState::Failed
                                         : TransactionState::Open;
  return result;
}

StepResult FakeGroup::executeStep(OpenTransaction &transaction,
                                  FakeInstance &it,
                                  const upstream::Step &step) {
  if (step.Sql.starts_with("BEGIN")) {
    transaction.IsOpen = true;
    return ok();
  }
  if (step.Sql == "ROLLBACK") {
    transaction = {transaction.Instance, false, false, {}};
    return ok();
  }
  if (transaction.HasFailed)
    return failed("25P02");
  if (step.Sql == "COMMIT")
    return commit(transaction, it);
  if (step.Sql == Dialect.Observe)
    return observe(it);
  if (step.Sql == Dialect.LedgerCreate)
    return it.Role == "primary" ? ok() : failed("25006");
  if (step.Sql == Dialect.LedgerInsert)
    return insertKey(transaction, it, step);
  if (step.Sql == Dialect.LedgerRecord) {
    for (auto &write : transaction.Writes)
      if (write.Key == step.Parameters[0])
        write.Result = step.Parameters[1].value_or("");
    return ok();
  }
  if (step.Sql == Dialect.LedgerRead) {
    const auto *entry = findKey(it, step.Parameters[0].value_or(""));
    return entry == nullptr
               ? ok()
               : oneRow({"digest", "result"}, {entry->Digest, entry->Result});
  }
  if (step.Sql == Dialect.Fence || step.Sql == Dialect.Promote ||
      step.Sql == Dialect.Follow)
    return control(it, step);
  const std::vector<std::string> words = absl::StrSplit(step.Sql, ' ');
  if (words[0] == "PUT") {
    if (it.Role != "primary")
      return failed("25006");
    FakeEntry entry;
    entry.Name = words[1];
    (void)absl::SimpleAtoi(words[2], &entry.Value);
    transaction.Writes.push_back(std::move(entry));
    return ok();
  }
  std::int64_t value = 0;
  for (std::size_t n = 0; n < it.Applied; ++n)
    if (it.Log[n].Name == words[1])
      value = it.Log[n].Value;
  return oneRow({"value"}, {std::to_string(value)});
}

StepResult FakeGroup::control(FakeInstance &it, const upstream::Step &step) {
  std::uint64_t term = 0;
  (void)absl::SimpleAtoi(step.Parameters.back().value_or(""), &term);
  if (step.Sql == Dialect.Fence && term > it.Promised) {
    it.Promised = term;
    it.Role = "fenced";
    it.ReplicatesFrom = -1;
  } else if (step.Sql == Dialect.Promote && term == it.Promised &&
             it.Role != "primary") {
    it.Role = "primary";
    it.Log.push_back({term, "", 0, "", "", ""});
    it.Applied = it.Log.size();
  } else if (step.Sql == Dialect.Follow && term >= it.Promised) {
    it.Promised = term;
    it.Role = "replica";
    // In these tests the port of an instance is its number.
    it.ReplicatesFrom = std::stoi(step.Parameters[1].value_or("0"));
  }
  return ok();
}

StepResult FakeGroup::insertKey(OpenTransaction &transaction,
                                const FakeInstance &it,
                                const upstream::Step &step) {
  if (it.Role != "primary")
    return failed("25006");
  const auto key = step.Parameters[0].value_or("");
  if (findKey(it, key) != nullptr)
    return failed("23505");
  FakeEntry entry;
  entry.Key = key;
  entry.Digest = step.Parameters[1].value_or("");
  transaction.Writes.push_back(std::move(entry));
  return ok();
}

StepResult FakeGroup::commit(OpenTransaction &transaction, FakeInstance &it) {
  const auto writes = std::move(transaction.Writes);
  transaction = {transaction.Instance, false, false, {}};
  if (writes.empty())
    return ok();
  if (it.Role != "primary")
    return failed("25006");
  // NOTE: A transaction is one entry, so that it is replicated atomically.
  FakeEntry merged;
  merged.InTerm = it.Promised;
  for (const auto &write : writes) {
    if (!write.Key.empty()) {
      merged.Key = write.Key;
      merged.Digest = write.Digest;
      merged.Result = write.Result;
    }
    if (!write.Name.empty()) {
      merged.Name = write.Name;
      merged.Value = write.Value;
    }
  }
  it.Log.push_back(std::move(merged));
  it.Applied = it.Log.size();
  return ok();
}

StepResult FakeGroup::observe(const FakeInstance &it) const {
  std::string history;
  std::uint64_t last = 0;
  for (std::size_t n = 0; n < it.Log.size(); ++n) {
    if (it.Log[n].InTerm != last)
      absl::StrAppend(&history, history.empty() ? "" : ",", it.Log[n].InTerm,
                      ":", n);
    last = it.Log[n].InTerm;
  }
  return oneRow(
      {"role", "term", "log_term", "durable", "applied", "leaving", "history"},
      {it.Role, std::to_string(it.Promised), std::to_string(it.logTerm()),
       std::to_string(it.Log.size()), std::to_string(it.Applied), "0",
       history});
}

void FakeGroup::replicate() {
  for (auto &it : Instances) {
    if (it.Role != "replica" || it.ReplicatesFrom < 0 || it.IsPartitioned)
      continue;
    const auto &primary = Instances[Index(it.ReplicatesFrom)];
    if (!primary.IsPartitioned && primary.Role == "primary" &&
        primary.Promised >= it.Promised)
      copyFrom(primary, it);
    const auto behind = it.Log.size() - it.Applied;
    if (behind > 0 && chance(it.Lag.count() == 0 ? 100 : 3))
      ++it.Applied;
  }
  after(CopyInterval, [this] { replicate(); });
}

void FakeGroup::copyFrom(const FakeInstance &primary, FakeInstance &replica) {
  replica.Promised = primary.Promised;
  std::size_t same = 0;
  while (same < replica.Log.size() && same < primary.Log.size() &&
         replica.Log[same].InTerm == primary.Log[same].InTerm)
    ++same;
  replica.Log.resize(same);
  replica.Applied = std::min(replica.Applied, same);
  const auto more = std::min(primary.Log.size(), same + 3);
  for (std::size_t n = same; n < more; ++n)
    replica.Log.push_back(primary.Log[n]);
}

int FakeGroup::newestPrimary() const {
  int found = -1;
  for (std::size_t n = 0; n < Instances.size(); ++n)
    if (Instances[n].Role == "primary" &&
        (found < 0 || Instances[n].Promised > Instances[Index(found)].Promised))
      found = static_cast<int>(n);
  return found;
}

void FakeGroup::replacePrimary() {
  std::uint64_t highest = 0;
  for (const auto &it : Instances)
    highest = std::max(highest, it.Promised);
  const auto term = highest + 1;
  // Two of three are a majority; which two is random.
  const auto excluded = Random() % Instances.size();
  std::size_t best = Instances.size();
  for (std::size_t n = 0; n < Instances.size(); ++n) {
    auto &it = Instances[n];
    if (n == excluded) {
      it.IsPartitioned = true;
      continue;
    }
    it.IsPartitioned = false;
    it.Promised = term;
    it.Role = "fenced";
    const auto mark = [&](std::size_t i) {
      return std::pair(Instances[i].logTerm(), Instances[i].Log.size());
    };
    if (best == Instances.size() || mark(n) > mark(best))
      best = n;
  }
  after(upTo(20000), [=, this] {
    auto &primary = Instances[best];
    if (primary.Promised != term)
      return;
    primary.Role = "primary";
    primary.ReplicatesFrom = -1;
    primary.Log.push_back({term, "", 0, "", "", ""});
    primary.Applied = primary.Log.size();
    for (std::size_t n = 0; n < Instances.size(); ++n) {
      if (n == best || n == excluded || Instances[n].Promised != term)
        continue;
      Instances[n].Role = "replica";
      Instances[n].ReplicatesFrom = static_cast<int>(best);
    }
  });
}

void FakeGroup::isolate(int instance) {
  Instances[Index(instance)].IsIsolated = true;
  Instances[Index(instance)].IsPartitioned = true;
}

void FakeGroup::reconnect() {
  for (auto &it : Instances) {
    it.IsPartitioned = it.IsIsolated = false;
    it.Lag = Duration{0};
  }
}

void FakeGroup::heal() {
  reconnect();
  const int primary = newestPrimary();
  for (std::size_t n = 0; n < Instances.size(); ++n) {
    auto &it = Instances[n];
    if (primary < 0 || static_cast<int>(n) == primary ||
        it.Promised > Instances[Index(primary)].Promised)
      continue;
    it.Role = "replica";
    it.ReplicatesFrom = primary;
  }
}

} // namespace stepledge::request
