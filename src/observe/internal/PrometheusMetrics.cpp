// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "observe/internal/PrometheusMetrics.h"

#include "base/ResultTable.h"

#include <prometheus/text_serializer.h>

namespace stepledge::observe {

namespace {

/// Upper bounds in seconds.
const prometheus::Histogram::BucketBoundaries TimeBuckets = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30};

std::string codeText(ResultCode code) {
  return std::string(resultRow(code).Name);
}

} // namespace

PrometheusMetrics::PrometheusMetrics()
    : Answers(prometheus::BuildCounter()
                  .Name("stepledge_answers_total")
                  .Help("Answers by database, kind, result and class")
                  .Register(Registry)),
      Reads(prometheus::BuildCounter()
                .Name("stepledge_reads_total")
                .Help("Answered reads by where the answer came from")
                .Register(Registry)),
      Times(prometheus::BuildHistogram()
                .Name("stepledge_answer_seconds")
                .Help("Time from arrival to answer")
                .Register(Registry)),
      Forwards(prometheus::BuildCounter()
                   .Name("stepledge_forwarded_total")
                   .Help("Calls handed to the VM that owns the transaction")
                   .Register(Registry)),
      Connections(prometheus::BuildGauge()
                      .Name("stepledge_upstream_connections")
                      .Help("Connections open or opening to instances")
                      .Register(Registry)
                      .Add({})) {}

void PrometheusMetrics::noteAnswer(const AnswerSample &sample) {
  const auto &row = resultRow(sample.Code);
  Answers
      .Add({{"database", sample.Database},
            {"kind", sample.Kind},
            {"result", std::string(row.Name)},
            {"class", std::string(nameOf(row.Class))}})
      .Increment();
  Times.Add({{"database", sample.Database}, {"kind", sample.Kind}}, TimeBuckets)
      .Observe(toMilliseconds(sample.Took) / 1000.0);
  if (sample.Kind == "read" && sample.Code == ResultCode::Done)
    Reads
        .Add({{"database", sample.Database},
              {"from", sample.FromReplica ? "replica" : "primary"}})
        .Increment();
}

void PrometheusMetrics::noteConnections(int open) { Connections.Set(open); }

void PrometheusMetrics::noteForwarded(ResultCode code) {
  Forwards.Add({{"result", codeText(code)}}).Increment();
}

std::string PrometheusMetrics::text() const {
  return prometheus::TextSerializer().Serialize(Registry.Collect());
}

} // namespace stepledge::observe
