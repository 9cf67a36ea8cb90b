// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "peer/InstanceCodec.h"

#include "membership/InstanceNames.h"

namespace stepledge::peer {

using membership::InstanceRecord;
using membership::InstanceRole;
using membership::InstanceState;

wire::Instance encode(const InstanceRecord &record) {
  wire::Instance instance;
  instance.set_id(record.Id.str());
  instance.set_service(record.Service);
  instance.set_address(record.Address);
  instance.set_hall(record.Hall.str());
  instance.set_is_primary(record.Role == InstanceRole::Primary);
  instance.set_state(static_cast<std::uint32_t>(record.State));
  instance.set_slots(static_cast<std::uint32_t>(record.Slots));
  instance.set_sequence(record.Sequence);
  instance.set_born_ms(record.StartTimeMs);
  instance.set_has_restarted(record.HasRestarted);
  return instance;
}

std::optional<InstanceRecord> decode(const wire::Instance &instance) {
  constexpr auto LastState = static_cast<std::uint32_t>(InstanceState::Gone);
  const bool isNamed = membership::isValidName(instance.id()) &&
                       membership::isValidName(instance.service()) &&
                       membership::isValidName(instance.address());
  if (!isNamed || instance.state() > LastState)
    return std::nullopt;
  InstanceRecord record;
  record.Id = InstanceId(instance.id());
  record.Service = instance.service();
  record.Address = instance.address();
  record.Hall = HallId(instance.hall());
  record.Role =
      instance.is_primary() ? InstanceRole::Primary : InstanceRole::Replica;
  record.State = static_cast<InstanceState>(instance.state());
  record.Slots = static_cast<int>(instance.slots());
  record.Sequence = instance.sequence();
  record.StartTimeMs = instance.born_ms();
  record.HasRestarted = instance.has_restarted();
  return record;
}

} // namespace stepledge::peer
