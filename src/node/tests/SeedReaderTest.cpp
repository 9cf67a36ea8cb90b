// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

/// \file When a program takes other seeds from its settings, and what it logs.

#include "node/SeedReader.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace stepledge;
using namespace stepledge::node;

namespace {

using Ips = SeedReader::Ips;

struct Reading {
  absl::StatusOr<Ips> InFile = Ips{"a"};
  std::vector<std::string> Lines;
  SeedReader Reader{[this] { return InFile; }, Ips{"a"},
                    [this](const std::string &line) { Lines.push_back(line); }};
  TimePoint Now = TimePoint(milliseconds(10000));

  std::optional<Ips> pollLater() {
    Now += SeedReader::Interval;
    return Reader.poll(Now);
  }
};

} // namespace

TEST_CASE_FIXTURE(Reading, "SeedReader_FileThatChangedWithoutASignalIsTaken") {
  CHECK_FALSE(pollLater());
  CHECK(Lines.empty());
  InFile = Ips{"b", "c"};
  CHECK(pollLater() == Ips{"b", "c"});
  CHECK(Lines.back() == "event=seeds_read seeds=b,c");
  CHECK_FALSE(pollLater());
}

TEST_CASE_FIXTURE(Reading, "SeedReader_ReadsOnceInAnInterval") {
  CHECK_FALSE(pollLater());
  InFile = Ips{"b"};
  CHECK_FALSE(Reader.poll(Now + SeedReader::Interval - milliseconds(1)));
  CHECK(Reader.poll(Now + SeedReader::Interval));
}

TEST_CASE_FIXTURE(Reading, "SeedReader_UnreadableFileIsLogged") {
  InFile = absl::InvalidArgumentError("seed_nodes: not a list");
  CHECK_FALSE(pollLater());
  CHECK(Lines.back() ==
        "event=seeds_unreadable reason=\"seed_nodes: not a list\"");
  CHECK_FALSE(Reader.reload());
  CHECK(Lines.back() == "event=reload valid=0");
}

TEST_CASE_FIXTURE(Reading, "SeedReader_SignalTakesTheSameSeedsAgain") {
  CHECK(Reader.reload() == Ips{"a"});
  CHECK(Lines.back() == "event=reload valid=1");
}
