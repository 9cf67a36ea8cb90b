// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "control/tests/SyncedService.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace stepledge::control::tests {

namespace {

/// Time after which a caller of the probe gets no answer.
constexpr Duration AnswerLimit = milliseconds(500);

} // namespace

SyncedService::SyncedService(int replicas) {
  Instances["p"].IsPrimary = true;
  for (int i = 1; i <= replicas; ++i)
    Instances["r" + std::to_string(i)] = {};
  for (auto &[id, it] : Instances)
    it.Address = "10.1.0.1:" + id;
}

SyncedInstance *SyncedService::running(const InstanceId &id) {
  const auto it = Instances.find(id.str());
  return it == Instances.end() || !it->second.IsRunning ? nullptr : &it->second;
}

SyncedInstance *SyncedService::reached(const InstanceId &id) {
  auto *it = running(id);
  return it && !it->IsCutFromControl ? it : nullptr;
}

SyncedInstance *SyncedService::primary() {
  for (auto &[id, it] : Instances)
    if (it.IsPrimary && it.IsRunning)
      return &it;
  return nullptr;
}

void SyncedService::step(TimePoint now) {
  Now = now;
  while (!Due.empty() && Due.begin()->first <= now) {
    const auto action = std::move(Due.begin()->second);
    Due.erase(Due.begin());
    action();
  }
  auto *leading = primary();
  if (!leading)
    return;
  CommitsAt[now] = ++leading->Received;
  std::uint64_t held = 0;
  for (auto &[id, it] : Instances) {
    if (it.IsPrimary || !it.IsRunning)
      continue;
    replicate(it);
    held = std::max(held, it.Received);
  }
  Acknowledged = std::max(Acknowledged, std::min(held, leading->Received));
}

void SyncedService::replicate(SyncedInstance &replica) {
  if (replica.PausedIn)
    return;
  const auto it = CommitsAt.upper_bound(Now - replica.Lag);
  if (it != CommitsAt.begin())
    replica.Received = std::max(replica.Received, std::prev(it)->second);
}

std::vector<membership::InstanceRecord> SyncedService::heartbeats() {
  std::vector<membership::InstanceRecord> records;
  for (auto &[id, it] : Instances) {
    if (!it.IsRunning)
      continue;
    membership::InstanceRecord record;
    record.Id = InstanceId(id);
    record.Service = "db";
    record.Address = it.Address;
    record.Role = it.IsPrimary ? membership::InstanceRole::Primary
                               : membership::InstanceRole::Replica;
    record.State = it.State;
    record.StartTimeMs = it.StartTimeMs;
    record.Sequence = ++it.Sequence;
    records.push_back(record);
  }
  return records;
}

void SyncedService::restart(const std::string &id) {
  auto &it = Instances.at(id);
  it.PausedIn.reset();
  ++it.StartTimeMs;
}

void SyncedService::restartOldPrimary(const std::string &id) {
  auto &it = Instances.at(id);
  it.IsRunning = true;
  restart(id);
  if (!primary())
    it.IsPrimary = true;
}

void SyncedService::end(const std::string &id) {
  Instances.at(id).IsRunning = false;
}

void SyncedService::succeed(const std::string &id,
                            const std::string &successor) {
  SyncedInstance next = Instances.at(id);
  next.IsRunning = true;
  next.State = membership::InstanceState::Ready;
  next.PausedIn.reset();
  Instances[successor] = next;
}

InstanceStatus SyncedService::statusOf(const SyncedInstance &instance) const {
  InstanceStatus status;
  status.Role = instance.IsPrimary ? membership::InstanceRole::Primary
                                   : membership::InstanceRole::Replica;
  status.Received.Position.Offset = instance.Received;
  status.Received.WrittenIn = Term{1};
  status.Known = Term{instance.Term};
  return status;
}

void SyncedService::schedule(Duration delay, std::function<void()> action) {
  Due.emplace(Now + delay, std::move(action));
}

void SyncedService::answer(Duration delay, std::function<void()> onDone) {
  schedule(delay, [this, asker = Asker, onDone = std::move(onDone)] {
    if (asker == Asker)
      onDone();
  });
}

