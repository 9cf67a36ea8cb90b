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

  /// More than a group's members have in minutes, even if all of them are
  /// replaced one after the other.
  static constexpr std::size_t MaxOthers = 16;

  explicit ControlAddresses(Ips seeds) : Seeds(std::move(seeds)) {}

  /// Those that the settings name.
  void setSeeds(Ips ips);
  /// The members, as a control VM with a majority names them.
  void setMembers(Ips ips);
  /// Possible addresses: of a control VM whose state may be old, or of another
  /// entry VM.
  void add(const Ips &ips);
  const Ips &members() const { return Members; }
  /// While no majority is heard, all addresses that may be of control VMs.
  Ips wanted(bool isControlLost, const Ips &connected) const;

private:
  Ips Seeds;
  Ips Members;
  /// Former members and possible ones, the oldest first.
  std::deque<std::string> Others;
};

} // namespace stepledge::entry

#endif // STEPLEDGE_ENTRY_CONTROLADDRESSES_H
