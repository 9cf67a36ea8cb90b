// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Sends configurations from a control VM to entry VMs: deltas in small
/// parts, each requested by its receiver.

#ifndef STEPLEDGE_DISTRIBUTION_CONFIGURATIONSENDER_H
#define STEPLEDGE_DISTRIBUTION_CONFIGURATIONSENDER_H

#include "distribution/ConfigurationHistory.h"
#include "peer/generated/Peer.pb.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace stepledge::distribution {

class ConfigurationSender {
public:
  /// Bytes of a delta in one message. On a link of 2 Mbit/s it takes 16 ms, by
  /// which it may delay heartbeats and clients' statements; full documents
  /// delayed them by 780 ms in a simulation.
  static constexpr std::size_t PartBytes = 4096;

  void take(control::Configuration configuration) {
    History.take(std::move(configuration));
  }
  const control::Configuration &newest() const { return History.newest(); }

  /// Returns the part that the VM at \p ip requests; nothing if it needs none.
  std::optional<peer::wire::ConfigurationPart>
  answer(const std::string &ip,
         const peer::wire::ConfigurationRequest &request);
  /// Removes the transfer to the VM at \p ip, which has gone.
  void forget(const std::string &ip) { Transfers.erase(ip); }

private:
  struct Transfer {
    std::uint64_t Fetch = 0;
    std::shared_ptr<const std::string> Delta;
  };

  ConfigurationHistory History;
  /// By entry VM, the delta in transfer: a newer configuration doesn't abort
  /// it, or frequent changes would let no delta complete.
  std::map<std::string, Transfer> Transfers;
};

} // namespace stepledge::distribution

#endif // STEPLEDGE_DISTRIBUTION_CONFIGURATIONSENDER_H
