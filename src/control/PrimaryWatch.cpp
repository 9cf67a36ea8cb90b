// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "control/PrimaryWatch.h"

#include <algorithm>

namespace stepledge::control {

void PrimaryWatch::report(TimePoint now, const std::string &observer,
                          const std::string &service, const InstanceId &primary,
                          Duration silentFor) {
  HeardAt[observer] = now;
  Services[service].Reports[observer] = {primary, silentFor, now};
}

void PrimaryWatch::noteReplaced(TimePoint now, const std::string &service) {
  auto &it = Services[service];
  it.ReplacedAt = now;
  it.Reports.clear();
}

void PrimaryWatch::forget(const std::string &service,
                          const InstanceId &primary) {
  if (const auto it = Services.find(service); it != Services.end())
    std::erase_if(it->second.Reports, [&](const auto &report) {
      return report.second.Primary == primary;
    });
}

bool PrimaryWatch::isLost(TimePoint now, const std::string &service,
                          const InstanceId &primary) const {
  const auto it = Services.find(service);
  if (it == Services.end())
    return false;
  if (it->second.ReplacedAt != TimePoint{} &&
      now - it->second.ReplacedAt < Options.RestAfter)
    return false;
  int reporting = 0;
  int missing = 0;
  Duration longest{};
  for (const auto &[observer, report] : it->second.Reports) {
    if (report.Primary != primary || now - report.At > Options.ReportLifetime)
      continue;
    ++reporting;
    missing += report.SilentFor >= Options.SilenceLimit;
    longest = std::max(longest, report.SilentFor);
  }
  const auto known =
      std::count_if(HeardAt.begin(), HeardAt.end(), [&](const auto &heard) {
        return now - heard.second < Options.KnownLifetime;
      });
  const bool isMajority =
      missing > Options.LostShare * static_cast<double>(known);
  const bool isLong = missing == reporting && longest >= Options.LongSilence;
  return missing >= 2 && (isMajority || isLong);
}

} // namespace stepledge::control
