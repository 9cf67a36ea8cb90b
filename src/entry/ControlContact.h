// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Whether this VM is in contact with the control group.

#ifndef STEPLEDGE_ENTRY_CONTROLCONTACT_H
#define STEPLEDGE_ENTRY_CONTROLCONTACT_H

#include "base/types/Time.h"

#include <map>
#include <set>
#include <string>

namespace stepledge::entry {

class ControlContact {
public:
  /// Word that is older than \p limit doesn't count.
  explicit ControlContact(Duration limit) : Limit(limit) {}

  void setMembers(std::set<std::string> ips) { Members = std::move(ips); }
  /// A notice of \p ip; \p isFresh as the notice says.
  void heard(TimePoint now, const std::string &ip, bool isFresh);
  void lost(const std::string &ip) { HeardAt.erase(ip); }
  /// No member speaks for a majority, or too few of them are heard for it: the
  /// members of a hall that was cut off a moment ago still call themselves
  /// fresh, until their leader's silence has lasted long enough.
  bool isLost(TimePoint now) const;

private:
  Duration Limit;
  std::set<std::string> Members;
  TimePoint FreshAt{};
  std::map<std::string, TimePoint> HeardAt;
};

} // namespace stepledge::entry

#endif // STEPLEDGE_ENTRY_CONTROLCONTACT_H
