// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Whether a primary is lost, from what several VMs see of it.

#ifndef STEPLEDGE_CONTROL_PRIMARYWATCH_H
#define STEPLEDGE_CONTROL_PRIMARYWATCH_H

#include "base/types/Ids.h"
#include "base/types/Time.h"

#include <map>
#include <string>

namespace stepledge::control {

struct WatchOptions {
  /// Silence seen by one VM counts from here on: above the answer time of an
  /// instance whose queue is full.
  Duration SilenceLimit = milliseconds(600);
  /// A VM's report is used for this long.
  Duration ReportLifetime = milliseconds(1500);
  /// VMs that reported on the service within this time count as known; those of
  /// them that are silent now may be cut off together with a primary that they
  /// still reach.
  Duration KnownLifetime = milliseconds(20000);
  /// The share of the known VMs that must miss the primary.
  double LostShare = 0.5;
  /// With this much silence all that still report are enough: a cut that lasts
  /// so long is no passing one.
  Duration LongSilence = milliseconds(8000);
  /// No second replacement of a service for this time after one.
  Duration RestAfter = milliseconds(1500);
};

class PrimaryWatch {
public:
  explicit PrimaryWatch(WatchOptions options) : Options(options) {}

  /// A VM says how long questions to \p primary have stayed unanswered.
  void report(TimePoint now, const std::string &observer,
              const std::string &service, const InstanceId &primary,
              Duration silentFor);
  /// The VM no longer watches the service.
  void stopped(const std::string &observer, const std::string &service);
  void noteReplaced(TimePoint now, const std::string &service);
  /// What was reported on \p primary was of a life that is over.
  void forget(const std::string &service, const InstanceId &primary);
  /// Whether a VM that reports on \p primary misses it.
  bool isMissed(TimePoint now, const std::string &service,
                const InstanceId &primary) const;
  /// Whether enough of the VMs that report on \p primary miss it.
  bool isLost(TimePoint now, const std::string &service,
              const InstanceId &primary) const;
  void clear() { Services.clear(); }

private:
  struct Report {
    InstanceId Primary;
    Duration SilentFor{};
    TimePoint At{};
  };
  struct Service {
    std::map<std::string, Report> Reports;
    TimePoint ReplacedAt{};
  };

  WatchOptions Options;
  std::map<std::string, Service> Services;
};

} // namespace stepledge::control

#endif // STEPLEDGE_CONTROL_PRIMARYWATCH_H