void SyncedService::answerAfterWork(const InstanceId &id, Duration work,
                                    const OnStatus &onDone) {
  if (work > AnswerLimit)
    return answer(AnswerLimit, [onDone] { onDone(std::nullopt); });
  // The answer tells the state before its last millisecond.
  auto status = std::make_shared<std::optional<InstanceStatus>>();
  schedule(work - milliseconds(1), [this, id, status] {
    if (const auto *it = reached(id))
      *status = statusOf(*it);
  });
  answer(work, [onDone, status] { onDone(*status); });
}

void SyncedService::askStatus(const membership::InstanceRecord &instance,
                              OnStatus onDone) {
  const auto *it = reached(instance.Id);
  answerAfterWork(instance.Id, it ? it->WorkTime : AnswerLimit, onDone);
}

void SyncedService::pause(
    const membership::InstanceRecord &instance, Term term,
    std::function<void(std::optional<PausedStatus>)> onDone) {
  const auto *it = reached(instance.Id);
  const Duration work = it ? it->PauseTime.value_or(it->WorkTime) : AnswerLimit;
  schedule(work - milliseconds(2), [this, id = instance.Id, term] {
    auto *paused = reached(id);
    if (!paused || paused->IsPrimary || term.Number <= paused->Term)
      return;
    paused->PausedIn = term.Number;
    paused->Term = term.Number;
  });
  answerAfterWork(
      instance.Id, work, [onDone = std::move(onDone)](const auto &status) {
        onDone(status ? std::optional(PausedStatus{*status}) : std::nullopt);
      });
}

void SyncedService::demote(
    const membership::InstanceRecord &instance, Term term,
    std::function<void(std::optional<InstanceStatus>)> onDone) {
  const auto *it = reached(instance.Id);
  const Duration work =
      it ? it->DemoteTime.value_or(it->WorkTime) : AnswerLimit;
  schedule(work - milliseconds(2), [this, id = instance.Id, term] {
    auto *demoted = reached(id);
    if (!demoted || term.Number <= demoted->Term)
      return;
    demoted->IsPrimary = false;
    demoted->Term = term.Number;
  });
  answerAfterWork(instance.Id, work, onDone);
}

void SyncedService::resume(const membership::InstanceRecord &instance,
                           std::function<void(bool)> onDone) {
  const auto *it = reached(instance.Id);
  if (!it)
    return answer(AnswerLimit, [onDone] { onDone(false); });
  const Duration time = it->ResumeTime;
  schedule(time, [this, id = instance.Id] {
    if (auto *paused = reached(id))
      paused->PausedIn.reset();
  });
  // One that is given up may wait in the instance's queue, and is carried out.
  answer(std::min(time, AnswerLimit),
         [onDone, isAnswered = time <= AnswerLimit] { onDone(isAnswered); });
}

void SyncedService::ping(const membership::InstanceRecord &instance,
                         std::function<void(bool)> onDone) {
  onDone(reached(instance.Id) != nullptr);
}

void SyncedService::promote(const PromotionOrder &order,
                            std::function<void(PromotionResult)> onDone) {
  const bool isLate = order.Fence < NewestFence;
  NewestFence = std::max(NewestFence, order.Fence);
  if (isLate || !running(order.Instance))
    return onDone(PromotionResult::Rejected);
  Ordered = order.Instance;
  const bool isCarriedOut = CarriesOutOrders;
  schedule(PromotionTime, [this, id = order.Instance, isCarriedOut] {
    if (!isCarriedOut)
      return;
    auto *target = running(id);
    if (!target)
      return;
    Lost += Acknowledged - std::min(Acknowledged, target->Received);
    ++Promotions;
    for (auto &[other, it] : Instances) {
      it.IsPrimary = false;
      it.PausedIn.reset();
      it.Received = std::min(it.Received, target->Received);
    }
    target->IsPrimary = true;
    CommitsAt.clear();
  });
  onDone(AnswersOrders ? PromotionResult::Accepted : PromotionResult::NoAnswer);
}

} // namespace stepledge::control::tests
