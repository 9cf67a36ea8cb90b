// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Why a connection to another VM has ended.

#ifndef STEPLEDGE_PEER_TYPES_LINKEND_H
#define STEPLEDGE_PEER_TYPES_LINKEND_H

#include "base/NameTable.h"

namespace stepledge::peer {

enum class LinkEnd {
  /// The other side closed it.
  Closed,
  Reset,
  /// Bytes weren't acknowledged in time.
  Unacknowledged,
  /// Another error of the socket.
  Failed,
  /// Nothing was heard on it for too long.
  Silent,
  /// The other side reads more slowly than it is written to.
  NotRead,
  /// Bytes that are no message.
  Unreadable,
  /// The other VM opened a newer one.
  Replaced,
  /// No longer wanted on this side.
  Dropped,
};

constexpr auto LinkEndNames = std::to_array<NameEntry<LinkEnd>>({
    {LinkEnd::Closed, "closed"},
    {LinkEnd::Reset, "reset"},
    {LinkEnd::Unacknowledged, "unacknowledged"},
    {LinkEnd::Failed, "failed"},
    {LinkEnd::Silent, "silent"},
    {LinkEnd::NotRead, "not_read"},
    {LinkEnd::Unreadable, "unreadable"},
    {LinkEnd::Replaced, "replaced"},
    {LinkEnd::Dropped, "dropped"},
});

} // namespace stepledge::peer

#endif // STEPLEDGE_PEER_TYPES_LINKEND_H
