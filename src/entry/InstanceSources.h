// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Which control VMs tell this VM of the instances. All of them know the
/// same, and a list of thousands takes seconds on a narrow link, so two do.

#ifndef STEPLEDGE_ENTRY_INSTANCESOURCES_H
#define STEPLEDGE_ENTRY_INSTANCESOURCES_H

#include "base/types/Time.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace stepledge::entry {

struct SourceOptions {
  /// One more than is needed: the loss of one delays no word.
  std::size_t Sources = 2;
  /// A control VM that has not been fresh for this long is replaced by one that
  /// is. A list of 360 KB holds up the notices behind it for 1.5 s on a link of
  /// 250 KB a second, and two of them do for 3 s.
  Duration StaleLimit = milliseconds(3500);
  /// One is replaced in each such time at the most: each costs a whole list.
  /// With 0.75 s for the limit above and no such pause, VMs whose links were
  /// full asked 16 times in ten seconds, and a control VM sent 227 MB instead
  /// of 62 (simulated start of 290 VMs).
  Duration ReplacePause = milliseconds(5000);
};

/// What has to be told to control VMs.
struct SourceChange {
  std::set<std::string> Wanted;
  std::set<std::string> Unwanted;
};

class InstanceSources {
public:
  explicit InstanceSources(SourceOptions options = {}) : Options(options) {}

  void connected(TimePoint now, const std::string &ip);
  void lost(const std::string &ip);
  /// The state of \p ip is as new as a majority's.
  void heardFresh(TimePoint now, const std::string &ip);
  /// Chooses anew; empty while all is well.
  SourceChange review(TimePoint now);
  const std::set<std::string> &sources() const { return Sources; }

private:
  bool isFresh(TimePoint now, const std::string &ip) const;

  SourceOptions Options;
  /// The connected ones, and when each was last fresh; as if it were at first.
  std::map<std::string, TimePoint> FreshAt;
  std::set<std::string> Sources;
  TimePoint ReplacedAt{};
};

} // namespace stepledge::entry

#endif // STEPLEDGE_ENTRY_INSTANCESOURCES_H
