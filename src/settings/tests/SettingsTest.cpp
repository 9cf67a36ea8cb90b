// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

// All faults of the settings are reported at once, each with its line.

#include "settings/SettingsModule.h"

#include <doctest/doctest.h>

#include <fstream>
#include <iterator>

using namespace stepledge;
using namespace stepledge::settings;

namespace {

std::string dataFile(const std::string &name) {
  std::ifstream in(std::string(STEPLEDGE_TEST_DATA) + "/" + name);
  return {std::istreambuf_iterator<char>(in), {}};
}

} // namespace

TEST_CASE("Settings_ReadsAllKeys") {
  const auto report = parseSettings(dataFile("good.toml"));
  INFO(describeFaults("good.toml", report.Faults));
  REQUIRE(report.ok());
  const auto &settings = report.Checked;
  CHECK(settings.Vm == VmId("entry-a1"));
  CHECK(settings.Callers == Endpoint{"127.0.0.1", 8080});
  REQUIRE(settings.Databases.size() == 1);
  CHECK(settings.Databases[0].Instances.size() == 2);
  CHECK(settings.Databases[0].ReadMaxAge == milliseconds(1500));
  CHECK(settings.Distances.at(HallId("vastra-b")) == milliseconds(2));
  CHECK(settings.SessionKeys[0].Secret.size() == 32);
  CHECK(settings.Limits.Queue == 32);
}

TEST_CASE("Settings_ListsEveryFaultWithItsLine") {
  const auto report = parseSettings(dataFile("faults.toml"));
  CHECK(describeFaults("faults.toml", report.Faults) ==
        dataFile("faults.expected"));
}

TEST_CASE("Settings_BrokenTomlHasALine") {
  const auto report = parseSettings("[vm]\nid = \n");
  REQUIRE(report.Faults.size() == 1);
  CHECK(report.Faults[0].Line == 2);
}

TEST_CASE("Settings_MissingFileIsAFault") {
  CHECK_FALSE(loadSettings("/nonexistent/stepledge.toml").ok());
}
