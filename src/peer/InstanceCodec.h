// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Instance records as messages between VMs.

#ifndef STEPLEDGE_PEER_INSTANCECODEC_H
#define STEPLEDGE_PEER_INSTANCECODEC_H

#include "membership/types/InstanceRecord.h"
#include "peer/generated/Peer.pb.h"

#include <optional>

namespace stepledge::peer {

wire::Instance encode(const membership::InstanceRecord &record);
/// Nothing where the message names no instance that could be used: its id,
/// service or address is no name, or this program doesn't know its state.
std::optional<membership::InstanceRecord>
decode(const wire::Instance &instance);

} // namespace stepledge::peer

#endif // STEPLEDGE_PEER_INSTANCECODEC_H
