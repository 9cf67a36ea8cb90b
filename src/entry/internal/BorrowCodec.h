// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What borrowers and lenders of connections say to each other, as
/// messages between VMs.

#ifndef STEPLEDGE_ENTRY_INTERNAL_BORROWCODEC_H
#define STEPLEDGE_ENTRY_INTERNAL_BORROWCODEC_H

#include "peer/generated/Peer.pb.h"
#include "proxy/IBorrowerIo.h"

namespace stepledge::entry {

void encodeCommand(const proxy::InstanceCommand &command,
                   peer::wire::BorrowedCommand &out);
void encodeNeeds(TimePoint now, const proxy::BorrowNeeds &needs,
                 peer::wire::BorrowCall &out);
/// \p now is that of this VM: clocks of different VMs are never compared.
proxy::BorrowRequest decodeCall(TimePoint now,
                                const peer::wire::BorrowCall &call);

void encodeReply(const proxy::StatementReply &reply,
                 peer::wire::BorrowedReply &out);
proxy::StatementReply decodeReply(const peer::wire::BorrowedReply &reply);

} // namespace stepledge::entry

#endif // STEPLEDGE_ENTRY_INTERNAL_BORROWCODEC_H
