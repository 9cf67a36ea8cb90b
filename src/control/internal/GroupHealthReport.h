// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Says in the log that the control group lacks a leader or a voter, for
/// as long as it does.

#ifndef STEPLEDGE_CONTROL_INTERNAL_GROUPHEALTHREPORT_H
#define STEPLEDGE_CONTROL_INTERNAL_GROUPHEALTHREPORT_H

#include "base/types/Time.h"
#include "consensus/types/GroupHealth.h"
#include "peer/types/LinkState.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace stepledge::control {

class GroupHealthReport {
public:
  using LinksTo =
      std::function<std::vector<peer::LinkState>(const std::string &ip)>;

  /// \p linksTo tells the connections to another control VM.
  explicit GroupHealthReport(LinksTo linksTo) : Links(std::move(linksTo)) {}

  /// The line to log now, if one is due: at first, then at intervals, and when
  /// the group is whole again.
  std::optional<std::string> line(TimePoint now,
                                  const consensus::GroupHealth &health);

private:
  std::string describe(const consensus::GroupHealth &health) const;
  std::string voterText(const consensus::VoterHealth &voter) const;

  LinksTo Links;
  std::optional<TimePoint> IncompleteSince;
  TimePoint NextLineAt{};
};

} // namespace stepledge::control

#endif // STEPLEDGE_CONTROL_INTERNAL_GROUPHEALTHREPORT_H
