// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Fetches configurations on an entry VM, with one part in flight from
/// each control VM. A fetch from the next control VM starts when those in
/// progress are stalled.

#ifndef STEPLEDGE_DISTRIBUTION_CONFIGURATIONFETCH_H
#define STEPLEDGE_DISTRIBUTION_CONFIGURATIONFETCH_H

#include "base/types/Time.h"
#include "distribution/types/ConfigurationDelta.h"
#include "peer/IPeerSender.h"

#include <cstdint>
#include <map>
#include <string>

namespace stepledge::distribution {

/// Result of a received part.
enum class PartResult {
  /// The part isn't the next one of the current fetch.
  Unexpected,
  /// More parts are expected.
  Taken,
  /// The delta is complete and was decoded.
  Complete,
  /// The delta is complete and can't be decoded.
  Unreadable,
  /// The control VM has nothing to send for this fetch.
  Nothing,
};

class ConfigurationFetch {
public:
  /// A fetch without a part for this time is stalled: the next control VM is
  /// asked as well. A part of 4 KB takes 16 ms on a link of 2 Mbit/s.
  static constexpr Duration StallTimeout = milliseconds(500);
  /// A stalled fetch is started again at the same control VM after this time
  /// without a part: its answer may still be in a full link.
  static constexpr Duration RetryInterval = milliseconds(2000);
  /// A fetch that is behind MinBytesPerSecond by more than this is stalled,
  /// too.
  static constexpr Duration LagLimit = milliseconds(1000);
  /// Bytes per second: a quarter of a link of 2 Mbit/s, so that a slow control
  /// VM doesn't delay what a faster one could send.
  static constexpr std::int64_t MinBytesPerSecond = 64 << 10;
  /// From a delta that couldn't be applied to the request for the whole: more
  /// than two announcements of each control VM, which would each start a fetch.
  static constexpr Duration DeltaRejectedPause = milliseconds(600);
  /// From a whole configuration that couldn't be applied to the next request,
  /// and twice as long after each further one, up to the maximum: other control
  /// VMs would send the same.
  static constexpr Duration WholeRejectedPause = milliseconds(1000);
  static constexpr Duration MaxRejectedPause = milliseconds(8000);

  explicit ConfigurationFetch(peer::IPeerSender &peers) : Peers(peers) {}

  /// Requests the delta from version \p held at the control VM at \p ip. False
  /// if a fetch is in progress that isn't stalled, or one from \p ip isn't to
  /// be retried yet, or the pause after a rejected delta isn't over.
  bool start(TimePoint now, const std::string &ip, std::uint64_t held);
  PartResult take(TimePoint now, const std::string &ip,
                  const peer::wire::ConfigurationPart &part);
  /// The delta of the last take() that returned Complete.
  const ConfigurationDelta &delta() const { return Delta; }
  /// The delta was applied, which ends the fetches of it from other VMs.
  void accept();
  /// The delta could not be applied: the next fetch begins after a pause, not
  /// with the next announcement, or fetches would fill the link.
  void reject(TimePoint now);
  /// What is in progress, for a log line.
  std::string describe(TimePoint now) const;
  /// The connection to \p ip was lost, which ends a fetch from there.
  void connectionLost(const std::string &ip) { Attempts.erase(ip); }

private:
  struct Attempt {
    std::uint64_t Number = 0;
    std::uint64_t HeldVersion = 0;
    std::string Received;
    TimePoint StartedAt{};
    /// When the last part came, or the fetch began.
    TimePoint ProgressAt{};

    bool isStalled(TimePoint now) const;
  };

  void ask(const std::string &ip, const Attempt &attempt);
  PartResult complete(const std::string &ip);

  peer::IPeerSender &Peers;
  /// The fetches in progress, by control VM.
  std::map<std::string, Attempt> Attempts;
  std::uint64_t LastNumber = 0;
  /// Earliest time of the next fetch after a rejected delta.
  TimePoint NotBefore{};
  Duration NextWholePause = WholeRejectedPause;
  /// The version that the last complete delta was requested from.
  std::uint64_t CompletedFrom = 0;
  ConfigurationDelta Delta;
};

} // namespace stepledge::distribution

#endif // STEPLEDGE_DISTRIBUTION_CONFIGURATIONFETCH_H
