// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "control/PrimaryWatch.h"

#include <algorithm>

namespace stepledge::control {

void PrimaryWatch::report(TimePoint now, const std::string &observer,
                          const std::string &service, const InstanceId &primary,
                          Duration silentFor) {
  Services[service].Reports[observer] = {primary, silentFor, now};
}

void PrimaryWatch::stopped(const std::string &observer,
                           const std::string &service) {
  if (const auto it = Services.find(service); it != Services.end())
    it->second.Reports.erase(observer);
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

bool PrimaryWatch::isMissed(TimePoint now, const std::string &service,
                            const InstanceId &primary) const {
  const auto it = Services.find(service);
  if (it == Services.end())
    return false;
  const auto &reports = it->second.Reports;
  return std::any_of(reports.begin(), reports.end(), [&](const auto &each) {
    const auto &report = each.second;
    return report.Primary == primary && report.SilentFor > Duration{} &&
           now - report.At < Options.ReportLifetime;
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
  const auto &reports = it->second.Reports;
  const auto known =
      std::count_if(reports.begin(), reports.end(), [&](const auto &report) {
        return now - report.second.At < Options.KnownLifetime;
      });
  const bool isMajority =
      missing > Options.LostShare * static_cast<double>(known);
  const bool isLong = missing == reporting && longest >= Options.LongSilence;
  return missing >= 2 && (isMajority || isLong);
}

} // namespace stepledge::control
