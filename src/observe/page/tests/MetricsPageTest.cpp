// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file The metrics' page of text.

#include "observe/page/MetricsPage.h"

#include <doctest/doctest.h>

using namespace stepledge;
using stepledge::observe::MetricsPage;

TEST_CASE("MetricsPage_TellsCountersGaugesAndLatency") {
  MetricsPage page;
  page.count("statements_total", "success");
  page.count("statements_total", "success");
  page.count("statements_total", "busy");
  page.set("sessions", 12);
  page.noteLatency(milliseconds(30));
  const std::string text = page.text();
  CHECK(text.find("stepledge_statements_total{kind=\"success\"} 2") !=
        std::string::npos);
  CHECK(text.find("stepledge_statements_total{kind=\"busy\"} 1") !=
        std::string::npos);
  CHECK(text.find("stepledge_sessions 12") != std::string::npos);
  CHECK(text.find("stepledge_statement_seconds_count 1") != std::string::npos);
}
