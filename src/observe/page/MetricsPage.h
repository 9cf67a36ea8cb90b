// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Counters, gauges and one latency histogram as a page of text.

#ifndef STEPLEDGE_OBSERVE_PAGE_METRICSPAGE_H
#define STEPLEDGE_OBSERVE_PAGE_METRICSPAGE_H

#include "base/types/Time.h"

#include <memory>
#include <string>

namespace stepledge::observe {

/// All names get the prefix "stepledge_".
class MetricsPage {
public:
  MetricsPage();
  ~MetricsPage();
  MetricsPage(const MetricsPage &) = delete;
  MetricsPage &operator=(const MetricsPage &) = delete;

  /// Adds one to the counter \p name; \p kind tells apart what it counts.
  void count(const std::string &name, const std::string &kind);
  void set(const std::string &name, double value);
  /// A statement took \p time from its arrival to its answer.
  void noteLatency(Duration time);
  /// In Prometheus's text form.
  std::string text() const;

private:
  struct Parts;

  std::unique_ptr<Parts> Inner;
};

} // namespace stepledge::observe

#endif // STEPLEDGE_OBSERVE_PAGE_METRICSPAGE_H
