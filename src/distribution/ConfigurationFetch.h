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
  /// Without the next part for this long a fetch begins anew, at whichever
  /// control VM speaks next: some sixty times what a part takes on a link of
  /// 2 Mbit/s. A fetch that begins anew waits twice as long, so that repeats
  /// can't fill a link that is slower than that.
  static constexpr Duration FirstStallLimit = milliseconds(1000);
  static constexpr Duration LongestStallLimit = milliseconds(8000);

  explicit ConfigurationFetch(peer::IPeerSender &peers) : Peers(peers) {}

  /// Asks the control VM at \p ip for what leads on from \p held, unless a
  /// fetch is under way; true where it asked.
  bool start(TimePoint now, const std::string &ip, std::uint64_t held);
  PartResult take(TimePoint now, const std::string &ip,
                  const peer::wire::ConfigurationPart &part);
  /// The change of the last take() that was complete.
  const ConfigurationChange &change() const { return Change; }
  /// The connection to \p ip is gone, and what it was sending.
  void lost(const std::string &ip);

private:
  void ask(TimePoint now);
  void finish() { Ip.clear(); }

  peer::IPeerSender &Peers;
  /// The control VM that is asked; empty while none is.
  std::string Ip;
  std::uint64_t Fetch = 0;
  std::uint64_t Held = 0;
  std::string Received;
  TimePoint AskedAt{};
  Duration StallLimit = FirstStallLimit;
  ConfigurationChange Change;
};

} // namespace stepledge::distribution

#endif // STEPLEDGE_DISTRIBUTION_CONFIGURATIONFETCH_H
