// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "observe/page/MetricsPage.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <sstream>

namespace stepledge::observe {

namespace {

const char *const Prefix = "stepledge_";

/// In seconds; the latency objectives lie between 0.15 and 0.6.
prometheus::Histogram::BucketBoundaries latencyBounds() {
  return {0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 0.8, 1.5, 2.5};
}

} // namespace

struct MetricsPage::Parts {
  prometheus::Registry Registry;
  std::map<std::string, prometheus::Family<prometheus::Counter> *> Counters;
  std::map<std::string, prometheus::Gauge *> Gauges;
  prometheus::Histogram *Latency = nullptr;
};

MetricsPage::MetricsPage() : Inner(std::make_unique<Parts>()) {
  Inner->Latency = &prometheus::BuildHistogram()
                        .Name(std::string(Prefix) + "statement_seconds")
                        .Help("From a statement's arrival to its answer")
                        .Register(Inner->Registry)
                        .Add({}, latencyBounds());
}

MetricsPage::~MetricsPage() = default;

void MetricsPage::count(const std::string &name, const std::string &kind) {
  auto &family = Inner->Counters[name];
  if (!family)
    family = &prometheus::BuildCounter()
                  .Name(Prefix + name)
                  .Register(Inner->Registry);
  family->Add({{"kind", kind}}).Increment();
}

void MetricsPage::set(const std::string &name, double value) {
  auto &gauge = Inner->Gauges[name];
  if (!gauge)
    gauge = &prometheus::BuildGauge()
                 .Name(Prefix + name)
                 .Register(Inner->Registry)
                 .Add({});
  gauge->Set(value);
}

void MetricsPage::noteLatency(Duration time) {
  Inner->Latency->Observe(std::chrono::duration<double>(time).count());
}

std::string MetricsPage::text() const {
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, Inner->Registry.Collect());
  return out.str();
}

} // namespace stepledge::observe
