// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The part of FailoverCoordinator that decides whether a service needs
/// an attempt now.

#include "control/internal/FailoverCoordinator.h"

#include "control/ControlNode.h"

#include <algorithm>

namespace stepledge::control {

using membership::InstanceRecord;
using membership::InstanceRole;
using membership::InstanceState;

namespace {

/// A promoted instance reports its new role in its heartbeats by then.
constexpr Duration PromotionTimeout = milliseconds(2500);
/// The pause before the next attempt for a service: an instance that was full
/// may have a free slot by then.
constexpr Duration AttemptPause = milliseconds(150);
/// The same where nothing but a confirmation is sought, which costs a log entry
/// each time.
constexpr Duration ConfirmPause = milliseconds(1500);
/// A service of which no primary is known gets one only after this time: after
/// a start, a primary that leads may not have been heard yet. Two heartbeat
/// intervals, and some slack.
constexpr Duration VacancyPatience = milliseconds(3000);
/// An order that was answered is carried out within this time: some hundred ms.
constexpr Duration OrderExecutionTime = milliseconds(1500);
/// While orders get no answer, a leaving primary whose commits wait for
/// replicas is not replaced for this long: entry VMs use it not much longer.
constexpr Duration LeavingServiceTime = milliseconds(5000);
/// An order without an answer tells this long that the next gets none either.
constexpr Duration PlatformSilence = milliseconds(10000);

} // namespace

bool FailoverCoordinator::isPromoted(const InstanceRecord &record) const {
  const auto it = Node.State.promotions().find(record.Service);
  return it != Node.State.promotions().end() &&
         it->second.instance() == record.Id.str() &&
         it->second.born_ms() == record.StartTimeMs;
}

LeadFacts FailoverCoordinator::factsOf(TimePoint now,
                                       const std::string &service) const {
  LeadFacts facts;
  facts.Instances = Node.Directory.ofService(service);
  for (const auto *it : facts.Instances)
    if (it->State != InstanceState::Gone && isPromoted(*it))
      facts.Promoted = it;
  const auto orderedAt = PromotionOrderedAt.find(service);
  facts.IsOrderRecent = orderedAt != PromotionOrderedAt.end() &&
                        now - orderedAt->second < PromotionTimeout;
  facts.IsLost = Node.Detector.isLost(now, service);
  facts.HasLed = Node.State.hasLed(service);
  facts.MissesPings = [this](const InstanceRecord &it) {
    return Node.PingMissedSince.contains(it.Id);
  };
  return facts;
}

bool FailoverCoordinator::isBelievedPrimary(
    TimePoint now, const InstanceRecord &instance) const {
  return assessLead(factsOf(now, instance.Service)).Primary == &instance;
}

bool FailoverCoordinator::hasOthers(const std::string &service,
                                    const InstanceRecord *primary) const {
  const auto all = Node.Directory.ofService(service);
  return std::any_of(all.begin(), all.end(), [&](const auto *it) {
    return it != primary && it->State != InstanceState::Gone;
  });
}

void FailoverCoordinator::noteState(TimePoint now, const std::string &service,
                                    const ServiceLead &lead) {
  const auto note = [&](auto &since, bool holds) {
    if (holds)
      since.try_emplace(service, now);
    else
      since.erase(service);
  };
  note(VacantSince,
       lead.State == LeadState::Vacant && !Demoted.contains(service));
  note(LeavingSince, lead.State == LeadState::Leaving);
  const bool isLed = lead.State == LeadState::Leading &&
                     lead.Primary->Role == InstanceRole::Primary;
  if (isLed)
    Demoted.erase(service);
  // NOTE: a lost one counts as leading again for a while after each attempt.
  if (isLed && !Node.PingMissedSince.contains(lead.Primary->Id))
    HeldBackSince.erase(service);
}

bool FailoverCoordinator::mustWait(TimePoint now, const std::string &service,
                                   const ServiceLead &lead) const {
  // NOTE: an instance that leads only after the others were asked would
  // acknowledge commits that the next one lacks.
  const auto orderedAt = PromotionOrderedAt.find(service);
  if (orderedAt != PromotionOrderedAt.end() &&
      now - orderedAt->second < OrderExecutionTime)
    return true;
  if (lead.State != LeadState::Leaving)
    return false;
  // NOTE: entry VMs may still reach one that doesn't answer this VM. It ends
  // soon, and says so, or all miss it.
  const bool isUnreached = Node.PingMissedSince.contains(lead.Primary->Id) &&
                           !Node.Detector.isLost(now, service);
  // NOTE: a primary that is demoted leads no more, also where no order comes
  // through. It serves on while it may.
  return isUnreached ||
         (isPlatformSilent(now) && isLeavingForLess(now, service));
}

bool FailoverCoordinator::isPlatformSilent(TimePoint now) const {
  return PlatformSilentAt && now - *PlatformSilentAt < PlatformSilence;
}

bool FailoverCoordinator::isLeavingForLess(TimePoint now,
                                           const std::string &service) const {
  const auto since = LeavingSince.find(service);
  return since != LeavingSince.end() &&
         now - since->second < LeavingServiceTime;
}

bool FailoverCoordinator::isDue(TimePoint now, const std::string &service,
                                const ServiceLead &lead) const {
  const LeadState state = lead.State;
  const bool isAsked = mustAsk(state) && !Resumer.isPending(service);
  if (!isAsked || !hasOthers(service, lead.Primary))
    return false;
  const auto vacantSince = VacantSince.find(service);
  if (vacantSince != VacantSince.end() &&
      now - vacantSince->second < VacancyPatience)
    return false;
  if (Node.syncReplicasOf(service) > 0 && mustWait(now, service, lead))
    return false;
  const auto finishedAt = FinishedAt.find(service);
  if (finishedAt == FinishedAt.end())
    return true;
  return now - finishedAt->second >=
         (mayPromote(state) ? AttemptPause : ConfirmPause);
}

} // namespace stepledge::control
