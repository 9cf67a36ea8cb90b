// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "overload/ReportedWaits.h"

#include <algorithm>

namespace stepledge::overload {

void ReportedWaits::note(TimePoint now, const InstanceId &instance,
                         const std::string &lender, const Urgency &urgency,
                         Duration wait) {
  auto &report = Reports[instance][lender];
  std::erase_if(report.Waits,
                [&](const auto &it) { return it.second.Expires <= now; });
  const Wait reported{now + wait, now + std::min(wait, Options.MaxValidity)};
  // NOTE: the newest report applies, and a more urgent borrow waits no longer.
  for (auto it = report.Waits.begin();
       it != report.Waits.end() && it->first < urgency; ++it)
    it->second = {std::min(it->second.Until, reported.Until),
                  std::min(it->second.Expires, reported.Expires)};
  report.Waits[urgency] = reported;
  report.ReportedAt = now;
}

const ReportedWaits::Report *
ReportedWaits::find(const InstanceId &instance,
                    const std::string &lender) const {
  const auto lenders = Reports.find(instance);
  if (lenders == Reports.end())
    return nullptr;
  const auto report = lenders->second.find(lender);
  return report == lenders->second.end() ? nullptr : &report->second;
}

Duration ReportedWaits::remaining(TimePoint now, const InstanceId &instance,
                                  const std::string &lender,
                                  const Urgency &urgency) const {
  Duration longest{};
  const auto *report = find(instance, lender);
  if (!report)
    return longest;
  for (auto it = report->Waits.begin();
       it != report->Waits.end() && it->first <= urgency; ++it)
    if (it->second.Expires > now)
      longest = std::max(longest, it->second.Until - now);
  return longest;
}

bool ReportedWaits::isEmpty(TimePoint now, const InstanceId &instance) const {
  const auto lenders = Reports.find(instance);
  if (lenders == Reports.end())
    return true;
  for (const auto &[lender, report] : lenders->second)
    for (const auto &[urgency, wait] : report.Waits)
      if (wait.Expires > now)
        return false;
  return true;
}

void ReportedWaits::noteServed(TimePoint now, const InstanceId &instance,
                               const std::string &lender) {
  Reports[instance][lender].ServedAt = now;
}

bool ReportedWaits::isServing(TimePoint now, const InstanceId &instance,
                              const std::string &lender) const {
  const auto *report = find(instance, lender);
  return report && report->ServedAt > report->ReportedAt &&
         now - report->ServedAt <= Options.MaxValidity;
}

bool ReportedWaits::takeProbe(TimePoint now, const InstanceId &instance) {
  auto &probedAt = ProbedAt[instance];
  if (now - probedAt < Options.ProbeInterval)
    return false;
  probedAt = now;
  return true;
}

void ReportedWaits::forget(const InstanceId &instance,
                           const std::string &lender) {
  const auto lenders = Reports.find(instance);
  if (lenders == Reports.end())
    return;
  lenders->second.erase(lender);
  if (lenders->second.empty())
    Reports.erase(lenders);
}

} // namespace stepledge::overload
