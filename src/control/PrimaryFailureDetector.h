// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Detects the failure of a primary from the reports of several VMs.

#ifndef STEPLEDGE_CONTROL_PRIMARYFAILUREDETECTOR_H
#define STEPLEDGE_CONTROL_PRIMARYFAILUREDETECTOR_H

#include "base/types/Ids.h"
#include "base/types/Time.h"

#include <map>
#include <string>

namespace stepledge::control {

struct FailureDetectorOptions {
  /// Silence that a VM reports counts from this duration on: above the answer
  /// time of an instance whose queue is full.
  Duration SilenceLimit = milliseconds(600);
  /// How long a VM's report is valid.
  Duration ReportValidity = milliseconds(1500);
  /// VMs that reported on the service within this time count as its observers;
  /// those of them that no longer report may be partitioned from this VM
  /// together with a primary that they still reach.
  Duration ObserverLifetime = milliseconds(20000);
  /// The primary is lost if more than this share of the observers, and at least
  /// two VMs, miss it.
  double FailureShare = 0.5;
  /// After this much silence, the observers that still report are enough if all
  /// of them, and at least two, miss the primary: a partition that lasts so
  /// long is not transient.
  Duration LongSilence = milliseconds(8000);
  /// isLost() is false for this time after an attempt to replace the service's
  /// primary has ended.
  Duration FailoverCooldown = milliseconds(1500);
};

class PrimaryFailureDetector {
public:
  explicit PrimaryFailureDetector(FailureDetectorOptions options)
      : Options(options) {}

  /// Records for how long the requests of \p observer to \p primary have been
  /// unanswered.
  void report(TimePoint now, const std::string &observer,
              const std::string &service, const InstanceId &primary,
              Duration silentFor);
  /// The observer no longer monitors the service.
  void removeObserver(const std::string &observer, const std::string &service);
  /// An attempt to replace the primary has ended: drops the service's reports
  /// and starts the cooldown.
  void noteFailover(TimePoint now, const std::string &service);
  /// Drops the reports on an earlier incarnation of \p primary.
  void dropReports(const std::string &service, const InstanceId &primary);
  /// Whether any VM reports that \p primary is silent, even for less than
  /// SilenceLimit.
  bool isSuspected(TimePoint now, const std::string &service,
                   const InstanceId &primary) const;
  /// Whether enough of the VMs that report on the service, and at least two,
  /// get no answers from its primary. A VM may take another instance for the
  /// primary than this one does; that it is silent counts the same.
  bool isLost(TimePoint now, const std::string &service) const;
  void clear() { Services.clear(); }

private:
  struct Report {
    InstanceId Primary;
    Duration SilentFor{};
    TimePoint At{};
  };
  struct Service {
    std::map<std::string, Report> Reports;
    TimePoint LastFailoverAt{};
  };

  FailureDetectorOptions Options;
  std::map<std::string, Service> Services;
};

} // namespace stepledge::control

#endif // STEPLEDGE_CONTROL_PRIMARYFAILUREDETECTOR_H
