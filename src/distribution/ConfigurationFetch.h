// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Fetches configurations on an entry VM, with one part in flight from
/// each control VM that was asked. One is asked at first, the next one when
/// those before it don't answer or are slow.

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
  /// Without a part for this time, a control VM isn't waited for: another one
  /// is asked beside it. It is some thirty times the transfer time of a part on
  /// a link of 2 Mbit/s.
  static constexpr Duration Patience = milliseconds(500);
  /// And the same one is asked again: what it answers may be long on its way.
  static constexpr Duration RepeatAfter = milliseconds(2000);
  /// A control VM that is behind MinBytesPerSecond by more than this isn't
  /// waited for either.
  static constexpr Duration LagLimit = milliseconds(1000);
  /// Bytes per second: a quarter of a link of 2 Mbit/s. Without it, in a
  /// simulation, a control VM that sent a part of 4 KB each 0.9 s was kept for
  /// 11.7 s, while another one could have sent all 13 parts within 0.3 s.
  static constexpr std::int64_t MinBytesPerSecond = 64 << 10;
  /// From a delta that couldn't be applied to the request for the whole.
  static constexpr Duration DeltaRejectedPause = milliseconds(600);
  /// From a whole configuration that couldn't be applied to the next request,
  /// and twice as long after each further one, up to the maximum: no control VM
  /// is likely to have another one.
  static constexpr Duration WholeRejectedPause = milliseconds(1000);
  static constexpr Duration MaxRejectedPause = milliseconds(8000);

  explicit ConfigurationFetch(peer::IPeerSender &peers) : Peers(peers) {}

  /// Requests the delta from version \p held at the control VM at \p ip. False
  /// if this or another one is to be waited for, or the pause after a rejected
  /// delta isn't over.
  bool start(TimePoint now, const std::string &ip, std::uint64_t held);
  PartResult take(TimePoint now, const std::string &ip,
                  const peer::wire::ConfigurationPart &part);
  /// The delta of the last take() that returned Complete.
  const ConfigurationDelta &delta() const { return Delta; }
  /// The delta was applied, which ends the fetches of it from other VMs.
  void accept();
  /// The delta could not be applied: the next fetch begins after a pause.
  /// Without it, 240 fetches went over the link in 10 s when six control VMs
  /// announced their versions each 250 ms, in a simulation.
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
