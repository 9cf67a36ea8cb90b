// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "control/ClusterState.h"

#include "peer/generated/Peer.pb.h"

#include <algorithm>

namespace stepledge::control {

namespace {

/// Beyond this number, the oldest marks are dropped: no heartbeat is so late
/// that this many instances were replaced in between.
constexpr std::size_t MaxMarks = 2000;

} // namespace

void ClusterState::apply(std::uint64_t index, const wire::Command &command) {
  AppliedIndex = index;
  switch (command.body_case()) {
  case wire::Command::kPutConfiguration:
    if (command.put_configuration().version() > NewestConfiguration.version())
      NewestConfiguration = command.put_configuration();
    break;
  case wire::Command::kMarkInstance:
    applyMark(command.mark_instance());
    break;
  case wire::Command::kRecordPromotion: {
    const auto &promotion = command.record_promotion();
    LedServices.insert(promotion.service());
    auto &it = Promotions[promotion.service()];
    if (promotion.fence() <= it.fence())
      break;
    it = promotion;
    // NOTE: its report to lead may have been committed before.
    const auto kept = Instances.find(promotion.instance());
    if (kept != Instances.end())
      noteLed(kept->second);
    break;
  }
  case wire::Command::kKeepInstance:
    noteLed(command.keep_instance());
    applyKeep(command.keep_instance());
    break;
  case wire::Command::kTakeFence:
  case wire::Command::BODY_NOT_SET:
    // NOTE: the fencing token is the entry's index, so there is nothing to
    // store.
    break;
  }
}

void ClusterState::noteLed(const wire::KeepInstance &instance) {
  peer::wire::Instance record;
  // NOTE: an unreadable record is logged where it is added to the directory.
  if (!record.ParseFromString(instance.record()) || !record.is_primary())
    return;
  LedServices.insert(record.service());
  const auto it = Promotions.find(record.service());
  if (it != Promotions.end() && it->second.instance() == instance.instance() &&
      it->second.born_ms() == instance.born_ms())
    it->second.set_has_led(true);
}

void ClusterState::applyKeep(const wire::KeepInstance &instance) {
  const auto held = Instances.find(instance.instance());
  // NOTE: the proposer had not yet received a heartbeat of the later
  // incarnation.
  if (held != Instances.end() && held->second.born_ms() > instance.born_ms())
    return;
  const bool isGone =
      lifecycleOf(instance.instance(), instance.born_ms()) == wire::GONE;
  if (instance.record().empty() || isGone)
    Instances.erase(instance.instance());
  else
    Instances[instance.instance()] = instance;
}

void ClusterState::applyMark(const wire::MarkInstance &mark) {
  const auto [it, isNew] = Marks.try_emplace(mark.instance(), mark);
  auto &held = it->second;
  if (mark.born_ms() < held.born_ms())
    return;
  const bool isLaterIncarnation = mark.born_ms() > held.born_ms();
  if (isLaterIncarnation || mark.state() > held.state())
    held = mark;
  const auto kept = Instances.find(mark.instance());
  if (held.state() == wire::GONE && kept != Instances.end() &&
      kept->second.born_ms() <= held.born_ms())
    Instances.erase(kept);
  if (!isNew)
    return;
  MarkOrder.push_back(mark.instance());
  if (MarkOrder.size() <= MaxMarks)
    return;
  Marks.erase(MarkOrder.front());
  MarkOrder.pop_front();
}

wire::Lifecycle ClusterState::lifecycleOf(const std::string &instance,
                                          std::uint64_t startTimeMs) const {
  const auto it = Marks.find(instance);
  const bool isMarked =
      it != Marks.end() && it->second.born_ms() >= startTimeMs;
  return isMarked ? it->second.state() : wire::READY;
}

std::string ClusterState::serialize() const {
  wire::State state;
  state.set_index(AppliedIndex);
  *state.mutable_configuration() = NewestConfiguration;
  for (const auto &it : MarkOrder)
    *state.add_marks() = Marks.at(it);
  for (const auto &[service, it] : Promotions)
    *state.add_promotions() = it;
  for (const auto &[instance, it] : Instances)
    *state.add_instances() = it;
  for (const auto &it : LedServices)
    state.add_led_services(it);
  return state.SerializeAsString();
}

bool ClusterState::restore(const std::string &bytes) {
  wire::State state;
  if (!state.ParseFromString(bytes))
    return false;
  *this = ClusterState();
  AppliedIndex = state.index();
  NewestConfiguration = state.configuration();
  for (const auto &it : state.marks())
    applyMark(it);
  LedServices.insert(state.led_services().begin(), state.led_services().end());
  for (const auto &it : state.promotions()) {
    Promotions[it.service()] = it;
    LedServices.insert(it.service());
  }
  for (const auto &it : state.instances()) {
    Instances[it.instance()] = it;
    noteLed(it);
  }
  return true;
}

} // namespace stepledge::control
