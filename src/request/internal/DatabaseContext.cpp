// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "request/internal/DatabaseContext.h"

#include "base/ResultTable.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <numeric>

namespace stepledge::request {

namespace {

constexpr int MaxAttempts = 6;
constexpr double RetryReserve = 50;
constexpr int ServiceTimeWeight = 8;
constexpr Duration OtherHallDistance = milliseconds(50);
/// The shortest retry delay that a refusal reports to the caller.
constexpr Duration MinRetryAfter = milliseconds(50);
constexpr std::size_t MaxRecordEntries = 64;

std::vector<InstanceId> idsOf(const settings::DatabaseSettings &database) {
  std::vector<InstanceId> out;
  for (const auto &it : database.Instances)
    out.push_back(it.Id);
  return out;
}

int slotsOf(const settings::DatabaseSettings &database) {
  return std::accumulate(database.Instances.begin(), database.Instances.end(),
                         0, [](int n, const auto &it) { return n + it.Slots; });
}

struct RequestOf {
  RequestId operator()(const ReadWork &it) const { return it.Request; }
  RequestId operator()(const WriteWork &it) const { return it.Request; }
  RequestId operator()(const TransactionWork &it) const { return it.Request; }
  RequestId operator()(const ObserveWork &) const { return {}; }
  RequestId operator()(const ResetWork &) const { return {}; }
};

routing::RouterSettings routerSettings(const settings::Settings &common) {
  const auto &timing = common.Timing;
  return {timing.Silence, timing.PrimaryConfirm, common.Failover.LeaveGrace,
          timing.CatchUp};
}

} // namespace

ResultSet resultOf(const upstream::StepResult &step) {
  return {step.Columns, step.Rows, step.AffectedRows};
}

DatabaseContext::DatabaseContext(const settings::DatabaseSettings &database,
                                 const settings::Settings &common,
                                 ProcessCounters &counters,
                                 routing::Random &random)
    : Database(database), Common(common), View(idsOf(database)),
      Router(routerSettings(common)),
      Queue({common.Limits.Queue, slotsOf(database)}),
      Retries(common.Limits.RetryShare, RetryReserve),
      Pool(database, counters.Connections), Counters(counters), Random(random) {
  for (const auto &it : database.Instances) {
    Limits.emplace(it.Id, admission::ConcurrencyLimit(it.Slots));
    ServiceTimes[it.Id] = milliseconds(1);
    const auto distance = common.Distances.find(it.Hall);
    if (distance != common.Distances.end())
      Distances[it.Id] = distance->second;
    else
      Distances[it.Id] =
          it.Hall == common.Hall ? Duration{0} : OtherHallDistance;
  }
}

ActiveRequest *DatabaseContext::find(RequestId id) {
  const auto it = Requests.find(id);
  return it == Requests.end() ? nullptr : &it->second;
}

void DatabaseContext::note(ActiveRequest &request, Note note, TimePoint now) {
  if (request.Record.Entries.size() < MaxRecordEntries)
    request.Record.Entries.push_back(
        {now - request.ArrivedAt, std::move(note)});
}

ActiveRequest *DatabaseContext::noteLost(RequestId id,
                                         const InstanceId &instance,
                                         TimePoint now) {
  View.noteFailure(instance);
  auto *request = find(id);
  if (request != nullptr)
    note(*request, {NoteKind::InstanceLost, instance, {}, ""}, now);
  return request;
}

void DatabaseContext::finish(RequestId id, CallerAnswer answer, TimePoint now) {
  const auto it = Requests.find(id);
  if (it == Requests.end())
    return;
  auto request = std::move(it->second);
  Requests.erase(it);
  request.Record.Outcome = answer.Code;
  request.Record.TotalTime = now - request.ArrivedAt;
  answer.Id = id;
  answer.Decision = request.Record.Id;
  if (answer.Marks.empty())
    answer.Marks = request.Request.Marks;
  PendingEffects.push_back(SendAnswer{std::move(answer)});
  PendingEffects.push_back(RecordDecision{std::move(request.Record)});
}

void DatabaseContext::refuse(RequestId id, ResultCode code,
                             const std::string &detail, TimePoint now) {
  CallerAnswer answer;
  answer.Code = code;
  answer.Detail = detail;
  const int status = resultRow(code).HttpStatus;
  if (status == 503 || status == 504)
    answer.RetryAfter = std::max(
        MinRetryAfter, Queue.expectedWait(admission::WorkClass::Browse));
  finish(id, std::move(answer), now);
}

void DatabaseContext::requeue(ActiveRequest &request) {
  if (request.CurrentPhase != Phase::AwaitingProbe)
    request.CurrentPhase = Phase::Queued;
  Queue.putBack({request.Request.Id, request.Class, request.Request.Deadline});
}

void DatabaseContext::retryOrRefuse(ActiveRequest &request, ResultCode code,
                                    TimePoint now) {
  ++request.Attempts;
  if (request.Attempts >= MaxAttempts)
    return refuse(request.Request.Id, code, "", now);
  if (!Retries.take()) {
    note(request, {NoteKind::RetryBudgetSpent, {}, {}, ""}, now);
    return refuse(request.Request.Id, code, "", now);
  }
  note(request, {NoteKind::Retried, {}, {}, ""}, now);
  request.ExpiryCode = code;
  requeue(request);
}

void DatabaseContext::send(ConnectionId connection, Work work,
                           std::vector<upstream::Step> steps, TimePoint now) {
  const auto *pooled = Pool.find(connection);
  if (pooled == nullptr)
    return;
  const BatchId batch{++Counters.Batches};
  Running[connection] = {work, batch, pooled->Instance, now, steps.size()};
  Pool.setState(connection, ConnectionState::Busy, now);
  PendingEffects.push_back(RunBatch{
      connection, std::visit(RequestOf(), work), {batch, std::move(steps)}});
}

void DatabaseContext::close(ConnectionId connection, TimePoint now) {
  Running.erase(connection);
  if (Pool.drop(connection, false, now))
    PendingEffects.push_back(CloseConnection{connection});
}

void DatabaseContext::release(ConnectionId connection,
                              upstream::TransactionState after, TimePoint now) {
  if (after == upstream::TransactionState::Idle)
    return Pool.setState(connection, ConnectionState::Idle, now);
  if (after == upstream::TransactionState::Unclear)
    return close(connection, now);
  send(connection, ResetWork{}, {{"ROLLBACK", {}, true}}, now);
}

bool DatabaseContext::hasFreeSlot(const InstanceId &instance) const {
  const auto it = Limits.find(instance);
  return it != Limits.end() && Pool.inFlight(instance) < it->second.limit();
}

std::optional<ConnectionId>
DatabaseContext::connectionFor(const InstanceId &instance) const {
  if (!hasFreeSlot(instance))
    return std::nullopt;
  return Pool.idleConnection(instance);
}

routing::Loads DatabaseContext::loads() const {
  routing::Loads out;
  for (const auto &it : Database.Instances)
    out[it.Id] = {connectionFor(it.Id).has_value(), Pool.inFlight(it.Id),
                  ServiceTimes.at(it.Id), Distances.at(it.Id)};
  return out;
}

bool DatabaseContext::hasCapacity() const {
  return std::any_of(Database.Instances.begin(), Database.Instances.end(),
                     [this](const auto &it) { return hasFreeSlot(it.Id); });
}

std::optional<InstanceId> DatabaseContext::livePrimary(TimePoint now) const {
  auto primary = View.primary();
  if (!primary || now - View.of(*primary).AnsweredAt > Common.Timing.Silence)
    return std::nullopt;
  return primary;
}

void DatabaseContext::noteCompleted(const InstanceId &instance,
                                    TimePoint sentAt, TimePoint now) {
  const auto time = now - sentAt;
  View.noteSuccess(instance);
  Queue.noteService(time);
  auto &average = ServiceTimes[instance];
  average += (time - average) / ServiceTimeWeight;
  if (const auto it = Limits.find(instance); it != Limits.end())
    it->second.noteAnswer(time, Pool.inFlight(instance) + 1);
}

bool DatabaseContext::fitsLimits(const ResultSet &result) const {
  if (result.Rows.size() > Common.Limits.ResultRows)
    return false;
  std::size_t bytes = 0;
  for (const auto &row : result.Rows)
    for (const auto &it : row)
      bytes += it ? it->size() : 0;
  return bytes <= Common.Limits.ResultBytes;
}

} // namespace stepledge::request
