// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file A control VM's side of bringing configurations to entry VMs: changes
/// in small parts, each asked for by its receiver.

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
  /// Bytes of a change in one message. On a link of 2 Mbit/s it takes 16 ms,
  /// which heartbeats and clients' statements may have to wait; whole documents
  /// made them wait 780 ms (simulated link).
  static constexpr std::size_t PartBytes = 4096;

  void take(control::Configuration configuration) {
    History.take(std::move(configuration));
  }
  const control::Configuration &newest() const { return History.newest(); }

  /// The part that the VM at \p ip asks for; nothing where it needs none.
  std::optional<peer::wire::ConfigurationPart>
  answer(const std::string &ip,
         const peer::wire::ConfigurationRequest &request);
  /// The VM at \p ip has gone.
  void forget(const std::string &ip) { Transfers.erase(ip); }

private:
  struct Transfer {
    std::uint64_t Fetch = 0;
    std::shared_ptr<const std::string> Change;
  };

  ConfigurationHistory History;
  /// By entry VM, the change that it is getting: a newer configuration doesn't
  /// cut it off, or quick changes would let none come through.
  std::map<std::string, Transfer> Transfers;
};

} // namespace stepledge::distribution

#endif // STEPLEDGE_DISTRIBUTION_CONFIGURATIONSENDER_H
