// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The configuration versions that control VMs have announced.

#ifndef STEPLEDGE_ENTRY_CONTROLVERSIONS_H
#define STEPLEDGE_ENTRY_CONTROLVERSIONS_H

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace stepledge::entry {

struct ControlVersion {
  std::uint64_t Version = 0;
  /// A majority of the control VMs stands behind it.
  bool IsFresh = false;

  bool operator==(const ControlVersion &) const = default;
};

class ControlVersions {
public:
  /// True if the control VM at \p ip announces something else than before.
  bool heard(const std::string &ip, const ControlVersion &announced) {
    Newest = std::max(Newest, announced.Version);
    const auto [it, isNew] = Versions.try_emplace(ip, announced);
    if (isNew)
      return true;
    if (it->second == announced)
      return false;
    it->second = announced;
    return true;
  }
  void lost(const std::string &ip) { Versions.erase(ip); }
  bool isFresh(const std::string &ip) const {
    const auto it = Versions.find(ip);
    return it != Versions.end() && it->second.IsFresh;
  }
  /// The control VMs that are fresh.
  std::vector<std::string> freshIps() const {
    std::vector<std::string> ips;
    for (const auto &[ip, it] : Versions)
      if (it.IsFresh)
        ips.push_back(ip);
    return ips;
  }
  /// The highest version that any control VM has announced since the start.
  std::uint64_t newest() const { return Newest; }

private:
  std::map<std::string, ControlVersion> Versions;
  std::uint64_t Newest = 0;
};

} // namespace stepledge::entry

#endif // STEPLEDGE_ENTRY_CONTROLVERSIONS_H
