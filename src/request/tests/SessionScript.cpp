// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "request/tests/SessionScript.h"

#include "base/ResultTable.h"
#include "request/RequestModule.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

#include <stdexcept>

namespace stepledge::request {

namespace {

constexpr std::uint64_t Seed = 1;
const DatabaseId Database("bookings");

std::uint64_t number(const std::string &text) {
  std::uint64_t n = 0;
  if (!absl::SimpleAtoi(text, &n))
    throw std::runtime_error("not a number: " + text);
  return n;
}

/// "TERM:OFFSET,TERM:OFFSET" or "-".
std::vector<Mark> marksOf(const std::string &text) {
  std::vector<Mark> out;
  if (text == "-")
    return out;
  for (const auto part : absl::StrSplit(text, ',')) {
    const std::pair<std::string, std::string> mark = absl::StrSplit(part, ':');
    out.push_back({Term{number(mark.first)}, LogPosition{number(mark.second)}});
  }
  return out;
}

std::string valueOf(const std::string &word) {
  return word.substr(word.find('=') + 1);
}

std::string marksText(const session::DatabaseMarks &marks) {
  std::vector<std::string> out;
  out.reserve(marks.size());
  for (const auto &it : marks)
    out.push_back(absl::StrCat(it.WrittenIn.Number, ":", it.Position.Offset));
  return out.empty() ? "-" : absl::StrJoin(out, ",");
}

std::string historyText(const std::vector<routing::TermStart> &history) {
  std::vector<std::string> out;
  out.reserve(history.size());
  for (const auto &it : history)
    out.push_back(absl::StrCat(it.Began.Number, ":", it.After.Offset));
  return absl::StrJoin(out, ",");
}

} // namespace

std::string SessionScript::run(const std::string &script) {
  for (const auto part : absl::StrSplit(script, '\n')) {
    const std::string text(part);
    if (!text.starts_with(">"))
      runLine(text);
  }
  while (Output.ends_with("\n\n"))
    Output.pop_back();
  return Output;
}

void SessionScript::out(const std::string &text) {
  absl::StrAppend(&Output, text, "\n");
}

void SessionScript::runLine(const std::string &text) {
  out(text);
  const Words words = absl::StrSplit(text, ' ', absl::SkipEmpty());
  if (!words.empty() && !text.starts_with("#"))
    runCommand(words);
}

std::string SessionScript::textFrom(const Words &words,
                                    std::size_t from) const {
  return absl::StrJoin(words.begin() + static_cast<std::ptrdiff_t>(from),
                       words.end(), " ");
}

void SessionScript::runCommand(const Words &words) {
  const auto &verb = words[0];
  if (verb == "instance") {
    if (Config.Databases.empty())
      Config.Databases.push_back({});
    Config.Vm = VmId("vm");
    Config.Databases[0].Id = Database;
    Config.Databases[0].Instances.push_back(
        {InstanceId(words[1]), HallId(words[2]), {}, 10, 3});
  } else if (verb == "acknowledge") {
    Config.Databases[0].Acknowledge = settings::AcknowledgeMode::Primary;
  } else if (verb == "state") {
    routing::Observation state;
    state.Role = *valueIn(routing::RoleNames, words[2]);
    state.Promised = Term{number(words[3])};
    state.Durable = state.Applied = LogPosition{number(words[4])};
    const auto history = marksOf(words.size() > 5 ? words[5] : "1:0");
    for (const auto &it : history)
      state.History.push_back({it.WrittenIn, it.Position});
    state.LogTerm = history.back().WrittenIn;
    States[InstanceId(words[1])] = state;
  } else if (verb == "silent") {
    if (words[2] == "on")
      SilentInstances.insert(InstanceId(words[1]));
    else
      SilentInstances.erase(InstanceId(words[1]));
  } else if (verb == "at") {
    advanceTo(
        TimePoint(milliseconds(static_cast<std::int64_t>(number(words[1])))));
  } else if (verb == "reply") {
    reply(words);
  } else if (verb == "again") {
    const auto &sent = Batches.at(words[1]);
    sendEvent(BatchFinished{sent.Connection, sent.Answer});
  } else if (verb == "lose") {
    sendEvent(ConnectionLost{Batches.at(words[1]).Connection, "lost"});
  } else if (verb == "leaving") {
    sendEvent(
        InstanceLeaving{Database, InstanceId(words[1]), words[2] == "on"});
  } else if (verb == "stop") {
    sendEvent(StopRequested{});
  } else if (verb == "end") {
    sendEvent(EndReached{});
  } else {
    submit(words);
  }
}

void SessionScript::advanceTo(TimePoint when) {
  if (!Coordinator) {
    Coordinator = makeRequestCoordinator(Config, Seed, Now);
    sendEvent(TimePassed{});
  }
  while (Now < when) {
    const auto wake = Coordinator->nextWake();
    Now = wake && *wake > Now ? std::min(*wake, when) : Now + Duration(100);
    Now = std::min(Now, when);
    sendEvent(TimePassed{});
  }
}

void SessionScript::sendEvent(const Event &event) {
  applyEffects(Coordinator->onEvent(event, Now));
  while (!QueuedEvents.empty()) {
    const auto next = QueuedEvents.front();
    QueuedEvents.erase(QueuedEvents.begin());
    applyEffects(Coordinator->onEvent(next, Now));
  }
}

bool SessionScript::isPoll(const upstream::Batch &batch) const {
  return batch.Steps.size() == 1 &&
         batch.Steps[0].Sql == Config.Dialect.Observe;
}

void SessionScript::applyEffects(const Effects &effects) {
  for (const auto &it : effects) {
    if (const auto *open = std::get_if<OpenConnection>(&it)) {
      Connections[open->Connection] = open->Instance;
      if (!SilentInstances.contains(open->Instance))
        QueuedEvents.push_back(ConnectionOpened{open->Connection});
    } else if (const auto *run = std::get_if<RunBatch>(&it)) {
      show(*run);
    } else if (const auto *sent = std::get_if<SendAnswer>(&it)) {
      show(*sent);
    } else if (const auto *close = std::get_if<CloseConnection>(&it)) {
      for (const auto &[name, batch] : Batches)
        if (batch.Connection == close->Connection && batch.Answer.Steps.empty())
          out(absl::StrCat("> close the connection of ", name));
    }
  }
}

void SessionScript::show(const RunBatch &run) {
  const auto &instance = Connections.at(run.Connection);
  const auto name = absl::StrCat("b", Batches.size() + 1);
  if (isPoll(run.Batch)) {
    if (SilentInstances.contains(instance))
      return;
    upstream::BatchResult result{run.Batch.Id, {}, {}};
    result.Steps.push_back(stepAnswer(Config.Dialect.Observe, instance, ""));
    result.After = upstream::TransactionState::Idle;
    QueuedEvents.push_back(BatchFinished{run.Connection, result});
    return;
  }
  std::vector<std::string> steps;
  for (const auto &it : run.Batch.Steps)
    steps.push_back(it.Sql == Config.Dialect.Observe ? "(observe)" : it.Sql);
  out(absl::StrCat("> ", name, " to ", instance.str(), ": ",
                   absl::StrJoin(steps, " | ")));
  Batches[name] = {run.Connection, run.Batch, {}};
}

void SessionScript::show(const SendAnswer &sent) {
  const auto &answer = sent.Answer;
  const auto &row = resultRow(answer.Code);
  std::string text =
      absl::StrCat("> answer ", Names.at(answer.Id), ": ",
                   std::string(row.Name), ", ", std::string(nameOf(row.Class)));
  if (!answer.AnsweredBy.empty())
    absl::StrAppend(&text, ", by ", answer.AnsweredBy.str());
  for (const auto &it : answer.Result.Rows)
    absl::StrAppend(&text, ", row ", it[0].value_or("NULL"));
  if (answer.IsReplayed)
    absl::StrAppend(&text, ", recorded earlier");
  if (answer.Age)
    absl::StrAppendFormat(&text, ", age %.0f ms", toMilliseconds(*answer.Age));
  absl::StrAppend(&text, ", marks ", marksText(answer.Marks.of(Database)));
  if (!answer.Transaction.empty())
    Transactions[Names.at(answer.Id)] = answer.Transaction;
  out(text);
}

Call SessionScript::callOf(const Words &words) const {
  const auto transaction = [&] {
    const auto it = Transactions.find(words[2]);
    return it == Transactions.end() ? TransactionId(words[2]) : it->second;
  };
  const auto sequence = [&] {
    return static_cast<std::uint32_t>(number(words[3]));
  };
  if (words[0] == "read") {
    ReadCall call{{textFrom(words, 4), {}}, std::nullopt};
    if (valueOf(words[2]) != "-")
      call.MaxAge =
          milliseconds(static_cast<std::int64_t>(number(valueOf(words[2]))));
    return call;
  }
  if (words[0] == "write") {
    const auto key = valueOf(words[2]);
    return WriteCall{{textFrom(words, 4), {}}, key == "-" ? "" : key};
  }
  if (words[0] == "begin")
    return BeginCall{};
  if (words[0] == "statement")
    return StatementCall{transaction(), sequence(), {textFrom(words, 4), {}}};
  if (words[0] == "commit")
    return CommitCall{transaction(), sequence()};
  if (words[0] == "rollback")
    return RollbackCall{transaction()};
  throw std::runtime_error("unknown command " + words[0]);
}

void SessionScript::submit(const Words &words) {
  CallerRequest request;
  request.Id = RequestId{Names.size() + 1};
  Names[request.Id] = words[1];
  request.Database = Database;
  request.Deadline = Now + milliseconds(1000);
  request.Operation = callOf(words);
  if (words[0] == "read" || words[0] == "write")
    for (const auto &it : marksOf(valueOf(words[3])))
      request.Marks.add(Database, it);
  sendEvent(RequestArrived{request});
}

upstream::StepResult SessionScript::stepAnswer(const std::string &sql,
                                               const InstanceId &instance,
                                               const std::string &value) const {
  upstream::StepResult step;
  step.Outcome = upstream::StepOutcome::Ok;
  if (sql == Config.Dialect.Observe) {
    const auto &it = States.at(instance);
    step.Columns = {"role",    "term",    "log_term", "durable",
                    "applied", "leaving", "history"};
    step.Rows = {
        {std::string(nameIn(routing::RoleNames, it.Role)),
         std::to_string(it.Promised.Number), std::to_string(it.LogTerm.Number),
         std::to_string(it.Durable.Offset), std::to_string(it.Applied.Offset),
         "0", historyText(it.History)}};
  } else if (sql == Config.Dialect.LedgerRead) {
    step.Columns = {"digest", "result"};
    const Words parts = absl::StrSplit(value, '/');
    if (parts.size() == 2)
      step.Rows = {{parts[0] == "same" ? LastDigest : parts[0], parts[1]}};
  } else if (!value.empty() && sql.starts_with("SELECT")) {
    step.Columns = {"value"};
    step.Rows = {{value}};
  }
  return step;
}

// Answers the batch as a real instance does, with the transaction state after
// it.
void SessionScript::reply(const Words &words) {
  const auto found = Batches.find(words[1]);
  if (found == Batches.end())
    return out("> there is no " + words[1]);
  auto &sent = found->second;
  const auto &instance = Connections.at(sent.Connection);
  for (const auto &it : sent.Batch.Steps)
    if (it.Sql == Config.Dialect.LedgerInsert)
      LastDigest = it.Parameters[1].value_or("");
  const bool fails = words[2] == "fail";
  const auto failing = fails ? number(words[3]) : 0;
  const std::string value = !fails && words.size() > 3 ? words[3] : "";
  auto state = upstream::TransactionState::Idle;
  bool isSkipping = false;
  upstream::BatchResult result{sent.Batch.Id, {}, {}};
  for (std::size_t n = 0; n < sent.Batch.Steps.size(); ++n) {
    const auto &step = sent.Batch.Steps[n];
    upstream::StepResult answer;
    if (fails && n + 1 == failing) {
      answer.Outcome = upstream::StepOutcome::Failed;
      answer.SqlState = words[4];
      answer.Message = "refused";
      isSkipping = true;
      if (state == upstream::TransactionState::Open)
        state = upstream::TransactionState::Failed;
    } else if (!isSkipping) {
      answer = stepAnswer(step.Sql, instance, value);
      if (step.Sql.starts_with("BEGIN"))
        state = upstream::TransactionState::Open;
      if (step.Sql == "COMMIT" || step.Sql == "ROLLBACK")
        state = upstream::TransactionState::Idle;
    }
    if (step.SyncAfter)
      isSkipping = false;
    result.Steps.push_back(std::move(answer));
  }
  const bool isPinned = sent.Batch.Steps[0].Sql != "ROLLBACK" &&
                        sent.Batch.Steps.size() == 1 && !fails;
  result.After = isPinned ? upstream::TransactionState::Open : state;
  sent.Answer = result;
  sendEvent(BatchFinished{sent.Connection, result});
}

} // namespace stepledge::request
