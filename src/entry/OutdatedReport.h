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
  static constexpr Duration RepeatInterval = milliseconds(5000);

  /// The beginning of the line that is due, if one is: when the state has
  /// lasted for FirstLineAfter, at each RepeatInterval from then on, and at its
  /// end.
  std::optional<std::string> line(TimePoint now, bool mayBeOutdated) {
    if (!mayBeOutdated) {
      const auto since = std::exchange(Since, std::nullopt);
      if (!std::exchange(ToldAt, std::nullopt))
        return std::nullopt;
      return absl::StrCat("event=configuration_known after_ms=",
                          toMilliseconds(now - *since));
    }
    if (!Since)
      Since = now;
    const bool isDue = ToldAt ? now - *ToldAt >= RepeatInterval
                              : now - *Since >= FirstLineAfter;
    if (!isDue)
      return std::nullopt;
    ToldAt = now;
    return "event=configuration_may_be_outdated";
  }

  /// How long the state has lasted.
  Duration lastedFor(TimePoint now) const {
    return Since ? now - *Since : Duration{};
  }

private:
  std::optional<TimePoint> Since;
  std::optional<TimePoint> ToldAt;
};

} // namespace stepledge::entry

#endif // STEPLEDGE_ENTRY_OUTDATEDREPORT_H
