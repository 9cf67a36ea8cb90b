// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Tells in the log how long a VM serves a configuration that may not be
/// the newest.

#ifndef STEPLEDGE_ENTRY_OUTDATEDREPORT_H
#define STEPLEDGE_ENTRY_OUTDATEDREPORT_H

#include "base/types/Time.h"

#include "absl/strings/str_cat.h"

#include <optional>
#include <string>
#include <utility>

namespace stepledge::entry {

class OutdatedReport {
public:
  /// A change of the configuration takes less to be fetched.
  static constexpr Duration FirstLineAfter = milliseconds(1000);

  /// The beginning of the line that is due, if one is: once when the state has
  /// lasted for FirstLineAfter, and once at its end.
  std::optional<std::string> line(TimePoint now, bool mayBeOutdated) {
    if (!mayBeOutdated) {
      const auto since = std::exchange(Since, std::nullopt);
      if (!std::exchange(IsTold, false))
        return std::nullopt;
      return absl::StrCat("event=configuration_known after_ms=",
                          toMilliseconds(now - *since));
    }
    if (!Since)
      Since = now;
    if (now - *Since < FirstLineAfter || std::exchange(IsTold, true))
      return std::nullopt;
    return "event=configuration_may_be_outdated";
  }

private:
  std::optional<TimePoint> Since;
  bool IsTold = false;
};

} // namespace stepledge::entry

#endif // STEPLEDGE_ENTRY_OUTDATEDREPORT_H
