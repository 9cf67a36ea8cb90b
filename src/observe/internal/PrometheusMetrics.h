// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file Metrics by prometheus-cpp.

#ifndef STEPLEDGE_OBSERVE_INTERNAL_PROMETHEUSMETRICS_H
#define STEPLEDGE_OBSERVE_INTERNAL_PROMETHEUSMETRICS_H

#include "observe/IMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace stepledge::observe {

class PrometheusMetrics : public IMetrics {
public:
  PrometheusMetrics();

  void noteAnswer(const AnswerSample &sample) override;
  void noteConnections(int open) override;
  void noteForwarded(ResultCode code) override;
  std::string text() const override;

private:
  prometheus::Registry Registry;
  prometheus::Family<prometheus::Counter> &Answers;
  prometheus::Family<prometheus::Counter> &Reads;
  prometheus::Family<prometheus::Histogram> &Times;
  prometheus::Family<prometheus::Counter> &Forwards;
  prometheus::Gauge &Connections;
};

} // namespace stepledge::observe

#endif // STEPLEDGE_OBSERVE_INTERNAL_PROMETHEUSMETRICS_H
