// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "control/internal/ReplicaResumer.h"

#include <utility>
#include <vector>

namespace stepledge::control {

using membership::InstanceRecord;
using membership::InstanceRole;
using membership::InstanceState;

namespace {

/// Time in which an order may still be carried out.
constexpr Duration OpenOrderTime = milliseconds(5000);
constexpr Duration ConfirmInterval = milliseconds(100);
/// Instances drop a connection whose far end is gone within this time, and what
/// waits on it.
constexpr Duration GivenUpRequestTime = milliseconds(3000);

} // namespace

void ReplicaResumer::holdForOrder(TimePoint now, const std::string &service,
                                  const std::optional<InstanceId> &target) {
  OpenOrders[service] = {target, now, now + OpenOrderTime, false};
}

void ReplicaResumer::resume(const std::string &service) {
  if (OpenOrders.contains(service))
    return;
  std::vector<const InstanceRecord *> replicas;
  for (const auto *it : Directory.ofService(service))
    if (it->State != InstanceState::Gone && it->Role == InstanceRole::Replica)
      replicas.push_back(it);
  if (!replicas.empty())
    Pending[service].Unanswered += static_cast<int>(replicas.size());
  for (const auto *it : replicas)
    Probe.resume(*it, [this, service](bool isAnswered) {
      auto &pending = Pending[service];
      --pending.Unanswered;
      pending.IsGivenUp |= !isAnswered;
    });
}

void ReplicaResumer::removeDone(TimePoint now) {
  for (auto &[service, it] : Pending)
    if (std::exchange(it.IsGivenUp, false))
      it.Until = now + GivenUpRequestTime;
  std::erase_if(Pending, [&](const auto &it) {
    return it.second.Unanswered == 0 && now >= it.second.Until;
  });
}

void ReplicaResumer::tick(
    TimePoint now, const std::function<bool(const std::string &)> &isBusy) {
  removeDone(now);
  std::vector<std::string> closed;
  for (auto &[service, it] : OpenOrders) {
    if (isBusy(service))
      continue;
    if (it.IsCarriedOut || now >= it.Until)
      closed.push_back(service);
    else if (it.Target && now >= it.AskAt)
      confirm(now, service, it);
  }
  for (const auto &it : closed) {
    OpenOrders.erase(it);
    resume(it);
  }
}

void ReplicaResumer::confirm(TimePoint now, const std::string &service,
                             OpenOrder &order) {
  order.AskAt = now + ConfirmInterval;
  const auto *record = Directory.find(*order.Target);
  if (!record)
    return;
  Probe.askStatus(*record, [this, service, target = *order.Target](
                               std::optional<InstanceStatus> status) {
    const auto it = OpenOrders.find(service);
    if (it != OpenOrders.end() && it->second.Target == target)
      it->second.IsCarriedOut |=
          status && status->Role == InstanceRole::Primary;
  });
}

} // namespace stepledge::control
