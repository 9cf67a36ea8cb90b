// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "control/internal/Replacement.h"

#include "control/ControlNode.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <set>
#include <utility>

namespace stepledge::control {

using membership::InstanceRecord;
using membership::InstanceRole;
using membership::InstanceState;

namespace {

/// Replicas that answer later are ignored: two round trips and a queue.
constexpr Duration StatusLimit = milliseconds(250);
/// A promoted instance reports its new role in its heartbeats by then.
constexpr Duration OrderTime = milliseconds(2500);
/// The pause before the next attempt for a service: an instance that was full
/// may have a free slot by then.
constexpr Duration RunPause = milliseconds(150);
/// An attempt that isn't finished by then is aborted and started again.
constexpr Duration RunLimit = milliseconds(3000);

} // namespace

std::vector<std::string> Replacement::services() const {
  return Node.Directory.services();
}

bool Replacement::needsReplacement(TimePoint now, const std::string &service,
                                   bool &isPlanned) const {
  const InstanceRecord *primary = presentPrimary(now, service);
  if (!primary)
    return false;
  isPlanned =
      primary->State == InstanceState::Leaving || hasLostItsLead(*primary);
  return isPlanned || Node.Watch.isLost(now, service, primary->Id);
}

bool Replacement::isNamed(const InstanceRecord &record) const {
  const auto it = Node.State.promotions().find(record.Service);
  return it != Node.State.promotions().end() &&
         it->second.instance() == record.Id.str() &&
         it->second.born_ms() == record.BornMs;
}

bool Replacement::hasLostItsLead(const InstanceRecord &primary) const {
  if (!primary.HasRestarted || isNamed(primary))
    return false;
  const auto all = Node.Directory.ofService(primary.Service);
  return std::any_of(all.begin(), all.end(), [](const auto *it) {
    return it->State == InstanceState::Ready && !it->HasRestarted;
  });
}

const InstanceRecord *
Replacement::presentPrimary(TimePoint now, const std::string &service) const {
  const auto orderedAt = OrderedAt.find(service);
  const bool isRecent =
      orderedAt != OrderedAt.end() && now - orderedAt->second < OrderTime;
  const InstanceRecord *primary = nullptr;
  for (const auto *it : Node.Directory.ofService(service)) {
    if (it->State == InstanceState::Gone)
      continue;
    // NOTE: an order without an answer may never be carried out; then the
    // instance still reports to be a replica, and doesn't count.
    if (isNamed(*it) && (isRecent || it->Role == InstanceRole::Primary))
      return it;
    const bool isPrimary = it->Role == InstanceRole::Primary;
    // A primary that was replaced or has lost its data may still report to be
    // the primary.
    const auto rankOf = [](const InstanceRecord &record) {
      return std::pair(record.HasRestarted, record.State);
    };
    if (isPrimary && (!primary || rankOf(*it) < rankOf(*primary)))
      primary = it;
  }
  return primary;
}

void Replacement::tick(TimePoint now) {
  for (const auto &service : services()) {
    const auto it = Running.find(service);
    if (it == Running.end()) {
      bool isPlanned = false;
      const auto finishedAt = FinishedAt.find(service);
      const bool rests =
          finishedAt != FinishedAt.end() && now - finishedAt->second < RunPause;
      if (!rests && needsReplacement(now, service, isPlanned))
        start(now, service, isPlanned);
      continue;
    }
    auto &run = it->second;
    if (now - run.StartedAt > RunLimit) {
      Log.decision(absl::StrCat("event=replacement_given_up service=", service,
                                " fence=", run.Fence));
      finish(now, service);
      continue;
    }
    const bool isDone =
        run.AwaitedAnswers == 0 || now - run.StepAt > StatusLimit;
    const bool mustPause =
        run.Step == Stage::AskingStatus && Node.syncReplicasOf(service) > 0;
    const bool isAsking =
        run.Step == Stage::AskingStatus || run.Step == Stage::Pausing;
    if (isAsking && isDone && mustPause)
      pauseReplicas(now, service, run);
    else if (isAsking && isDone)
      order(now, service, run);
  }
}

void Replacement::start(TimePoint now, const std::string &service,
                        bool isPlanned) {
  auto &run = Running[service];
  run.Number = ++LastNumber;
  run.IsPlanned = isPlanned;
  run.StartedAt = now;
  run.StepAt = now;
  Log.decision(absl::StrCat("event=replacement_begins service=", service,
                            " planned=", isPlanned));
  wire::Command command;
  command.mutable_take_fence()->set_service(service);
  command.mutable_take_fence()->set_holder(Node.Options.NodeName);
  Node.startCall(now, std::move(command), false, [](bool) {});
}

void Replacement::fenceTaken(TimePoint now, const wire::Command &command,
                             std::uint64_t index) {
  const std::string &service = command.take_fence().service();
  const auto it = Running.find(service);
  if (it == Running.end() || it->second.Step != Stage::TakingFence ||
      command.proposer() != Node.Node.self().number())
    return;
  it->second.Fence = index;
  askReplicas(now, service, it->second);
}

void Replacement::askReplicas(TimePoint now, const std::string &service,
                              Run &run) {
  run.Step = Stage::AskingStatus;
  run.StepAt = now;
  const std::uint64_t number = run.Number;
  for (const auto *it : Node.Directory.ofService(service)) {
    if (it->State != InstanceState::Ready)
      continue;
    ++run.AwaitedAnswers;
    Probe.askStatus(*it, [this, service, number,
                          id = it->Id](std::optional<InstanceStatus> status) {
      take(service, number, id, status);
    });
  }
}

void Replacement::take(const std::string &service, std::uint64_t number,
                       const InstanceId &instance,
                       const std::optional<InstanceStatus> &status) {
  const auto found = Running.find(service);
  if (found == Running.end() || found->second.Number != number)
    return;
  --found->second.AwaitedAnswers;
  if (status)
    found->second.Answers[instance] = *status;
}

void Replacement::pauseReplicas(TimePoint now, const std::string &service,
                                Run &run) {
  Term newest;
  for (const auto &[id, it] : run.Answers)
    newest = std::max({newest, it.Known, it.Received.WrittenIn});
  const Term next{newest.Number + 1};
  const auto answers = std::exchange(run.Answers, {});
  run.Step = Stage::Pausing;
  run.StepAt = now;
  run.AwaitedAnswers = 0;
  const std::uint64_t number = run.Number;
  for (const auto &[id, status] : answers) {
    const auto *record = Node.Directory.find(id);
    const bool isPrimary = status.Role == InstanceRole::Primary;
    if (isPrimary)
      run.Answers[id] = status;
    if (!record || isPrimary)
      continue;
    ++run.AwaitedAnswers;
    Probe.pause(
        *record, next,
        [this, service, number, it = id](std::optional<InstanceStatus> paused) {
          take(service, number, it, paused);
        });
  }
}

void Replacement::resumeReplicas(const std::string &service) {
  for (const auto *it : Node.Directory.ofService(service))
    if (it->State == InstanceState::Ready && it->Role == InstanceRole::Replica)
      Probe.resume(*it);
}

bool Replacement::hasEnoughAnswers(const std::string &service,
                                   const Run &run) const {
  const int sync = Node.syncReplicasOf(service);
  if (sync <= 0)
    return true;
  int replicas = 0;
  int answered = 0;
  const auto *primary = presentPrimary(Node.Now, service);
  for (const auto *it : Node.Directory.ofService(service)) {
    if (it == primary || it->State == InstanceState::Gone)
      continue;
    ++replicas;
    answered += run.Answers.contains(it->Id);
  }
  // The newest acknowledged commit may be on any `sync` replicas alone.
  return answered >= replicas - sync + 1;
}

void Replacement::order(TimePoint now, const std::string &service, Run &run) {
  const std::pair<const InstanceId, InstanceStatus> *best = nullptr;
  for (const auto &it : run.Answers) {
    const bool isPrimary = it.second.Role == InstanceRole::Primary;
    // NOTE: a primary that answers and isn't leaving needs no successor.
    if (isPrimary && !run.IsPlanned) {
      Log.decision(absl::StrCat("event=replacement_unneeded service=", service,
                                " primary=", it.first.str()));
      return finish(now, service);
    }
    if (!isPrimary && (!best || it.second.Received > best->second.Received))
      best = &it;
  }
  if (!best) {
    Log.decision(
        absl::StrCat("event=replacement_without_candidate service=", service));
    return finish(now, service);
  }
  if (!hasEnoughAnswers(service, run)) {
    Log.decision(absl::StrCat("event=replacement_unsure service=", service,
                              " answers=", run.Answers.size(),
                              " sync=", Node.syncReplicasOf(service)));
    return finish(now, service);
  }
  run.Step = Stage::Ordering;
  OrderedAt[service] = now;
  run.StepAt = now;
  run.Target = best->first;
  run.TargetBornMs = Node.bornOf(best->first);
  const PromotionOrder order{service, best->first, Node.Options.NodeName,
                             run.Fence};
  Log.decision(absl::StrCat("event=promotion_ordered service=", service,
                            " instance=", best->first.str(),
                            " fence=", run.Fence,
                            " term=", best->second.Received.WrittenIn.Number,
                            " position=", best->second.Received.Position.Offset,
                            " answers=", run.Answers.size()));
  const std::uint64_t number = run.Number;
  Promoter.promote(
      order, [this, service, number, id = best->first](PromotionResult result) {
        ordered(service, number, id, result);
      });
}

void Replacement::ordered(const std::string &service, std::uint64_t number,
                          const InstanceId &instance, PromotionResult result) {
  const TimePoint now = Node.Now;
  const auto it = Running.find(service);
  if (it == Running.end() || it->second.Number != number)
    return;
  Log.decision(absl::StrCat("event=promotion_answered service=", service,
                            " instance=", instance.str(),
                            " fence=", it->second.Fence,
                            " result=", static_cast<int>(result)));
  // NOTE: an order without an answer may still be carried out, so entry VMs
  // receive it too; they rely on the role that the instance itself reports.
  if (result == PromotionResult::Rejected)
    return finish(now, service);
  wire::Command command;
  auto &promotion = *command.mutable_record_promotion();
  promotion.set_service(service);
  promotion.set_instance(instance.str());
  promotion.set_fence(it->second.Fence);
  promotion.set_born_ms(it->second.TargetBornMs);
  it->second.Step = Stage::Recording;
  Node.startCall(now, std::move(command), false,
                 [this, service](bool) { finish(Node.Now, service); });
}

void Replacement::instanceRestarted(TimePoint now,
                                    const InstanceRecord &instance) {
  const auto it = Running.find(instance.Service);
  if (it == Running.end())
    return;
  it->second.Answers.erase(instance.Id);
  if (it->second.Target != instance.Id)
    return;
  Log.decision(absl::StrCat("event=promotion_void service=", instance.Service,
                            " instance=", instance.Id.str(),
                            " fence=", it->second.Fence,
                            " reason=\"it has started again\""));
  // NOTE: not finish(), which holds off the next replacement: there was none,
  // and the next order, under a higher fence, must supersede this one.
  end(now, instance.Service);
}

void Replacement::finish(TimePoint now, const std::string &service) {
  // NOTE: resuming a replica that was promoted or never paused has no effect.
  if (Node.syncReplicasOf(service) > 0)
    resumeReplicas(service);
  Node.Watch.noteReplaced(now, service);
  end(now, service);
}

void Replacement::end(TimePoint now, const std::string &service) {
  Running.erase(service);
  FinishedAt[service] = now;
}

} // namespace stepledge::control
