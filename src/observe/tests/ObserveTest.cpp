// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

// Records can be asked for, traces read and written, metrics scraped.

#include "observe/ObserveModule.h"
#include "observe/types/TraceContext.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>

using namespace stepledge;
using namespace stepledge::observe;

TEST_CASE("DecisionJournal_OldMakesRoomForNew") {
  const auto journal = makeDecisionJournal(2);
  for (const char *name : {"vm-1", "vm-2", "vm-3"}) {
    request::DecisionRecord record;
    record.Id = DecisionId(name);
    journal->add(record);
  }
  CHECK(journal->find(DecisionId("vm-1")) == nullptr);
  CHECK(journal->find(DecisionId("vm-3")) != nullptr);
}

TEST_CASE("TraceContext_RoundTrip") {
  const std::string text =
      "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
  const auto context = parseTraceParent(text);
  REQUIRE(context.has_value());
  CHECK(context->Sampled);
  CHECK(traceParent(*context) == text);
}

TEST_CASE("TraceContext_RefusesOthers") {
  CHECK_FALSE(parseTraceParent("").has_value());
  CHECK_FALSE(parseTraceParent("00-xyz-1-01").has_value());
  CHECK_FALSE(parseTraceParent("00-00000000000000000000000000000000-"
                               "00f067aa0ba902b7-01")
                  .has_value());
  CHECK_FALSE(parseTraceParent("00-4BF92F3577B34DA6A3CE929D0E0E4736-"
                               "00f067aa0ba902b7-01")
                  .has_value());
}

TEST_CASE("Tracer_WritesSampledSpans") {
  const auto folder =
      std::filesystem::temp_directory_path() / "stepledge-observe-test";
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  const auto tracer = makeTracer(folder.string(), "entry-a1");
  Span span;
  span.Context = {1, 2, 3, true};
  span.Name = "read";
  tracer->record(span);
  span.Context.Sampled = false;
  tracer->record(span);
  std::ifstream in(folder / "traces.jsonl");
  std::string line;
  int n = 0;
  while (std::getline(in, line)) {
    ++n;
    const auto json = nlohmann::json::parse(line);
    const auto &first = json["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
    CHECK(first["name"] == "read");
    CHECK(first["spanId"] == "0000000000000003");
  }
  CHECK(n == 1);
  std::filesystem::remove_all(folder);
}

TEST_CASE("Metrics_CountAnswers") {
  const auto metrics = makeMetrics();
  metrics->noteAnswer(
      {"bookings", "read", ResultCode::Done, true, milliseconds(3)});
  const auto text = metrics->text();
  CHECK(text.find("stepledge_reads_total{database=\"bookings\",from="
                  "\"replica\"} 1") != std::string::npos);
}
