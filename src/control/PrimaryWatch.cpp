// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "control/PrimaryWatch.h"

namespace stepledge::control {

void PrimaryWatch::report(TimePoint now, const std::string &observer,
                          const std::string &service, const InstanceId &primary,
                          Duration silentFor) {
  Services[service].Reports[observer] = {primary, silentFor, now};
}

void PrimaryWatch::noteReplaced(TimePoint now, const std::string &service) {
  auto &it = Services[service];
  it.ReplacedAt = now;
  it.Reports.clear();
}

bool PrimaryWatch::isLost(TimePoint now, const std::string &service,
                          const InstanceId &primary) const {
  const auto it = Services.find(service);
  if (it == Services.end())
    return false;
  if (it->second.ReplacedAt != TimePoint{} &&
      now - it->second.ReplacedAt < Options.RestAfter)
    return false;
  int observers = 0;
  int missing = 0;
  for (const auto &[observer, report] : it->second.Reports) {
    if (report.Primary != primary || now - report.At > Options.ReportLifetime)
      continue;
    ++observers;
    missing += report.SilentFor >= Options.SilenceLimit;
  }
  return missing >= 2 && missing >= Options.LostShare * observers;
}

} // namespace stepledge::control
