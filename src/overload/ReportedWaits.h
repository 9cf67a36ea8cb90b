// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The expected waits that lenders have reported, while the reports are
/// valid.

#ifndef STEPLEDGE_OVERLOAD_REPORTEDWAITS_H
#define STEPLEDGE_OVERLOAD_REPORTEDWAITS_H

#include "base/types/Ids.h"
#include "base/types/Time.h"
#include "overload/types/Urgency.h"

#include <map>
#include <string>

namespace stepledge::overload {

struct ReportedWaitOptions {
  /// A report is valid for at most this time: a queue that shrank sooner is
  /// tried again while most statements can still meet their objectives, which
  /// are some 150 to 600 ms.
  Duration MaxValidity = milliseconds(400);
  /// One borrow per interval goes to a lender in spite of its report, so that
  /// new capacity is noticed within the tightest objectives.
  Duration ProbeInterval = milliseconds(100);
};

class ReportedWaits {
public:
  explicit ReportedWaits(ReportedWaitOptions options = {}) : Options(options) {}

  /// Records that \p lender expects a borrow of that urgency to wait \p wait; a
  /// more urgent one then waits no longer.
  void note(TimePoint now, const InstanceId &instance,
            const std::string &lender, const Urgency &urgency, Duration wait);
  /// The remainder of the longest wait reported for borrows that are at least
  /// as urgent; 0 if there is none. A longer wait of less urgent borrows
  /// doesn't count.
  Duration remaining(TimePoint now, const InstanceId &instance,
                     const std::string &lender, const Urgency &urgency) const;
  /// Records that the lender has served a borrow.
  void noteServed(TimePoint now, const InstanceId &instance,
                  const std::string &lender);
  /// Whether the lender has served a borrow recently and has reported no wait
  /// since.
  bool isServing(TimePoint now, const InstanceId &instance,
                 const std::string &lender) const;
  /// The longest time for which a report is valid.
  Duration maxValidity() const { return Options.MaxValidity; }
  /// Whether no lender that is still there has served a borrow or reported a
  /// wait.
  bool hasNoReports() const { return Reports.empty(); }
  /// Whether no lender has a valid reported wait for the instance.
  bool isEmpty(TimePoint now, const InstanceId &instance) const;
  /// Whether one borrow may go to a lender in spite of the reported waits;
  /// after true, none may for ProbeInterval.
  bool takeProbe(TimePoint now, const InstanceId &instance);
  /// Removes a lost lender's reports: after a reconnect its queue is another.
  void forget(const InstanceId &instance, const std::string &lender);

private:
  struct Wait {
    /// When the wait is over.
    TimePoint Until{};
    /// When the report is no longer valid.
    TimePoint Expires{};
  };
  struct Report {
    std::map<Urgency, Wait> Waits;
    TimePoint ReportedAt{};
    TimePoint ServedAt{};
  };
  const Report *find(const InstanceId &instance,
                     const std::string &lender) const;

  ReportedWaitOptions Options;
  std::map<InstanceId, std::map<std::string, Report>> Reports;
  std::map<InstanceId, TimePoint> ProbedAt;
};

} // namespace stepledge::overload

#endif // STEPLEDGE_OVERLOAD_REPORTEDWAITS_H
