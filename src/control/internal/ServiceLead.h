// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What the leader of the control group believes of a service's primary,
/// and which of these beliefs it has to check. docs/design/who-leads.md has the
/// table of the states and of what ends each of them.

#ifndef STEPLEDGE_CONTROL_INTERNAL_SERVICELEAD_H
#define STEPLEDGE_CONTROL_INTERNAL_SERVICELEAD_H

#include "base/NameTable.h"
#include "membership/InstanceDirectory.h"

#include <array>
#include <functional>

namespace stepledge::control {

using membership::InstanceList;

enum class LeadState {
  /// No instance reports to be the primary, and none ever has.
  Unknown,
  /// One instance counts as the primary, and nothing contradicts it.
  Leading,
  /// It was promoted, doesn't report so, and no other instance does.
  Unconfirmed,
  /// Another instance reports to be the primary too, and the one that counts as
  /// the primary is not recorded, or misses pings.
  Contested,
  /// Enough VMs get no answers from the primary that they know.
  Lost,
  /// It reports that it leaves.
  Leaving,
  /// It has restarted without its data, while another instance has not.
  LostData,
  /// An instance has led, and has left without a successor.
  Left,
  /// An instance has led, and none is known to lead now.
  Vacant,
};

/// For logs.
inline constexpr std::array<NameEntry<LeadState>, 9> LeadStateNames{
    {{LeadState::Unknown, "unknown"},
     {LeadState::Leading, "leading"},
     {LeadState::Unconfirmed, "unconfirmed"},
     {LeadState::Contested, "contested"},
     {LeadState::Lost, "lost"},
     {LeadState::Leaving, "leaving"},
     {LeadState::LostData, "lost-data"},
     {LeadState::Left, "left"},
     {LeadState::Vacant, "vacant"}}};

/// What one service's lead is judged by.
struct LeadFacts {
  /// All known instances of the service.
  InstanceList Instances;
  /// The one that the newest recorded promotion names, in the incarnation that
  /// was promoted; null if it isn't known.
  const membership::InstanceRecord *Promoted = nullptr;
  /// An order to promote it may be under way.
  bool IsOrderRecent = false;
  /// Enough VMs get no answers from the primary that they know.
  bool IsLost = false;
  /// The service has had a primary.
  bool HasLed = false;
  std::function<bool(const membership::InstanceRecord &)> MissesPings;
};

struct ServiceLead {
  LeadState State = LeadState::Unknown;
  /// The instance that counts as the primary; null if there is none.
  const membership::InstanceRecord *Primary = nullptr;
};

/// Whether \p record reports to be the primary but has lost its data, while
/// another one of \p instances has not.
bool hasLostData(const membership::InstanceRecord &record,
                 const LeadFacts &facts);

/// Whether the instance has left, and led until then.
bool hasLeftAsPrimary(const membership::InstanceRecord &record);

ServiceLead assessLead(const LeadFacts &facts);

/// Whether the instances must be asked who leads.
bool mustAsk(LeadState state);
/// Whether a replica may be promoted if no primary answers.
bool mayPromote(LeadState state);
/// Whether a replica may be promoted although the primary answers.
bool isPlanned(LeadState state);

} // namespace stepledge::control

#endif // STEPLEDGE_CONTROL_INTERNAL_SERVICELEAD_H
