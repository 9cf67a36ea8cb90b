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

  /// What the other side says by itself doesn't show that it hears this side;
  /// an answer to a ping does, and one is asked for so often.
  static constexpr Duration ProofInterval = milliseconds(3000);
  /// A pong may wait behind some hundred KB on a link of 2 Mbit/s.
  static constexpr Duration ProofLimit = milliseconds(5000);

  /// \p pingsWhenIdle: a dead connection is found before it is needed.
  LinkWatch(TimePoint now, bool pingsWhenIdle)
      : HeardAt(now), DecidedAt(now), ProvenAt(now),
        PingsWhenIdle(pingsWhenIdle) {}

  void heard(TimePoint now) {
    HeardAt = now;
    UnansweredSince.reset();
  }
  void sent(TimePoint now) {
    if (!UnansweredSince)
      UnansweredSince = now;
  }
  void answered(TimePoint now) {
    ProvenAt = now;
    ProofAskedAt.reset();
  }
  Duration silentFor(TimePoint now) const { return now - HeardAt; }

  LinkAction decide(TimePoint now) {
    const Duration passed = now - std::exchange(DecidedAt, now);
    if (passed > PauseLimit)
      forgive(now, passed);
    if (isOver(UnansweredSince, now, SilenceLimit) ||
        isOver(ProofAskedAt, now, ProofLimit))
      return LinkAction::Close;
    if (PingsWhenIdle && !ProofAskedAt && now - ProvenAt >= ProofInterval) {
      ProofAskedAt = now;
      return ping(now);
    }
    if (!UnansweredSince)
      return PingsWhenIdle && silentFor(now) >= IdlePingInterval
                 ? ping(now)
                 : LinkAction::None;
    const bool isPingDue = now - *UnansweredSince >= PingInterval &&
                           now - PingedAt >= PingInterval;
    return isPingDue ? ping(now) : LinkAction::None;
  }

private:
  static bool isOver(const std::optional<TimePoint> &since, TimePoint now,
                     Duration limit) {
    return since && now - *since >= limit;
  }
  /// Time in which this side was paused doesn't count.
  void forgive(TimePoint now, Duration paused) {
    for (auto *it : {&UnansweredSince, &ProofAskedAt})
      if (*it)
        **it = std::min(now, **it + paused);
  }
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
  /// The last answer to a ping, or the link's beginning.
  TimePoint ProvenAt;
  /// The first ping since then that was sent for it.
  std::optional<TimePoint> ProofAskedAt;
  bool PingsWhenIdle;
};

} // namespace stepledge::peer

#endif // STEPLEDGE_PEER_INTERNAL_LINKWATCH_H
