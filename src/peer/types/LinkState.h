// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file What is known of a connection to another VM.

#ifndef STEPLEDGE_PEER_TYPES_LINKSTATE_H
#define STEPLEDGE_PEER_TYPES_LINKSTATE_H

#include "base/NameTable.h"
#include "base/types/Time.h"

namespace stepledge::peer {

/// Which side has opened a connection.
enum class LinkSide {
  Own,
  Other,
};

constexpr auto LinkSideNames = std::to_array<NameEntry<LinkSide>>({
    {LinkSide::Own, "own"},
    {LinkSide::Other, "other"},
});

struct LinkState {
  LinkSide Side = LinkSide::Own;
  /// Since the last byte came, or since it was opened.
  Duration SilentFor{};
  /// This VM's messages to the other one leave on it.
  bool CarriesMessages = false;
};

} // namespace stepledge::peer

#endif // STEPLEDGE_PEER_TYPES_LINKSTATE_H
