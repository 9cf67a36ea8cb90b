// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file An entry VM's side of getting configurations: one fetch at a time, one
/// part of it on its way.

#ifndef STEPLEDGE_DISTRIBUTION_CONFIGURATIONFETCH_H
#define STEPLEDGE_DISTRIBUTION_CONFIGURATIONFETCH_H

#include "base/types/Time.h"
#include "distribution/types/ConfigurationChange.h"
#include "peer/IPeerSender.h"

#include <cstdint>
#include <optional>
#include <string>

namespace stepledge::distribution {

/// How a part was taken.
enum class PartResult {
  /// Of a fetch that was given up.
  Unexpected,
  /// More is to come.
  Taken,
  /// The whole change is there, and could be read.
  Complete,
  /// The whole is there, and can't be read.
  Unreadable,
};

class ConfigurationFetch {
public:
  /// A fetch that is behind SlowestPace by more than this begins anew, at
  /// another control VM if one speaks: some sixty times what a part takes on a
  /// link of 2 Mbit/s. Each one that begins anew may be twice as far behind, so
  /// that repeats can't fill a link that is slower than the pace.
  static constexpr Duration FirstPatience = milliseconds(1000);
  static constexpr Duration LongestPatience = milliseconds(8000);
  /// Bytes a second: a quarter of a link of 2 Mbit/s. A control VM that sent a
  /// part of 4 KB each 0.9 s was kept for 11.7 s while another could have sent
  /// all 13 parts within 0.3 s (simulated).
  static constexpr std::int64_t SlowestPace = 64 << 10;

  explicit ConfigurationFetch(peer::IPeerSender &peers) : Peers(peers) {}

  /// Asks the control VM at \p ip for what leads on from \p held, unless a
  /// fetch is under way or it is too early after one that was of no use; true
  /// where it asked.
  bool start(TimePoint now, const std::string &ip, std::uint64_t held);
  PartResult take(const std::string &ip,
                  const peer::wire::ConfigurationPart &part);
  /// The change of the last take() that was complete.
  const ConfigurationChange &change() const { return Change; }
  /// That change fits what the VM holds.
  void accept() { Patience = FirstPatience; }
  /// It doesn't: the next fetch waits for the patience, and for twice as long
  /// after each further one. Without a pause, 240 of them went over the link in
  /// 10 s where six control VMs spoke each 250 ms (simulated).
  void reject(TimePoint now);
  /// The connection to \p ip is gone, and what it was sending.
  void lost(const std::string &ip);

private:
  void ask();
  void finish() { Ip.clear(); }
  void waitLonger();
  /// How far the fetch is behind the slowest pace that is accepted.
  Duration behind(TimePoint now) const;

  peer::IPeerSender &Peers;
  /// The control VM that is asked; empty while none is.
  std::string Ip;
  std::uint64_t Fetch = 0;
  std::uint64_t Held = 0;
  std::string Received;
  TimePoint StartedAt{};
  /// After a change that was of no use.
  TimePoint NotBefore{};
  Duration Patience = FirstPatience;
  ConfigurationChange Change;
};

} // namespace stepledge::distribution

#endif // STEPLEDGE_DISTRIBUTION_CONFIGURATIONFETCH_H
