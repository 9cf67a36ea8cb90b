// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The addresses of control VMs that an entry VM knows, and to which of
/// them it is to be connected.

#ifndef STEPLEDGE_ENTRY_CONTROLADDRESSES_H
#define STEPLEDGE_ENTRY_CONTROLADDRESSES_H

#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <utility>

namespace stepledge::entry {

class ControlAddresses {
public:
  using Ips = std::set<std::string>;

  /// Five times a group of three, so that former members stay known while all
  /// are replaced some times.
  static constexpr std::size_t MaxCandidates = 16;

  explicit ControlAddresses(Ips seeds) : Seeds(std::move(seeds)) {}

  /// Those that the settings name.
  void setSeeds(Ips ips);
  /// The members, as a control VM with a majority names them.
  void setMembers(Ips ips);
  /// Adds unconfirmed addresses, from a control VM whose state may be old or
  /// from another entry VM.
  void add(const Ips &ips);
  const Ips &members() const { return Members; }
  /// The addresses to be connected to: while there is no contact to a majority,
  /// the candidates as well.
  Ips wanted(bool isControlLost, const Ips &connected) const;

private:
  Ips Seeds;
  Ips Members;
  /// Former members and unconfirmed addresses, the oldest first.
  std::deque<std::string> Candidates;
};

} // namespace stepledge::entry

#endif // STEPLEDGE_ENTRY_CONTROLADDRESSES_H
