// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "control/internal/ServiceLead.h"

#include <algorithm>
#include <tuple>

namespace stepledge::control {

using membership::InstanceRecord;
using membership::InstanceRole;
using membership::InstanceState;

namespace {

bool claimsLead(const InstanceRecord &record) {
  return record.Role == InstanceRole::Primary &&
         record.State != InstanceState::Gone;
}

/// The instance that counts as the primary.
const InstanceRecord *believedPrimary(const LeadFacts &facts) {
  // NOTE: an order without an answer may never be carried out; then the
  // instance still reports to be a replica, and doesn't count.
  if (facts.Promoted && (facts.IsOrderRecent || claimsLead(*facts.Promoted)))
    return facts.Promoted;
  // A primary that was replaced or has lost its data may still report to be the
  // primary.
  const auto rankOf = [&](const InstanceRecord &it) {
    return std::tuple(it.HasRestarted, it.State, facts.MissesPings(it));
  };
  const InstanceRecord *best = nullptr;
  for (const auto *it : facts.Instances)
    if (claimsLead(*it) && (!best || rankOf(*it) < rankOf(*best)))
      best = it;
  return best ? best : facts.Promoted;
}

/// Another instance reports to be the primary, and could be.
bool hasRival(const InstanceRecord &primary, const LeadFacts &facts) {
  const auto &all = facts.Instances;
  return std::any_of(all.begin(), all.end(), [&](const auto *it) {
    return it != &primary && claimsLead(*it) &&
           it->State == InstanceState::Ready && !hasLostData(*it, facts) &&
           !facts.MissesPings(*it);
  });
}

bool isContested(const InstanceRecord &primary, const LeadFacts &facts) {
  if (&primary != facts.Promoted)
    return hasRival(primary, facts);
  return !facts.IsOrderRecent && facts.MissesPings(primary) &&
         hasRival(primary, facts);
}

LeadState stateWithoutPrimary(const LeadFacts &facts) {
  const auto &all = facts.Instances;
  const bool hasLeft = std::any_of(all.begin(), all.end(), [](const auto *it) {
    return hasLeftAsPrimary(*it);
  });
  if (hasLeft)
    return LeadState::Left;
  return facts.HasLed ? LeadState::Vacant : LeadState::Unknown;
}

} // namespace

bool hasLeftAsPrimary(const InstanceRecord &record) {
  return record.Role == InstanceRole::Primary &&
         record.State == InstanceState::Gone;
}

bool hasLostData(const InstanceRecord &record, const LeadFacts &facts) {
  if (!record.HasRestarted || &record == facts.Promoted)
    return false;
  const auto &all = facts.Instances;
  return std::any_of(all.begin(), all.end(), [](const auto *it) {
    return it->State == InstanceState::Ready && !it->HasRestarted;
  });
}

ServiceLead assessLead(const LeadFacts &facts) {
  const auto *primary = believedPrimary(facts);
  if (!primary)
    return {stateWithoutPrimary(facts), nullptr};
  if (primary->State == InstanceState::Leaving)
    return {LeadState::Leaving, primary};
  if (hasLostData(*primary, facts))
    return {LeadState::LostData, primary};
  if (facts.IsLost)
    return {LeadState::Lost, primary};
  if (isContested(*primary, facts))
    return {LeadState::Contested, primary};
  const bool isConfirmed = facts.IsOrderRecent || claimsLead(*primary);
  return {isConfirmed ? LeadState::Leading : LeadState::Unconfirmed, primary};
}

bool mustAsk(LeadState state) {
  return state != LeadState::Unknown && state != LeadState::Leading;
}

bool mayPromote(LeadState state) {
  return isPlanned(state) || state == LeadState::Lost ||
         state == LeadState::Left || state == LeadState::Vacant;
}

bool isPlanned(LeadState state) {
  return state == LeadState::Leaving || state == LeadState::LostData;
}

} // namespace stepledge::control
