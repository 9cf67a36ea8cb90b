// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "control/PrimaryFailureDetector.h"

#include <algorithm>

namespace stepledge::control {

void PrimaryFailureDetector::report(TimePoint now, const std::string &observer,
                                    const std::string &service,
                                    const InstanceId &primary,
                                    Duration silentFor) {
  Services[service].Reports[observer] = {primary, silentFor, now};
}

void PrimaryFailureDetector::removeObserver(const std::string &observer,
                                            const std::string &service) {
  if (const auto it = Services.find(service); it != Services.end())
    it->second.Reports.erase(observer);
}

void PrimaryFailureDetector::noteFailover(TimePoint now,
                                          const std::string &service) {
  auto &it = Services[service];
  it.LastFailoverAt = now;
  it.Reports.clear();
}

void PrimaryFailureDetector::dropReports(const std::string &service,
                                         const InstanceId &primary) {
  if (const auto it = Services.find(service); it != Services.end())
    std::erase_if(it->second.Reports, [&](const auto &report) {
      return report.second.Primary == primary;
    });
}

bool PrimaryFailureDetector::isSuspected(TimePoint now,
                                         const std::string &service,
                                         const InstanceId &primary) const {
  const auto it = Services.find(service);
  if (it == Services.end())
    return false;
  const auto &reports = it->second.Reports;
  return std::any_of(reports.begin(), reports.end(), [&](const auto &each) {
    const auto &report = each.second;
    return report.Primary == primary && report.SilentFor > Duration{} &&
           now - report.At < Options.ReportValidity;
  });
}

bool PrimaryFailureDetector::isLost(TimePoint now,
                                    const std::string &service) const {
  const auto it = Services.find(service);
  if (it == Services.end())
    return false;
  if (it->second.LastFailoverAt != TimePoint{} &&
      now - it->second.LastFailoverAt < Options.FailoverCooldown)
    return false;
  int reporting = 0;
  int missing = 0;
  Duration longest{};
  for (const auto &[observer, report] : it->second.Reports) {
    if (now - report.At > Options.ReportValidity)
      continue;
    ++reporting;
    missing += report.SilentFor >= Options.SilenceLimit;
    longest = std::max(longest, report.SilentFor);
  }
  const auto &reports = it->second.Reports;
  const auto known =
      std::count_if(reports.begin(), reports.end(), [&](const auto &report) {
        return now - report.second.At < Options.ObserverLifetime;
      });
  const bool isMajority =
      missing > Options.FailureShare * static_cast<double>(known);
  const bool isLong = missing == reporting && longest >= Options.LongSilence;
  return missing >= 2 && (isMajority || isLong);
}

} // namespace stepledge::control
