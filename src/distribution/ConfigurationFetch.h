// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Fetches configurations on an entry VM: one fetch at a time, with one
/// part in flight.

#ifndef STEPLEDGE_DISTRIBUTION_CONFIGURATIONFETCH_H
#define STEPLEDGE_DISTRIBUTION_CONFIGURATIONFETCH_H

#include "base/types/Time.h"
#include "distribution/types/ConfigurationDelta.h"
#include "peer/IPeerSender.h"

#include <cstdint>
#include <optional>
#include <set>
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
};

class ConfigurationFetch {
public:
  /// A fetch that is behind MinBytesPerSecond by more than this starts again at
  /// another control VM if one is announced, and by more than twice this at the
  /// same one; it is some sixty times the transfer time of a part on a link of
  /// 2 Mbit/s. The limit doubles with each such restart, so that repeats can't
  /// fill a link that is slower than MinBytesPerSecond; but it stays the first
  /// one for a control VM that wasn't tried yet.
  static constexpr Duration InitialTimeout = milliseconds(1000);
  static constexpr Duration MaxTimeout = milliseconds(8000);
  /// Bytes per second: a quarter of a link of 2 Mbit/s. Without it, in a
  /// simulation, a control VM that sent a part of 4 KB each 0.9 s was kept for
  /// 11.7 s, while another one could have sent all 13 parts within 0.3 s.
  static constexpr std::int64_t MinBytesPerSecond = 64 << 10;

  explicit ConfigurationFetch(peer::IPeerSender &peers) : Peers(peers) {}

  /// Requests the delta from version \p held at the control VM at \p ip. False
  /// if a fetch that isn't too far behind is in progress, or the delay after a
  /// rejected delta isn't over.
  bool start(TimePoint now, const std::string &ip, std::uint64_t held);
  PartResult take(const std::string &ip,
                  const peer::wire::ConfigurationPart &part);
  /// The delta of the last take() that returned Complete.
  const ConfigurationDelta &delta() const { return Delta; }
  /// The delta was applied.
  void accept() {
    Timeout = InitialTimeout;
    Abandoned.clear();
  }
  /// The delta could not be applied: the next fetch waits for Timeout, and
  /// twice as long after each further rejection. Without this delay, 240
  /// fetches went over the link in 10 s when six control VMs announced their
  /// versions each 250 ms, in a simulation.
  void reject(TimePoint now);
  /// What is in progress, for a log line.
  std::string describe(TimePoint now) const;
  /// The connection to \p ip was lost, which ends a fetch from there.
  void connectionLost(const std::string &ip);

private:
  void ask();
  void finish() { Ip.clear(); }
  void doubleTimeout();
  /// How far the fetch in progress may be behind before \p ip is asked instead.
  Duration limitFor(const std::string &ip) const;
  /// Time by which the fetch is behind MinBytesPerSecond.
  Duration lagBehindMinRate(TimePoint now) const;

  peer::IPeerSender &Peers;
  /// Address of the control VM of the current fetch; empty without one.
  std::string Ip;
  std::uint64_t Fetch = 0;
  std::uint64_t HeldVersion = 0;
  std::string Received;
  TimePoint StartedAt{};
  /// Earliest time of the next fetch after a rejected delta.
  TimePoint NotBefore{};
  Duration Timeout = InitialTimeout;
  /// Control VMs whose fetch fell too far behind since a delta was applied.
  std::set<std::string> Abandoned;
  ConfigurationDelta Delta;
};

} // namespace stepledge::distribution

#endif // STEPLEDGE_DISTRIBUTION_CONFIGURATIONFETCH_H
