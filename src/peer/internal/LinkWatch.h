// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Tells when to ping the other side of a connection, and when to take
/// the connection for dead.
///
/// A connection can fall silent without an end that the system tells of: the
/// other side has closed it behind a partition, and its reset was lost.

#ifndef STEPLEDGE_PEER_INTERNAL_LINKWATCH_H
#define STEPLEDGE_PEER_INTERNAL_LINKWATCH_H

#include "base/types/Time.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace stepledge::peer {

enum class LinkAction {
  None,
  Ping,
  Close,
};

class LinkWatch {
public:
  /// What was sent is to be answered, if only by a pong, within this time: as
  /// long as the system waits for acknowledgements.
  static constexpr Duration SilenceLimit = milliseconds(2000);
  /// Lets ordinary replies come first.
  static constexpr Duration PingInterval = milliseconds(500);
  static constexpr Duration IdlePingInterval = milliseconds(1000);
  /// A VM that hasn't looked for longer was paused, and hasn't read either.
  static constexpr Duration PauseLimit = milliseconds(500);

  /// \p pingsWhenIdle: a dead connection is found before it is needed.
  LinkWatch(TimePoint now, bool pingsWhenIdle)
      : HeardAt(now), DecidedAt(now), PingsWhenIdle(pingsWhenIdle) {}

  void heard(TimePoint now) {
    HeardAt = now;
    UnansweredSince.reset();
  }
  void sent(TimePoint now) {
    if (!UnansweredSince)
      UnansweredSince = now;
  }
  Duration silentFor(TimePoint now) const { return now - HeardAt; }

  LinkAction decide(TimePoint now) {
    const Duration passed = now - std::exchange(DecidedAt, now);
    if (UnansweredSince && passed > PauseLimit)
      *UnansweredSince = std::min(now, *UnansweredSince + passed);
    if (!UnansweredSince)
      return PingsWhenIdle && silentFor(now) >= IdlePingInterval
                 ? ping(now)
                 : LinkAction::None;
    const Duration unanswered = now - *UnansweredSince;
    if (unanswered >= SilenceLimit)
      return LinkAction::Close;
    const bool isPingDue =
        unanswered >= PingInterval && now - PingedAt >= PingInterval;
    return isPingDue ? ping(now) : LinkAction::None;
  }

private:
  LinkAction ping(TimePoint now) {
    PingedAt = now;
    sent(now);
    return LinkAction::Ping;
  }

  TimePoint HeardAt;
  TimePoint DecidedAt;
  TimePoint PingedAt{};
  /// The first send since something was heard.
  std::optional<TimePoint> UnansweredSince;
  bool PingsWhenIdle;
};

} // namespace stepledge::peer

#endif // STEPLEDGE_PEER_INTERNAL_LINKWATCH_H
