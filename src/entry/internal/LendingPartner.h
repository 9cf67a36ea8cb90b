// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file When the VM at the other end of an open use was last heard and told.

#ifndef STEPLEDGE_ENTRY_INTERNAL_LENDINGPARTNER_H
#define STEPLEDGE_ENTRY_INTERNAL_LENDINGPARTNER_H

#include "base/types/Time.h"
#include "peer/generated/Peer.pb.h"

namespace stepledge::entry {

struct LendingPartner {
  TimePoint HeardAt{};
  TimePoint ToldAt{};
  /// Whether it must hear each \p interval that this VM is there, and hasn't.
  bool mustBeTold(TimePoint now, Duration interval) const {
    return now - ToldAt >= interval;
  }
};

/// Says that this VM is there.
inline peer::wire::Message stillHere() {
  peer::wire::Message message;
  message.mutable_still_here();
  return message;
}

} // namespace stepledge::entry

#endif // STEPLEDGE_ENTRY_INTERNAL_LENDINGPARTNER_H
